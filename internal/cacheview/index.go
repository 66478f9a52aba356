// Package cacheview is a VM's picture of which target holds which prompt prefix.
//
// The picture is a set of beliefs, always somewhat wrong: engines evict within
// seconds and their event feeds lose entries. A belief only biases a routing
// choice; it never makes an answer wrong. Three rules keep beliefs honest:
//
//   - A belief is bound to one epoch of its target. A new incarnation, another
//     weights version or a gap in the target's events starts a new epoch, which
//     voids every older belief at once, in constant time.
//   - Prefix ids are seeded with workspace and weights version (package prefix),
//     so no look-up can reach another workspace's belief.
//   - An answer's count of cached tokens overrides what was believed.
//
// The index is a fixed table of 16-byte entries, so its memory is bounded by a
// setting and not by traffic. A prefix's beliefs lie in one window of slots; the
// oldest entry of a full window gives way.
package cacheview

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Generation names one life of a target under one set of weights. Beliefs, answers and
// events of another life never count.
type Generation uint64

// GenerationOf returns the life of an incarnation under a weights version.
func GenerationOf(inc ids.Incarnation, w ids.WeightsVersion) Generation {
	return Generation(xxh3.HashStringSeed(string(w), uint64(inc)))
}

// TargetNum is a target's short number on this VM. Numbers are not reused while
// the process lives.
type TargetNum uint16

// EntryBytes is the size of one belief in the table.
const EntryBytes = 16

const (
	window     = 32 // slots in which one prefix's beliefs lie
	maxHolders = 16 // beliefs kept for one prefix
	mixer      = 0x9E3779B97F4A7C15
)

// entry is one belief: target holds the prefix since tick, as of epoch.
type entry struct {
	id     prefix.ID // zero: free
	tick   uint32    // milliseconds since the index was made, last confirmation
	target TargetNum
	epoch  uint16
}

// targetState is what a target's beliefs are bound to.
type targetState struct {
	name        ids.Target
	incarnation ids.Incarnation
	current     Generation
	epoch       uint16
	lastSeq     uint64
}

// Stats counts what happened to beliefs. Read by Index.Stats.
type Stats struct {
	Confirmed, Refuted, Evicted, Gaps, Voided uint64
	Untold                                    uint64 // changes that peers were not told of
}

// Index holds beliefs. Safe for concurrent use; Lookup does not allocate.
type Index struct {
	start time.Time
	now   func() time.Time

	mu      sync.RWMutex
	slots   []entry
	mask    uint64
	targets []targetState
	nums    map[ids.Target]TargetNum
	stats   Stats
	fresh   []EntryInfo
	changes []Change
}

// New returns an index with room for at least capacity beliefs. now is nil for
// the wall clock.
func New(capacity int, now func() time.Time) *Index {
	if now == nil {
		now = clock.Now
	}
	size := uint64(window)
	for size < uint64(capacity) {
		size *= 2
	}
	return &Index{
		start: now(), now: now,
		slots: make([]entry, size+window), mask: size - 1,
		nums: map[ids.Target]TargetNum{},
	}
}

// Number returns the target's number, giving it one at first sight.
func (x *Index) Number(t ids.Target) TargetNum {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.number(t)
}

func (x *Index) number(t ids.Target) TargetNum {
	if n, ok := x.nums[t]; ok {
		return n
	}
	n := TargetNum(len(x.targets))
	x.targets = append(x.targets, targetState{name: t})
	x.nums[t] = n
	return n
}

// SetGeneration binds a target's future beliefs to a life. A change voids all earlier
// beliefs about it; an incarnation older than the known one is ignored.
func (x *Index) SetGeneration(t ids.Target, inc ids.Incarnation, w ids.WeightsVersion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.targets[x.number(t)]
	life := GenerationOf(inc, w)
	if inc < s.incarnation || life == s.current {
		return
	}
	s.incarnation, s.current, s.lastSeq = inc, life, 0
	x.newEpoch(s)
}

// newEpoch voids a target's beliefs. Epoch numbers wrap after 65,536 voids, so
// the target's old entries are wiped then, lest one come back to life.
func (x *Index) newEpoch(s *targetState) {
	s.epoch++
	x.stats.Voided++
	if s.epoch != 0 {
		return
	}
	n := x.nums[s.name]
	for i := range x.slots {
		if x.slots[i].target == n {
			x.slots[i] = entry{}
		}
	}
}

// Add records that a target of the given life holds the prefixes now. A
// report about another life than the known one is ignored.
func (x *Index) Add(t ids.Target, life Generation, levels []prefix.Level) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].current != life {
		return
	}
	for _, l := range levels {
		x.put(l.ID, n)
	}
}

// Remove records that a target no longer holds a prefix.
func (x *Index) Remove(t ids.Target, life Generation, id prefix.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].current == life {
		x.remove(id, n)
	}
}

func (x *Index) remove(id prefix.ID, n TargetNum) {
	w := x.window(id)
	for i := range w {
		if w[i].id == id && w[i].target == n {
			w[i] = entry{}
			x.stats.Evicted++
		}
	}
}

func (x *Index) window(id prefix.ID) []entry {
	at := (uint64(id) * mixer) >> 20 & x.mask
	return x.slots[at : at+window]
}

// put inserts or refreshes a belief. It takes, in this order: the belief's own
// slot, a free or void one, the prefix's oldest when it has too many holders,
// the window's oldest.
func (x *Index) put(id prefix.ID, n TargetNum) {
	w := x.window(id)
	free, oldest, ownOldest, holders := -1, 0, -1, 0
	for i := range w {
		e := &w[i]
		switch {
		case e.id == id && e.target == n:
			e.tick, e.epoch = x.tick(), x.targets[n].epoch
			return
		case e.id == 0 || x.targets[e.target].epoch != e.epoch:
			free = i
			continue
		case e.id == id:
			holders++
			if ownOldest < 0 || e.tick < w[ownOldest].tick {
				ownOldest = i
			}
		}
		if e.tick < w[oldest].tick {
			oldest = i
		}
	}
	at := free
	if holders >= maxHolders {
		at = ownOldest
	} else if free < 0 {
		at = oldest
	}
	w[at] = entry{id: id, tick: x.tick(), target: n, epoch: x.targets[n].epoch}
}

// tick is the index's clock in milliseconds; it wraps after 49 days, which makes
// an old belief look young once.
func (x *Index) tick() uint32 { return uint32(x.now().Sub(x.start).Milliseconds()) }

// Lookup fills out, indexed by TargetNum, with the deepest believed prefix of
// the prompt on each target, in tokens; targets beyond len(out) are left out.
//
// A belief does not fade with age: a prefix that other VMs use stays cached
// without this VM hearing of it. docs/design/routing.md has the measurement.
func (x *Index) Lookup(levels []prefix.Level, out []int32) {
	clear(out)
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, l := range levels {
		for _, e := range x.window(l.ID) {
			if e.id == l.ID && int(e.target) < len(out) && x.targets[e.target].epoch == e.epoch {
				out[e.target] = max(out[e.target], l.Tokens)
			}
		}
	}
}

// Prior is what was believed of a prompt on a target when it was sent there: the
// age of each level's belief in milliseconds, or notBelieved.
type Prior []int32

const notBelieved = -1

// Expect records that a prompt is on its way to a target: whoever comes behind it
// will find its prefixes cached. The answer confirms or corrects this. work is the
// expected prefill in tokens, for peers.
func (x *Index) Expect(t ids.Target, levels []prefix.Level, work int32) Prior {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	prior := make(Prior, len(levels))
	now := x.tick()
	for i, l := range levels {
		prior[i] = notBelieved
		if e := x.find(l.ID, n); e != nil {
			prior[i] = int32(now - e.tick)
		}
		x.put(l.ID, n)
		x.tell(l.ID, n, prior[i])
	}
	x.tellWork(n, levels, work)
	return prior
}

// worthTelling is the least prefill that peers are told of, in tokens.
const worthTelling = 256

// tellWork lets peers know of a costly dispatch. It rides on the belief that the
// dispatch has just made fresh; cheap dispatches make none.
func (x *Index) tellWork(n TargetNum, levels []prefix.Level, work int32) {
	if last := len(x.fresh) - 1; work >= worthTelling && last >= 0 && len(levels) > 0 {
		if f := &x.fresh[last]; f.ID == levels[len(levels)-1].ID && f.Target == x.targets[n].name {
			f.Work = work
		}
	}
}

// tell keeps a belief for peers if it is new. It is not told again: beliefs don't
// fade, and a peer that missed it learns by its own answers.
func (x *Index) tell(id prefix.ID, n TargetNum, age int32) {
	s := &x.targets[n]
	if len(x.fresh) < maxFresh && age == notBelieved {
		x.fresh = append(x.fresh, EntryInfo{ID: id, Target: s.name, Generation: s.current})
	}
}

// Answered corrects beliefs by an answer: the target in that life reused cached
// tokens of the prompt, and holds all of it now. prior is what Expect returned.
func (x *Index) Answered(t ids.Target, life Generation, levels []prefix.Level, prior Prior, cached int32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	s := &x.targets[n]
	if s.current != life {
		return
	}
	for i, l := range levels {
		age := int32(notBelieved)
		if i < len(prior) {
			age = prior[i]
		}
		x.judge(age, l.Tokens <= cached)
		x.put(l.ID, n)
	}
}

// judge counts a belief that proved right or wrong.
func (x *Index) judge(age int32, hit bool) {
	switch {
	case age == notBelieved:
	case hit:
		x.stats.Confirmed++
	default:
		x.stats.Refuted++
	}
}

func (x *Index) find(id prefix.ID, n TargetNum) *entry {
	w := x.window(id)
	for i := range w {
		if w[i].id == id && w[i].target == n && w[i].epoch == x.targets[n].epoch {
			return &w[i]
		}
	}
	return nil
}

// Stats returns the counts so far.
func (x *Index) Stats() Stats {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.stats
}

// EntryInfo is one belief, for peers.
type EntryInfo struct {
	ID     prefix.ID
	Target ids.Target
	Generation   Generation
	// Work is the prefill that the dispatch behind this belief is expected to cost
	// its target, in tokens; told with one of its beliefs only.
	Work int32
}

// maxFresh bounds the beliefs kept for peers between two rounds.
const maxFresh = 1024

// TakeNewEntries returns the beliefs that this VM's own dispatches made or renewed
// since the last call.
func (x *Index) TakeNewEntries() []EntryInfo {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := x.fresh
	x.fresh = nil
	return f
}

// ApplyPeerEntry takes in a peer's belief. life is the low 16 bits of the target's life.
func (x *Index) ApplyPeerEntry(t ids.Target, life uint16, id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if s := &x.targets[n]; uint16(s.current) == life && s.incarnation != 0 {
		x.put(prefix.ID(id), n)
	}
}

// Entries returns up to limit valid beliefs.
func (x *Index) Entries(limit int) []EntryInfo {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []EntryInfo
	for _, e := range x.slots {
		if e.id == 0 || x.targets[e.target].epoch != e.epoch {
			continue
		}
		if len(out) == limit {
			break
		}
		s := &x.targets[e.target]
		out = append(out, EntryInfo{ID: e.id, Target: s.name, Generation: s.current})
	}
	return out
}

// Has tells whether a target is believed to hold one prefix.
func (x *Index) Has(t ids.Target, id prefix.ID) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n, ok := x.nums[t]
	return ok && x.find(id, n) != nil
}

// Clear drops all beliefs about a target.
func (x *Index) Clear(t ids.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.newEpoch(&x.targets[x.number(t)])
}
