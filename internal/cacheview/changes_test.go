package cacheview

import (
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// TestChangesReachPeers applies the changes that one index queues to another. The second must
// have an entry until the first removes it, the target's cache is cleared or the target has a
// new generation.
func TestChangesReachPeers(t *testing.T) {
	gen := GenerationOf(1, "w1")
	levels := []prefix.Level{{ID: 11, Tokens: 100}, {ID: 12, Tokens: 300}}
	a, b := New(256, nil), New(256, nil)
	for _, x := range []*Index{a, b} {
		x.SetGeneration("e1", 1, "w1")
	}
	deliver := func() int {
		changes := a.TakeChanges()
		for _, c := range changes {
			b.ApplyPeerChange(c)
		}
		return len(changes)
	}
	has := func(id prefix.ID) bool { return b.Has("e1", id) }

	a.AddAndReport("e1", gen, levels)
	a.AddAndReport("e1", gen, levels)
	if n := deliver(); n != 2 || !has(11) || !has(12) {
		t.Fatalf("%d changes were reported for two new prefixes, want 2; the peer has them: %v, %v, want true, true", n, has(11), has(12))
	}
	a.RemoveAndReport("e1", gen, 11)
	a.RemoveAndReport("e1", gen, 99)
	if n := deliver(); n != 1 || has(11) || !has(12) {
		t.Errorf("%d changes were reported for one removed prefix, want 1; the peer has the removed and the other: %v, %v, want false, true", n, has(11), has(12))
	}
	a.ReportAgain(func(id ids.Target) bool { return id == "other" })
	if n := deliver(); n != 0 {
		t.Errorf("%d changes were reported again although wanted returned false for the target, want 0", n)
	}
	a.ReportAgain(func(ids.Target) bool { return true })
	if n := deliver(); n != 1 {
		t.Errorf("%d changes were reported again, want 1", n)
	}
	a.ClearAndReport("e1")
	if deliver(); has(12) {
		t.Error("the peer has an entry for a target whose cache was cleared")
	}
	a.AddAndReport("e1", gen, levels)
	b.SetGeneration("e1", 1, "w2")
	if deliver(); has(11) {
		t.Error("the peer applied a change for older weights to a target with newer ones")
	}
}

// TestChangesAreBounded checks that a VM that reports to no peer queues a bounded number of
// changes.
func TestChangesAreBounded(t *testing.T) {
	x := New(256, nil)
	x.SetGeneration("e1", 1, "w")
	for i := range maxChanges + 10 {
		x.AddAndReport("e1", GenerationOf(1, "w"), []prefix.Level{{ID: prefix.ID(i + 1)}})
	}
	if n := len(x.TakeChanges()); n != maxChanges || x.Stats().Untold != 10 {
		t.Errorf("%d changes are queued and %d were dropped, want %d and 10", n, x.Stats().Untold, maxChanges)
	}
}

// TestReportAgainWithoutTargets calls ReportAgain on a VM that knows no target yet, such as one
// that starts during a network partition. The process used to crash in that case.
func TestReportAgainWithoutTargets(t *testing.T) {
	x := New(256, nil)
	x.ReportAgain(func(ids.Target) bool { return true })
	if n := len(x.TakeChanges()); n != 0 {
		t.Errorf("%d changes were queued for an empty index, want 0", n)
	}
}
