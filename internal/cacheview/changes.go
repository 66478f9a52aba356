package cacheview

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Change is a change of what one target holds, for peers.
type Change struct {
	Target  ids.Target
	Life    uint16 // the low 16 bits of the target's life
	ID      prefix.ID
	Gone    bool // it no longer holds the prefix
	Emptied bool // it holds nothing any more; ID says nothing
}

// maxChanges bounds the changes kept for peers between two rounds. One round of a busy VM
// has some tens.
const maxChanges = 2048

// Learned is Holds for what peers can't know yet: what is new is kept for them.
func (x *Index) Learned(t ids.Target, life Life, levels []prefix.Level) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].current != life {
		return
	}
	for _, l := range levels {
		if x.find(l.ID, n) == nil {
			x.keep(Change{Target: t, Life: uint16(life), ID: l.ID})
		}
		x.put(l.ID, n)
	}
}

// Lost is Drop for what peers can't know yet. Peers are told of what this VM
// believed only: the rest was told by nobody.
func (x *Index) Lost(t ids.Target, life Life, id prefix.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].current != life {
		return
	}
	if x.find(id, n) != nil {
		x.keep(Change{Target: t, Life: uint16(life), ID: id, Gone: true})
	}
	x.drop(id, n)
}

// Emptied is Void for what peers can't know yet.
func (x *Index) Emptied(t ids.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.targets[x.number(t)]
	x.newEpoch(s)
	x.keep(Change{Target: t, Life: uint16(s.current), Emptied: true})
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

// Hear takes in a peer's change.
func (x *Index) Hear(c Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(c.Target)
	s := &x.targets[n]
	switch {
	case uint16(s.current) != c.Life || s.incarnation == 0:
	case c.Emptied:
		x.newEpoch(s)
	case c.Gone:
		x.drop(c.ID, n)
	default:
		x.put(c.ID, n)
	}
}

// Retell keeps for peers all that is believed of the targets for which wanted returns true.
func (x *Index) Retell(wanted func(t ids.Target) bool) {
	tell := x.numbersOf(wanted)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.slots {
		if e.id == 0 || !tell[e.target] {
			continue // a free slot names no target
		}
		if s := &x.targets[e.target]; s.epoch == e.epoch {
			x.keep(Change{Target: s.name, Life: uint16(s.current), ID: e.id})
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
