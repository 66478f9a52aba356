package streams

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// alone returns the directory of a VM without peers, and a function that moves its clock.
func alone() (*Directory, func(time.Duration)) {
	now := time.Unix(1000, 0)
	return &Directory{
		VM: "vm0", Peers: func() []Peer { return nil }, Sole: func(uint64) Version { return 0 }, Send: func(ids.VM, Message) {}, Now: func() time.Time { return now },
	}, func(by time.Duration) { now = now.Add(by) }
}

// TestRecordsThatDifferVoidEachOther checks that a stream with records of two versions is not found, in whatever order
// they arrive.
func TestRecordsThatDifferVoidEachOther(t *testing.T) {
	d, _ := alone()
	k := KeyOf("t1", "h", "q1")
	d.Begin(k, "llm", "v1")
	if v, r := d.Lookup(t.Context(), k, "llm"); r != Found || v != VersionOf("llm", "v1") {
		t.Fatalf("got %v %v", v, r)
	}
	d.Receive("vm1", &Message{Records: []Record{{Key: k, Version: VersionOf("llm", "v2"), AgeMs: 10}}})
	d.Receive("vm2", &Message{Records: []Record{{Key: k, Version: VersionOf("llm", "v1")}}})
	if _, r := d.Lookup(t.Context(), k, "llm"); r != Conflict {
		t.Errorf("got %v, want a conflict", r)
	}
	for _, other := range []Key{KeyOf("t2", "h", "q1"), KeyOf("t1", "i", "q1"), KeyOf("t1", "hq", "1")} {
		if other == k {
			t.Error("streams of different callers have one key")
		}
	}
}

// TestRecordsAreBounded checks that records expire, and that the oldest give way beyond the bound.
func TestRecordsAreBounded(t *testing.T) {
	d, pass := alone()
	for i := range maxRecords + 1000 {
		d.Begin(KeyOf("t1", "h", ids.Request(fmt.Sprint(i))), "llm", "v1")
	}
	if d.Len() != maxRecords || d.Dropped.Load() != 1000 {
		t.Errorf("%d records, %d dropped", d.Len(), d.Dropped.Load())
	}
	if _, r := d.Lookup(context.Background(), KeyOf("t1", "h", "0"), "llm"); r != NotFound {
		t.Errorf("the oldest record is still there: %v", r)
	}
	pass(RecordTTL - time.Second)
	last := KeyOf("t1", "h", ids.Request(fmt.Sprint(maxRecords)))
	d.Begin(last, "llm", "v1") // it was taken up
	pass(2 * time.Second)
	d.Round()
	if _, r := d.Lookup(context.Background(), last, "llm"); d.Len() != 1 || r != Found {
		t.Errorf("%d records after their time, the one that was taken up: %v", d.Len(), r)
	}
}

// FuzzReceive checks that no message makes a directory fail or grow beyond its bound.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("0123456789abcdef"), uint64(1), int64(5))
	f.Add([]byte{}, uint64(0), int64(-1))
	f.Fuzz(func(t *testing.T, key []byte, version uint64, age int64) {
		d, _ := alone()
		var k Key
		copy(k[:], key)
		m := Message{
			Records: []Record{{Key: k, Version: Version(version), AgeMs: age}}, Acks: []Key{k}, Asked: []Question{{Key: k}},
			Found: []Record{{Key: k}}, Missing: []Absence{{Key: k, Sole: Version(version)}}, Conflicts: []Key{k},
		}
		d.Receive("vm1", &m)
		d.Round()
		if d.Len() > 1 {
			t.Errorf("%d records", d.Len())
		}
	})
}

// TestRecordThatArrivesDuringLookupIsFound guards against a holder that is asked before its record has arrived, and looks at others only.
func TestRecordThatArrivesDuringLookupIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := alone()
		d.Now = time.Now
		d.Peers = func() []Peer { return []Peer{{VM: "vm1", Alive: true}} }
		k := KeyOf("t1", "h", "q1")
		time.AfterFunc(2*time.Millisecond, func() {
			d.Receive("vm2", &Message{Records: []Record{{Key: k, Version: VersionOf("llm", "v1")}}})
			d.Receive("vm1", &Message{Missing: []Absence{{Key: k}}})
		})
		if v, r := d.Lookup(t.Context(), k, "llm"); r != Found || v != VersionOf("llm", "v1") {
			t.Errorf("got %v %v, want the record", v, r)
		}
	})
}
