package cacheview

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Event is one entry of an engine's cache feed.
type Event struct {
	Seq    uint64    `json:"seq"` // from 1, without gaps, within an incarnation
	Block  prefix.ID `json:"block"`
	Stored bool      `json:"stored"` // false: removed
}

// Feed applies a batch of a target's events in order, keeping only what concerns
// prefixes that the index knows: of all block events, those few at level
// boundaries. It returns true when an entry is missing; the target's beliefs
// are void from then on until answers and events renew them.
func (x *Index) Feed(t ids.Target, life Generation, events []Event) (gap bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	s := &x.targets[n]
	if s.current != life {
		return false
	}
	for _, ev := range events {
		if ev.Seq <= s.lastSeq {
			continue // a duplicate, or late behind its successor
		}
		if ev.Seq != s.lastSeq+1 && s.lastSeq != 0 {
			gap = true
			x.stats.Gaps++
			x.newEpoch(s)
		}
		s.lastSeq = ev.Seq
		if !ev.Stored {
			x.remove(ev.Block, n)
		} else if x.known(ev.Block) {
			x.put(ev.Block, n)
		}
	}
	return gap
}

// known tells whether any target is believed to hold the prefix.
func (x *Index) known(id prefix.ID) bool {
	for _, e := range x.window(id) {
		if e.id == id {
			return true
		}
	}
	return false
}
