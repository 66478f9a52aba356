package cacheview

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Change is a change of what one target holds, for peers.
type Change struct {
	Target  ids.Target
	Generation    uint16 // the low 16 bits of the target's life
	ID      prefix.ID
	Removed    bool // it no longer holds the prefix
	Cleared bool // it holds nothing any more; ID says nothing
}

// maxChanges bounds the changes kept for peers between two rounds. One round of a busy VM
// has some tens.
const maxChanges = 2048

// AddAndReport is Holds for what peers can't know yet: what is new is kept for them.
func (x *Index) AddAndReport(t ids.Target, life Generation, levels []prefix.Level) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].current != life {
		return
	}
	for _, l := range levels {
		if x.find(l.ID, n) == nil {
			x.keep(Change{Target: t, Generation: uint16(life), ID: l.ID})
		}
		x.put(l.ID, n)
	}
}

// RemoveAndReport is Drop for what peers can't know yet. Peers are told of what this VM
// believed only: the rest was told by nobody.
func (x *Index) RemoveAndReport(t ids.Target, life Generation, id prefix.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].current != life {
		return
	}
	if x.find(id, n) != nil {
		x.keep(Change{Target: t, Generation: uint16(life), ID: id, Removed: true})
	}
	x.remove(id, n)
}

// ClearAndReport is Void for what peers can't know yet.
func (x *Index) ClearAndReport(t ids.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.targets[x.number(t)]
	x.newEpoch(s)
	x.keep(Change{Target: t, Generation: uint16(s.current), Cleared: true})
}

// keep keeps a change for peers. The lock is held.
func (x *Index) keep(c Change) {
	if len(x.changes) >= maxChanges {
		x.stats.Untold++
		return
	}
	x.changes = append(x.changes, c)
}

// TakeChanges returns what Learned, Lost and Emptied have kept since the last call.
func (x *Index) TakeChanges() []Change {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.changes
	x.changes = nil
	return c
}

// ApplyPeerChange takes in a peer's change.
func (x *Index) ApplyPeerChange(c Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(c.Target)
	s := &x.targets[n]
	switch {
	case uint16(s.current) != c.Generation || s.incarnation == 0:
	case c.Cleared:
		x.newEpoch(s)
	case c.Removed:
		x.remove(c.ID, n)
	default:
		x.put(c.ID, n)
	}
}

// ReportAgain keeps for peers all that is believed of the targets for which wanted returns true.
func (x *Index) ReportAgain(wanted func(t ids.Target) bool) {
	tell := x.numbersOf(wanted)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.slots {
		if e.id == 0 || !tell[e.target] {
			continue // a free slot names no target
		}
		if s := &x.targets[e.target]; s.epoch == e.epoch {
			x.keep(Change{Target: s.name, Generation: uint16(s.current), ID: e.id})
		}
	}
}

// numbersOf returns the targets for which wanted returns true. It is called without the
// lock.
func (x *Index) numbersOf(wanted func(t ids.Target) bool) map[TargetNum]bool {
	x.mu.RLock()
	names := make([]ids.Target, len(x.targets))
	for n := range x.targets {
		names[n] = x.targets[n].name
	}
	x.mu.RUnlock()
	out := map[TargetNum]bool{}
	for n, name := range names {
		if wanted(name) {
			out[TargetNum(n)] = true
		}
	}
	return out
}
