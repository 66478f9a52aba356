package cacheview

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Event is one event of an engine's cache feed.
type Event struct {
	Seq    uint64    `json:"seq"` // consecutive from 1 within an incarnation
	Block  prefix.ID `json:"block"`
	Stored bool      `json:"stored"` // false: removed
}

// ApplyEvents applies a batch of a target's events in order. It uses only events for prefixes
// that the index already has entries for, which are the few blocks at level boundaries. It
// returns true if events are missing; it then invalidates the target's earlier entries, and
// responses and later events add new ones. It ignores events of any generation but the current
// one.
func (x *Index) ApplyEvents(t ids.Target, gen Generation, events []Event) (gap bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	s := &x.targets[n]
	if s.generation != gen {
		return false
	}
	for _, ev := range events {
		if ev.Seq <= s.lastSeq {
			continue // a duplicate, or an event that arrives after its successor
		}
		if ev.Seq != s.lastSeq+1 && s.lastSeq != 0 {
			gap = true
			x.stats.Gaps++
			x.newEpoch(s)
		}
		s.lastSeq = ev.Seq
		if !ev.Stored {
			x.remove(ev.Block, n)
		} else if x.hasHolder(ev.Block) {
			x.put(ev.Block, n)
		}
	}
	return gap
}

// hasHolder reports whether the index has an entry for the prefix on any target.
func (x *Index) hasHolder(id prefix.ID) bool {
	for _, e := range x.window(id) {
		if e.id == id {
			return true
		}
	}
	return false
}
