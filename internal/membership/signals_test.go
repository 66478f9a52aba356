package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestLeavingPersists checks that a target that announced that it leaves stays leaving for the
// rest of its incarnation, whichever source reported it and whatever its entry in the platform's
// list says later. A new incarnation ends that.
func TestLeavingPersists(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	list := func(table *Table, state platform.State, inc ids.Incarnation) routing.State {
		table.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, State: state, Incarnation: inc}}, now)
		return table.State("t", now)
	}
	for name, leave := range map[string]func(*Table){
		"answer":  func(table *Table) { table.ApplySignals("t", 2, Signals{Leaving: true}, now, now) },
		"report":  func(table *Table) { table.ApplyReport("t", Report{Incarnation: 2, Seq: 1, Leaving: true}, now) },
		"refusal": func(table *Table) { table.MarkLeaving("t", 2) },
		"entry":   func(table *Table) { list(table, platform.StateLeaving, 2) },
	} {
		table := New("vm", DefaultTuning)
		list(table, platform.StateLive, 2)
		leave(table)
		if got := list(table, platform.StateLive, 2); got != routing.Leaving {
			t.Errorf("%s: the target is %v after its entry says live, want leaving", name, got)
		}
		table.Remove("t")
		if got := list(table, platform.StateLive, 2); got != routing.Leaving {
			t.Errorf("%s: the target is %v after its entry was removed and added, want leaving", name, got)
		}
		if got := list(table, platform.StateLive, 3); got == routing.Leaving {
			t.Errorf("%s: the target still counts as leaving after a restart", name)
		}
		table.ApplySignals("t", 2, Signals{Leaving: true}, now, now)
		if got := list(table, platform.StateLive, 3); got == routing.Leaving {
			t.Errorf("%s: a response of the previous incarnation has made the target leaving", name)
		}
	}
}

// TestSignalsExpire checks that the table keeps the signals of a bounded number of unlisted targets.
func TestSignalsExpire(t *testing.T) {
	now, table := time.Unix(1_000_000, 0), New("vm", DefaultTuning)
	for i := range 10 * maxSignals {
		table.ApplySignals(ids.Target(fmt.Sprint("t", i)), 1, Signals{Leaving: true}, now, now)
		now = now.Add(signalsTTL / maxSignals)
	}
	if n := len(table.signals); n > 2*maxSignals {
		t.Errorf("signals of %d targets are kept, want at most 2*maxSignals", n)
	}
}

// TestRest checks that this VM sends a target nothing for the longest time that the target asked
// for. Neither Ready nor the removal of its entry ends the rest; a new incarnation does.
func TestRest(t *testing.T) {
	now, table := time.Unix(1_000_000, 0), New("vm", DefaultTuning)
	list := func() {
		table.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, State: platform.StateLive, Incarnation: 1}}, now)
	}
	remaining := func() time.Duration { return table.Targets(now)[0].Rest }
	list()
	for _, asked := range []time.Duration{3 * time.Second, time.Second} {
		table.ApplySignals("t", 1, Signals{Rest: asked}, now, now)
		now = now.Add(time.Second)
	}
	table.Ready("t")
	if got := remaining(); got != time.Second {
		t.Errorf("%v of the rest remains, want 1s", got)
	}
	table.Remove("t")
	if list(); remaining() != time.Second {
		t.Error("the rest was lost when the entry was removed")
	}
	if now = now.Add(time.Second); remaining() != 0 {
		t.Error("the rest does not end after its time")
	}
	table.ApplySignals("t", 1, Signals{Rest: time.Hour}, now, now)
	table.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, State: platform.StateLive, Incarnation: 2}}, now)
	if remaining() != 0 {
		t.Error("a restarted target has the rest of the previous incarnation")
	}
}
