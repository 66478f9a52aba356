package cacheview

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Change reports to peers that one target has stored or removed a prefix, or has lost its whole
// cache.
type Change struct {
	Target     ids.Target
	Generation uint16 // low 16 bits of the target's Generation
	ID         prefix.ID
	Removed    bool // the target no longer holds the prefix
	Cleared    bool // the target holds no prefix any more; ID is unused
}

// maxChanges bounds the changes queued for peers between two reports. A report of a busy VM
// has a few tens.
const maxChanges = 2048

// AddAndReport is Add for information that peers don't have: it also queues the new entries
// for them.
func (x *Index) AddAndReport(t ids.Target, gen Generation, levels []prefix.Level) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].generation != gen {
		return
	}
	for _, l := range levels {
		if x.find(l.ID, n) == nil {
			x.queueChange(Change{Target: t, Generation: uint16(gen), ID: l.ID})
		}
		x.put(l.ID, n)
	}
}

// RemoveAndReport is Remove for information that peers don't have. It queues the removal
// only if this VM has the entry, since an entry that any VM reported is normally here too.
func (x *Index) RemoveAndReport(t ids.Target, gen Generation, id prefix.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].generation != gen {
		return
	}
	if x.find(id, n) != nil {
		x.queueChange(Change{Target: t, Generation: uint16(gen), ID: id, Removed: true})
	}
	x.remove(id, n)
}

// ClearAndReport is Clear for information that peers don't have: it also queues the change
// for them.
func (x *Index) ClearAndReport(t ids.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.targets[x.number(t)]
	x.newEpoch(s)
	x.queueChange(Change{Target: t, Generation: uint16(s.generation), Cleared: true})
}

// queueChange queues a change for peers, or counts it in Stats.Untold if the queue is full.
// The caller holds x.mu.
func (x *Index) queueChange(c Change) {
	if len(x.changes) >= maxChanges {
		x.stats.Untold++
		return
	}
	x.changes = append(x.changes, c)
}

// TakeChanges returns and clears the changes queued for peers.
func (x *Index) TakeChanges() []Change {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.changes
	x.changes = nil
	return c
}

// ApplyPeerChange applies a change that a peer reported. It ignores changes of another
// generation than the current one.
func (x *Index) ApplyPeerChange(c Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(c.Target)
	s := &x.targets[n]
	switch {
	case uint16(s.generation) != c.Generation || s.incarnation == 0:
	case c.Cleared:
		x.newEpoch(s)
	case c.Removed:
		x.remove(c.ID, n)
	default:
		x.put(c.ID, n)
	}
}

// ReportAgain queues for peers all valid entries of the targets for which wanted returns
// true.
func (x *Index) ReportAgain(wanted func(t ids.Target) bool) {
	reported := x.numbersOf(wanted)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.slots {
		if e.id == 0 || !reported[e.target] {
			continue // a free slot has no target
		}
		if s := &x.targets[e.target]; s.epoch == e.epoch {
			x.queueChange(Change{Target: s.name, Generation: uint16(s.generation), ID: e.id})
		}
	}
}

// numbersOf returns the targets for which wanted returns true. The caller must not hold
// x.mu.
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
