// Package cacheview estimates which target has which prompt prefixes in its KV cache.
//
// The estimates are never exact: engines evict within seconds, and their event feeds lose
// events. A wrong estimate only affects the routing choice and never the correctness of a
// response. Three rules limit the error:
//
//   - An entry belongs to one epoch of its target. A new incarnation, another weights
//     version or a gap in the target's events starts a new epoch, which invalidates all
//     older entries at once, in constant time.
//   - Prefix IDs are hashes over the model and the workspace (package prefix) or isolation
//     key (package kvcache), so a lookup never finds entries of a workspace that may not share
//     KV cache with the request's.
//   - A response shows that its target now has the whole prompt cached, whatever the estimate
//     was.
//
// The index is a fixed table of 16-byte entries, so its memory is bounded by a setting and
// not by traffic. The entries of a prefix are in one window of slots. If a window is full,
// a new entry replaces the oldest.
package cacheview

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Generation identifies an incarnation of a target together with its weights version. The
// index ignores responses and events of any generation but the current one.
type Generation uint64

// GenerationOf returns the generation of an incarnation with a weights version.
func GenerationOf(inc ids.Incarnation, w ids.WeightsVersion) Generation {
	return Generation(xxh3.HashStringSeed(string(w), uint64(inc)))
}

// TargetNum is a target's number in the index. Numbers are not reused.
type TargetNum uint16

// EntryBytes is the size of one entry in the table.
const EntryBytes = 16

const (
	window         = 32 // slots in which the entries of one prefix may be
	maxHolders     = 16 // entries kept per prefix
	hashMultiplier = 0x9E3779B97F4A7C15
)

// entry is the estimate that a target has a prefix cached. It is valid if epoch is the
// target's current epoch.
type entry struct {
	id     prefix.ID // zero: free
	tick   uint32    // time of the last confirmation, in milliseconds since the index was created
	target TargetNum
	epoch  uint16
}

// targetState is the state of a target on which the validity of its entries depends.
type targetState struct {
	name        ids.Target
	incarnation ids.Incarnation
	generation  Generation
	epoch       uint16
	lastSeq     uint64
}

// Stats counts what happened to entries, as returned by Index.Stats. The field names are
// part of the admin API's JSON.
//
//   - Confirmed, Refuted: entries that a response confirmed or refuted.
//   - Evicted: entries removed because the target no longer holds the prefix.
//   - Gaps: gaps in the targets' event feeds.
//   - Voided: new epochs, each of which invalidates all entries of a target.
type Stats struct {
	Confirmed, Refuted, Evicted, Gaps, Voided uint64
	Untold                                    uint64 // changes not queued for peers because the queue was full
}

// Index is the table of entries. Safe for concurrent use; Lookup does not allocate.
type Index struct {
	start time.Time
	now   func() time.Time

	mu         sync.RWMutex
	slots      []entry
	mask       uint64
	targets    []targetState
	nums       map[ids.Target]TargetNum
	stats      Stats
	newEntries []EntryInfo
	changes    []Change
}

// New returns an index with room for at least capacity entries. If now is nil, it uses
// clock.Now.
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

// Number returns the target's number and assigns one on first use.
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

// SetGeneration sets a target's current generation. A change invalidates all earlier entries
// of the target. An incarnation older than the current one is ignored.
func (x *Index) SetGeneration(t ids.Target, inc ids.Incarnation, w ids.WeightsVersion) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.targets[x.number(t)]
	gen := GenerationOf(inc, w)
	if inc < s.incarnation || gen == s.generation {
		return
	}
	s.incarnation, s.generation, s.lastSeq = inc, gen, 0
	x.newEpoch(s)
}

// newEpoch invalidates a target's entries. After 65,536 calls the epoch number wraps to
// zero; newEpoch then deletes the target's entries, so that an old one can't become valid
// again.
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

// Add records that a target has the prefixes cached now. It ignores reports for any
// generation but the current one.
func (x *Index) Add(t ids.Target, gen Generation, levels []prefix.Level) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].generation != gen {
		return
	}
	for _, l := range levels {
		x.put(l.ID, n)
	}
}

// Remove records that a target no longer has a prefix cached. It ignores reports for any
// generation but the current one.
func (x *Index) Remove(t ids.Target, gen Generation, id prefix.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if x.targets[n].generation == gen {
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
	at := (uint64(id) * hashMultiplier) >> 20 & x.mask
	return x.slots[at : at+window]
}

// put inserts or refreshes an entry. It uses, in order of preference: the slot of the same
// prefix and target; the prefix's oldest, if the prefix has maxHolders entries; a free or
// invalid slot; the window's oldest.
func (x *Index) put(id prefix.ID, n TargetNum) {
	w := x.window(id)
	free, oldest, oldestHolder, holders := -1, 0, -1, 0
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
			if oldestHolder < 0 || e.tick < w[oldestHolder].tick {
				oldestHolder = i
			}
		}
		if e.tick < w[oldest].tick {
			oldest = i
		}
	}
	at := free
	if holders >= maxHolders {
		at = oldestHolder
	} else if free < 0 {
		at = oldest
	}
	w[at] = entry{id: id, tick: x.tick(), target: n, epoch: x.targets[n].epoch}
}

// tick returns the time in milliseconds since the index was created. It wraps after 49
// days, which makes old entries look recent once.
func (x *Index) tick() uint32 { return uint32(x.now().Sub(x.start).Milliseconds()) }

// Lookup fills out, indexed by TargetNum, with the length of the prompt's longest prefix
// estimated to be cached on each target, in tokens. It omits targets beyond len(out).
//
// Entries don't expire with age: a prefix that other VMs use stays cached without a report
// to this VM. docs/design/routing.md has the measurement.
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

// Prior is the estimate for a prompt on a target at the time when it was sent there: the
// age of each level's entry in milliseconds, or noEntry.
type Prior []int32

const noEntry = -1

// Expect records that this VM sends a prompt to a target: later requests will find its
// prefixes cached there. The caller passes the result to ApplyResponse, which counts whether
// the earlier estimate was right. work is the expected prefill in tokens, which is reported to
// peers.
func (x *Index) Expect(t ids.Target, levels []prefix.Level, work int32) Prior {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	prior := make(Prior, len(levels))
	now := x.tick()
	for i, l := range levels {
		prior[i] = noEntry
		if e := x.find(l.ID, n); e != nil {
			prior[i] = int32(now - e.tick)
		}
		x.put(l.ID, n)
		x.queueEntry(l.ID, n, prior[i])
	}
	x.queueWork(n, levels, work)
	return prior
}

// minReportedWork is the least prefill reported to peers, in tokens.
const minReportedWork = 256

// queueWork adds the work of a costly prefill to the entry that Expect has just queued for
// peers, if it queued one. Work below minReportedWork is not reported.
func (x *Index) queueWork(n TargetNum, levels []prefix.Level, work int32) {
	if last := len(x.newEntries) - 1; work >= minReportedWork && last >= 0 && len(levels) > 0 {
		if e := &x.newEntries[last]; e.ID == levels[len(levels)-1].ID && e.Target == x.targets[n].name {
			e.Work = work
		}
	}
}

// queueEntry queues an entry for peers if it is new and the queue is not full. The entry is not
// reported again: entries don't expire, and a peer that missed the report gets the entry from
// responses to its own requests.
func (x *Index) queueEntry(id prefix.ID, n TargetNum, age int32) {
	s := &x.targets[n]
	if len(x.newEntries) < maxNewEntries && age == noEntry {
		x.newEntries = append(x.newEntries, EntryInfo{ID: id, Target: s.name, Generation: s.generation})
	}
}

// ApplyResponse updates the entries after a response from a target: the target reused the
// first cached tokens of the prompt and now has the whole prompt cached. prior is the result
// of Expect; if it is nil, Stats does not count whether the estimate was right. Responses of
// any generation but the current one are ignored.
func (x *Index) ApplyResponse(t ids.Target, gen Generation, levels []prefix.Level, prior Prior, cached int32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	s := &x.targets[n]
	if s.generation != gen {
		return
	}
	for i, l := range levels {
		age := int32(noEntry)
		if i < len(prior) {
			age = prior[i]
		}
		x.countPrediction(age, l.Tokens <= cached)
		x.put(l.ID, n)
	}
}

// countPrediction counts an entry that a response confirmed or refuted.
func (x *Index) countPrediction(age int32, hit bool) {
	switch {
	case age == noEntry:
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

// Stats returns the counts since the index was created.
func (x *Index) Stats() Stats {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.stats
}

// EntryInfo describes one entry to peers.
type EntryInfo struct {
	ID         prefix.ID
	Target     ids.Target
	Generation Generation
	// Work is the expected prefill, in tokens, of the request that created the entry. Only
	// one of a request's entries has it.
	Work int32
}

// maxNewEntries bounds the entries queued for peers between two reports.
const maxNewEntries = 1024

// TakeNewEntries returns and clears the queue of entries that this VM's own requests have
// created since the last call.
func (x *Index) TakeNewEntries() []EntryInfo {
	x.mu.Lock()
	defer x.mu.Unlock()
	entries := x.newEntries
	x.newEntries = nil
	return entries
}

// ApplyPeerEntry adds an entry that a peer reported. gen is the low 16 bits of the target's
// generation; reports for another generation are ignored.
func (x *Index) ApplyPeerEntry(t ids.Target, gen uint16, id uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.number(t)
	if s := &x.targets[n]; uint16(s.generation) == gen && s.incarnation != 0 {
		x.put(prefix.ID(id), n)
	}
}

// Entries returns up to limit valid entries.
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
		out = append(out, EntryInfo{ID: e.id, Target: s.name, Generation: s.generation})
	}
	return out
}

// Has reports whether the index has a valid entry for a prefix on a target.
func (x *Index) Has(t ids.Target, id prefix.ID) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n, ok := x.nums[t]
	return ok && x.find(id, n) != nil
}

// Clear invalidates all entries of a target.
func (x *Index) Clear(t ids.Target) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.newEpoch(&x.targets[x.number(t)])
}
