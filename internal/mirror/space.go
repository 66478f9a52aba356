// Package mirror lets one VM of a failure domain read the platform's store for the
// others.
//
// # Who reads from whom
//
// The VMs of a domain have a fixed order, the same for all. The first one reads the
// store; the others read from the first of those before them that answers, and from
// the store when none does. A VM never reads from one behind it, so there are no
// rings. Small fleets read the store, each VM by itself: their calls are few, and
// nobody depends on anybody.
//
// # What is passed on
//
// A Space is this VM's copy of one key space, with the changes of the last while. It
// has everything up to a revision of the store, and never goes back: a list that reaches
// less far is left out, as is a change of an object that is not newer than what is
// there, or that was made before that revision to an object which is not there (it was
// gone by then). So it does not matter from whom the VM heard what first, or who is
// behind whom.
//
// Each part of an answer says how old it is: how long before the answer the call was
// sent that showed it to have everything. A reader counts that from the sending of its
// own question, so a late answer makes what it brings older, never younger.
//
// # Failures
//
// A speaker whose contact with the store is older than freshAge is left, as is one that
// does not answer. The reader goes back to the store, which it lists anew, and then
// looks for the next VM. So one that reads from another VM is blind for at most freshAge
// and one question more than one that reads the store.
package mirror

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// batch is a set of changes.
type batch struct {
	change uint64 // its number
	events []objectapi.Object
}

// maxBatches is how many sets of changes are kept: some seconds of a rollout in a large
// fleet. A reader that is further behind gets everything anew.
const maxBatches = 256

// regainedFor is how long after the store's return entries that had lapsed meanwhile may
// come back. A reader that comes later must not wait for what is missing from the copy:
// a replica whose entry is gone would get work for longer than it may.
const regainedFor = 2 * time.Second

// Space is a copy of one key space. It passes on to Next what it takes in. Safe for
// concurrent use.
type Space struct {
	Prefix string
	// Next takes in the same, one call after the other.
	Next follow.Handler
	// Notifier rings when something has changed. Shared by the spaces of a VM.
	Notifier *Notifier

	mu       sync.Mutex
	objects  map[string]objectapi.Object
	at       follow.At
	listed   bool
	regained time.Time // when a list last followed a loss of the store
	copyID   uint64    // names this copy to readers; zero: there is none yet
	change   uint64    // number of the last change
	keys     []string  // of objects, sorted; nil: they have to be sorted anew
	packs    packs
	base     uint64 // batches begin after it
	batches  []batch
}

var _ follow.Handler = (*Space)(nil)

// Listed implements follow.Handler.
func (s *Space) Listed(objects []objectapi.Object, at follow.At, regained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed && at.Revision < s.at.Revision {
		s.reach(at)
		s.Next.Unchanged(at)
		return
	}
	if !s.listed {
		s.copyID = max(rand.Uint64(), 1)
	}
	s.objects = make(map[string]objectapi.Object, len(objects))
	for _, o := range objects {
		s.objects[o.Key] = o
	}
	s.listed, s.keys = true, nil
	if regained {
		s.regained = clock.Now()
	}
	s.change++
	s.base, s.batches = s.change, nil // a list is passed on as one
	s.reach(at)
	s.Notifier.ring()
	s.Next.Listed(objects, at, regained)
}

// Changed implements follow.Handler.
func (s *Space) Changed(events []objectapi.Object, at follow.At) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	var news []objectapi.Object
	for _, o := range events {
		if s.apply(o, at) {
			news = append(news, o)
		}
	}
	s.reach(at)
	if len(news) == 0 {
		s.Next.Unchanged(at)
		return
	}
	s.keep(news)
	s.Notifier.ring()
	s.Next.Changed(news, at)
}

// Unchanged implements follow.Handler.
func (s *Space) Unchanged(at follow.At) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	s.reach(at)
	s.Next.Unchanged(at)
}

// apply takes in one change unless it is known. The lock is held.
func (s *Space) apply(o objectapi.Object, at follow.At) (changed bool) {
	old, there := s.objects[o.Key]
	version := o.Version
	if o.Deleted && version == 0 {
		version = at.Revision // the store did not say when
	}
	switch {
	case o.Deleted && (!there || old.Version > version):
		return false
	case o.Deleted:
		delete(s.objects, o.Key)
		s.keys = nil
		return true
	case there && version <= old.Version, !there && version <= s.at.Revision:
		return false
	}
	if !there {
		s.keys = nil
	}
	s.objects[o.Key] = o
	return true
}

// keep remembers a change for readers. The lock is held.
func (s *Space) keep(events []objectapi.Object) {
	s.change++
	s.batches = append(s.batches, batch{change: s.change, events: events})
	if over := len(s.batches) - maxBatches; over > 0 {
		s.base = s.batches[over-1].change
		s.batches = s.batches[over:]
	}
}

// reach notes how far the copy reaches. The lock is held.
func (s *Space) reach(at follow.At) {
	s.at.Revision = max(s.at.Revision, at.Revision)
	if at.Sent.After(s.at.Sent) {
		s.at.Sent = at.Sent
	}
	if at.Answered.After(s.at.Answered) {
		s.at.Answered = at.Answered
	}
}

// At returns how far the copy reaches; ok is false before the first list.
func (s *Space) At() (at follow.At, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at, s.listed
}

// position is how far a reader has come in a copy. behind is set while a whole copy comes in
// pieces: the key up to which the reader has it, as of change or later.
type position struct {
	copyID, change uint64
	behind         string
}

// news is what a reader lacks.
type news struct {
	to       position
	at       follow.At
	whole    bool
	more     bool   // the copy goes on behind the last of objects
	behind   string // where this piece of it begins
	regained bool
	objects  []objectapi.Object
	packed   []byte // objects of a whole copy; empty: they go as they are
}

// pieceBytes bounds the values of one piece of a copy, unless a single one is longer: a question
// must be answered in time over a narrow link, however much there is to copy.
const pieceBytes = 128 << 10

// since returns what came after a position. Of a space that was never listed nothing is
// known, and ok is false.
func (s *Space) since(have position) (n news, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return n, false
	}
	n.to, n.at = position{copyID: s.copyID, change: s.change}, s.at
	known := have.copyID == s.copyID && have.change >= s.base
	if known && have.behind != "" {
		n.to.change = have.change // what changed since in the pieces before comes afterwards
		s.piece(&n, have.behind)
		return n, true
	}
	if !known {
		s.piece(&n, "")
		return n, true
	}
	for _, b := range s.batches {
		if b.change > have.change {
			n.objects = append(n.objects, b.events...)
		}
	}
	return n, true
}

// piece adds the objects behind a key. The lock is held.
func (s *Space) piece(n *news, behind string) {
	if s.keys == nil {
		s.keys = slices.Sorted(maps.Keys(s.objects))
	}
	n.whole, n.behind, n.regained = true, behind, clock.Since(s.regained) < regainedFor
	from, found := slices.BinarySearch(s.keys, behind)
	if found {
		from++
	}
	defer func() {
		if packed, err := s.packs.of(n, s.change); err == nil {
			n.packed = packed
		}
	}()
	bytes := 0
	for i, key := range s.keys[from:] {
		o := s.objects[key]
		if bytes += len(key) + len(o.Value); i > 0 && bytes > pieceBytes {
			n.more = true
			return
		}
		n.objects = append(n.objects, o)
	}
}

// microseconds is the time since a moment, as it travels.
func microseconds(since, now time.Time) uint64 { return uint64(max(now.Sub(since).Microseconds(), 0)) }
