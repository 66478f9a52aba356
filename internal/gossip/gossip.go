// Package gossip decides what a VM tells its peers: news, each passed on for a
// few rounds, the most urgent first, within a budget of bytes a round.
//
// Store is a plain data structure without goroutines or network, so that its
// cost at the size of a whole failure domain is measured in a loop.
package gossip

import (
	"cmp"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/threadwall/threadwall/internal/peerpb"
)

// Urgency orders news when the budget does not hold all of it.
type Urgency uint8

// The urgencies, the most urgent first.
const (
	UrgentTarget Urgency = iota // a target leaves, falls silent or is reborn
	Heartbeat
	Usage
	Load
	Belief
)

// key identifies what a piece of news is about; later news replaces earlier.
type key struct {
	kind Urgency
	id   string
	hash uint64
}

// item is one piece of news.
type item struct {
	version uint64
	rounds  int // left to pass it on
	size    int
	beat    *peerpb.Beat
	report  *peerpb.TargetReport
	belief  *peerpb.Belief
	usage   *peerpb.Usage
}

// Store holds the latest news. Safe for concurrent use.
type Store struct {
	rounds   int
	capacity int

	mu    sync.Mutex
	items map[key]*item
	fresh map[key]*item // with rounds left
	// Dropped counts news that never fitted a round.
	dropped uint64
}

// New returns a store that passes news on for the given number of rounds and
// remembers at most capacity pieces.
func New(rounds, capacity int) *Store {
	return &Store{rounds: rounds, capacity: capacity, items: map[key]*item{}, fresh: map[key]*item{}}
}

// AddBeat takes in a heartbeat and tells whether it was news.
func (s *Store) AddBeat(b *peerpb.Beat) bool {
	return s.add(key{kind: Heartbeat, id: b.Vm}, &item{version: b.Incarnation<<20 + b.Counter, beat: b}, b)
}

// AddReport takes in a report on a target.
func (s *Store) AddReport(r *peerpb.TargetReport, urgent bool) bool {
	kind := Load
	if urgent {
		kind = UrgentTarget
	}
	return s.add(key{kind: kind, hash: r.Target}, &item{version: r.Seq, report: r}, r)
}

// AddBelief takes in a cache belief; the same belief is news once per epoch, a
// span of time that the caller counts.
func (s *Store) AddBelief(b *peerpb.Belief, epoch uint64) bool {
	return s.add(key{kind: Belief, hash: b.Prefix ^ b.Target*mixer}, &item{version: epoch, belief: b}, b)
}

const mixer = 0x9E3779B97F4A7C15

// AddUsage takes in a VM's demand for a workspace.
func (s *Store) AddUsage(u *peerpb.Usage) bool {
	return s.add(key{kind: Usage, id: u.Vm + "\x00" + u.Workspace}, &item{version: u.Counter, usage: u}, u)
}

// fieldOverhead is the tag and length of one entry in a digest, in bytes.
const fieldOverhead = 2

func (s *Store) add(k key, it *item, m proto.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.items[k]; old != nil && old.version >= it.version {
		return false
	}
	it.rounds = s.rounds
	it.size = proto.Size(m) + fieldOverhead
	s.items[k] = it
	s.fresh[k] = it
	if len(s.items) > s.capacity {
		s.shrink()
	}
	return true
}

// shrink forgets news that is no longer passed on; a repetition of it will count
// as news again, which costs bytes and nothing else.
func (s *Store) shrink() {
	for k := range s.items {
		if s.fresh[k] == nil {
			delete(s.items, k)
		}
		if len(s.items) <= s.capacity*3/4 {
			return
		}
	}
}

// Fill adds news to a digest, up to budget bytes, and counts one round for what
// it added. With several peers a round, call it once and send the same digest.
func (s *Store) Fill(d *peerpb.Digest, budget int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]key, 0, len(s.fresh))
	for k := range s.fresh {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), -cmp.Compare(s.fresh[a].rounds, s.fresh[b].rounds),
			-cmp.Compare(s.fresh[a].version, s.fresh[b].version), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	used := 0
	for _, k := range keys {
		it := s.fresh[k]
		if used+it.size > budget {
			s.skip(k)
			continue
		}
		used += it.size
		it.put(d)
		if it.rounds--; it.rounds == 0 {
			delete(s.fresh, k)
		}
	}
	return used
}

// skip lets news of little urgency that found no room age all the same, so that
// a backlog can't grow: newer news will say it better.
func (s *Store) skip(k key) {
	if k.kind < Load {
		return
	}
	it := s.fresh[k]
	if it.rounds--; it.rounds == 0 {
		s.dropped++
		delete(s.fresh, k)
	}
}

func (it *item) put(d *peerpb.Digest) {
	switch {
	case it.beat != nil:
		d.Beats = append(d.Beats, it.beat)
	case it.report != nil:
		d.Reports = append(d.Reports, it.report)
	case it.belief != nil:
		d.Beliefs = append(d.Beliefs, it.belief)
	default:
		d.Usages = append(d.Usages, it.usage)
	}
}

// Dropped returns how much news never fitted a round.
func (s *Store) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}
