package cacheview

import (
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// TestPeersLearnWhatChanged passes the changes of one index on to another: what one has
// learned the other believes, until it is lost, the target is emptied or lives anew.
func TestPeersLearnWhatChanged(t *testing.T) {
	life := GenerationOf(1, "w1")
	levels := []prefix.Level{{ID: 11, Tokens: 100}, {ID: 12, Tokens: 300}}
	a, b := New(256, nil), New(256, nil)
	for _, x := range []*Index{a, b} {
		x.SetGeneration("e1", 1, "w1")
	}
	pass := func() int {
		changes := a.TakeChanges()
		for _, c := range changes {
			b.ApplyPeerChange(c)
		}
		return len(changes)
	}
	has := func(id prefix.ID) bool { return b.Has("e1", id) }

	a.AddAndReport("e1", life, levels)
	a.AddAndReport("e1", life, levels)
	if n := pass(); n != 2 || !has(11) || !has(12) {
		t.Fatalf("%d changes were told of two new prefixes; believed: %v, %v", n, has(11), has(12))
	}
	a.RemoveAndReport("e1", life, 11)
	a.RemoveAndReport("e1", life, 99)
	if n := pass(); n != 1 || has(11) || !has(12) {
		t.Errorf("%d changes were told of one lost prefix; believed: %v, %v", n, has(11), has(12))
	}
	a.ReportAgain(func(id ids.Target) bool { return id == "other" })
	if n := pass(); n != 0 {
		t.Errorf("%d changes were told again of a target that is not this VM's to tell of", n)
	}
	a.ReportAgain(func(ids.Target) bool { return true })
	if n := pass(); n != 1 {
		t.Errorf("%d changes were told again, want what is held", n)
	}
	a.ClearAndReport("e1")
	if pass(); has(12) {
		t.Error("an emptied target is believed to hold something")
	}
	a.AddAndReport("e1", life, levels)
	b.SetGeneration("e1", 1, "w2")
	if pass(); has(11) {
		t.Error("what a target held under older weights is believed of newer ones")
	}
}

// TestChangesAreBounded checks that a VM which tells nobody keeps a bounded number.
func TestChangesAreBounded(t *testing.T) {
	x := New(256, nil)
	x.SetGeneration("e1", 1, "w")
	for i := range maxChanges + 10 {
		x.AddAndReport("e1", GenerationOf(1, "w"), []prefix.Level{{ID: prefix.ID(i + 1)}})
	}
	if n := len(x.TakeChanges()); n != maxChanges || x.Stats().Untold != 10 {
		t.Errorf("%d changes are kept and %d were left out", n, x.Stats().Untold)
	}
}

// TestRetellOfNothing tells again what a VM knows that has heard of no target yet, as one
// that starts while it is cut off: its process ended there.
func TestRetellOfNothing(t *testing.T) {
	x := New(256, nil)
	x.ReportAgain(func(ids.Target) bool { return true })
	if n := len(x.TakeChanges()); n != 0 {
		t.Errorf("%d changes are told of nothing", n)
	}
}
