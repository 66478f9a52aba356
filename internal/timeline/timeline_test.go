package timeline

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// TestCausalOrder generates VMs that send each other messages while their wall clocks differ by
// minutes and jump back. In the merged timeline, the receipt of a message must come after its
// sending, and the events of each VM must keep their order.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const vms = 3
		walls := make([]time.Time, vms)
		logs := make([]*Log, vms)
		for i := range vms {
			walls[i] = time.Unix(1_700_000_000, 0).Add(time.Duration(rapid.IntRange(-300, 300).Draw(rt, "skew")) * time.Second)
			logs[i] = NewLog(ids.VM(fmt.Sprint("vm", i)), hlc.New(func() time.Time { return walls[i] }), 1000)
		}
		causes := map[string]string{} // event -> an event that must come before it
		last := make([]string, vms)
		record := func(vm int, name, cause string) {
			logs[vm].Record(Event{Kind: KindAttempt, Text: name}, nil)
			if cause != "" {
				causes[name] = cause
			}
			if last[vm] != "" {
				causes[name+" own"] = last[vm]
			}
			last[vm] = name
		}
		for n := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			walls[vm] = walls[vm].Add(time.Duration(rapid.IntRange(-50, 100).Draw(rt, "passes")) * time.Millisecond)
			send := fmt.Sprint("event ", n)
			record(vm, send, "")
			if other := rapid.IntRange(0, vms-1).Draw(rt, "to"); other != vm {
				logs[other].Clock().Observe(logs[vm].Clock().Now())
				record(other, fmt.Sprint("receipt ", n), send)
			}
		}
		at := map[string]int{}
		for i, e := range Merge(logs[0].Events(""), logs[1].Events(""), logs[2].Events("")) {
			at[e.Text] = i
		}
		for name, cause := range causes {
			event := name
			if len(name) > 4 && name[len(name)-4:] == " own" {
				event = name[:len(name)-4]
			}
			if at[event] <= at[cause] {
				rt.Fatalf("%q does not come after %q", event, cause)
			}
		}
	})
}

// TestLogOverwrites checks that a full log keeps the newest events and returns them oldest
// first.
func TestLogOverwrites(t *testing.T) {
	l := NewLog("vm", hlc.New(nil), 4)
	for i := range 10 {
		l.Record(Event{Request: ids.Request(fmt.Sprint(i % 2)), Text: fmt.Sprint(i)}, nil)
	}
	var got string
	for _, e := range l.Events("") {
		got += e.Text
	}
	if got != "6789" {
		t.Errorf("the log kept events %s, want 6789", got)
	}
	if n := len(l.Events("1")); n != 2 {
		t.Errorf("got %d events of request 1, want 2", n)
	}
}
