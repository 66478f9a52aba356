// Package mirror lets one VM read the platform's store for the others.
//
// # Upstream peers
//
// The VMs of a failure domain have a fixed order, the same for all, and so do the domains.
// The upstream peers of a VM are the VMs before it in its domain, and then the first VMs of
// the domains before its own. A VM reads from the first upstream peer that answers, and from
// the store if none does or if it has none. A VM never reads from one after it, so there are
// no cycles. In small fleets each VM reads the store by itself: there are few calls, and no
// VM depends on another.
//
// # Copies
//
// A Space is this VM's copy of one key space, with its recent changes. It holds
// everything up to a revision of the store, and this revision never decreases. A list of
// a lower revision is ignored, and so is a change that is not newer than the object in the
// copy. Revisions are ordered by the store's era first (objectapi.Revision), so the first list
// of a new era replaces the copy although its numbers are lower, and what a peer still sends of an
// older era is ignored. If the copy does not hold the object, a change up to the copy's revision is ignored:
// the object had been deleted by then. Therefore it does not matter in which order a VM
// receives data from its peers, or which of them is further behind.
//
// Each part of a response carries its age: the time from the sending of the store call
// that proved the part complete to the response. A reader subtracts the age from the time
// at which it sent its own request, so a delayed response makes the data older, never
// younger.
//
// # Failures
//
// A reader stops reading from an upstream peer that does not answer or whose last contact
// with the store is older than maxContactAge. It then searches for the next peer, and
// lists the store itself if none serves. A VM that reads from a peer therefore misses
// changes for at most maxContactAge and one read longer than a VM that reads the store.
package mirror

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// batch is a set of changes.
type batch struct {
	change uint64 // sequence number of the batch in this copy
	events []objectapi.Object
}

// maxBatches is how many batches are kept: some seconds of a rollout in a large fleet. A
// reader that is further behind gets a full copy.
const maxBatches = 256

// regainedPeriod is how long after the store has recovered entries that expired during its outage
// may be registered again. A reader that comes later must not wait for entries missing from the
// copy: a replica whose entry is gone would get requests for longer than allowed.
const regainedPeriod = 2 * time.Second

// Space is a copy of one key space. It forwards what it applies to Next. Safe for
// concurrent use.
type Space struct {
	Prefix string
	// Next receives what the copy applies, one call at a time, under the space's lock.
	Next follow.Handler
	// Notifier is notified of each change. Shared by the spaces of a VM.
	Notifier *Notifier
	Log      *eventlog.Log

	mu         sync.Mutex
	objects    map[string]objectapi.Object
	at         follow.At // all changes up to its revision are applied
	listed     bool
	regainedAt time.Time // when the store was first heard again after its latest outage, by this VM or by those it reads from
	copyID     uint64    // random identifier of this copy for readers; zero: not listed yet
	change     uint64    // sequence number of the last list or batch
	keys       []string  // of objects, sorted; nil: not sorted yet
	packed     packedChunks
	base       uint64 // sequence number before that of the first batch; a reader at a lower one needs a full copy
	batches    []batch
}

var (
	_ follow.Handler       = (*Space)(nil)
	_ follow.OutageHandler = (*Space)(nil)
)

// Listed implements follow.Handler.
func (s *Space) Listed(objects []objectapi.Object, at follow.At, regained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed && at.Revision < s.at.Revision {
		s.unchanged(at)
		return
	}
	if !s.listed {
		s.copyID = max(rand.Uint64(), 1)
	}
	if newEra := s.listed && at.Revision.Era() > s.at.Revision.Era(); newEra {
		regained = true // entries that the store has lost may be registered again
		s.at.EraSince = clock.Now()
	}
	s.objects = make(map[string]objectapi.Object, len(objects))
	for _, o := range objects {
		s.objects[o.Key] = o
	}
	s.listed, s.keys = true, nil
	if regained && at.Regained.IsZero() {
		at.Regained = clock.Now()
	}
	if at.Regained.After(s.regainedAt) {
		s.regainedAt = at.Regained
	}
	s.change++
	s.base, s.batches = s.change, nil // readers get a list as a full copy
	s.advance(at)
	at.EraSince = s.at.EraSince
	s.Notifier.notify()
	s.Next.Listed(objects, at, regained)
}

// Changed implements follow.Handler.
func (s *Space) Changed(events []objectapi.Object, at follow.At) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameEra(at) {
		return
	}
	var applied []objectapi.Object
	for _, o := range events {
		if s.apply(o, at) {
			applied = append(applied, o)
		}
	}
	if len(applied) == 0 {
		s.unchanged(at)
		return
	}
	s.advance(at)
	at.EraSince = s.at.EraSince
	s.addBatch(applied)
	s.Notifier.notify()
	s.Next.Changed(applied, at)
}

// Unchanged implements follow.Handler.
func (s *Space) Unchanged(at follow.At) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unchanged(at)
}

// unchanged records that the copy was complete up to a state of the store. The caller holds the lock.
func (s *Space) unchanged(at follow.At) {
	if !s.sameEra(at) {
		return
	}
	s.advance(at)
	at.EraSince = s.at.EraSince
	s.Next.Unchanged(at)
}

// Unavailable implements follow.OutageHandler.
func (s *Space) Unavailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	follow.NotifyUnavailable(s.Next)
}

// sameEra reports whether the copy is of the era of a response. Otherwise the response neither changes
// the copy nor says anything about its age: what it lacks is not known before the first list of a new
// era, and an older era is over. The caller holds the lock.
func (s *Space) sameEra(at follow.At) bool {
	if !s.listed {
		return false
	}
	have := s.at.Revision
	if have.Era() != at.Revision.Era() {
		s.Log.State("other-era-ignored").Str("prefix", s.Prefix).Stringer("revision", at.Revision).Stringer("have", have).Send()
		return false
	}
	return true
}

// apply applies one change unless it is known already. The caller holds the lock.
func (s *Space) apply(o objectapi.Object, at follow.At) (changed bool) {
	old, exists := s.objects[o.Key]
	version := o.Version
	if o.Deleted && version == 0 {
		version = at.Revision // the store did not give the revision of the delete
	}
	switch {
	case o.Deleted && (!exists || old.Version > version):
		return false
	case o.Deleted:
		delete(s.objects, o.Key)
		s.keys = nil
		return true
	case exists && version <= old.Version, !exists && version <= s.at.Revision:
		return false
	}
	if !exists {
		s.keys = nil
	}
	s.objects[o.Key] = o
	return true
}

// assumeNewEra makes the era of the first list count as begun at a time, unless a peer tells otherwise.
func (s *Space) assumeNewEra(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		s.at.EraSince = since
	}
}

// addBatch keeps changes for readers. The caller holds the lock.
func (s *Space) addBatch(events []objectapi.Object) {
	s.change++
	s.batches = append(s.batches, batch{change: s.change, events: events})
	if over := len(s.batches) - maxBatches; over > 0 {
		s.base = s.batches[over-1].change
		s.batches = s.batches[over:]
	}
}

// advance raises the copy's revision and times. The caller holds the lock.
func (s *Space) advance(at follow.At) {
	s.at.Revision = max(s.at.Revision, at.Revision)
	if at.Sent.After(s.at.Sent) {
		s.at.Sent = at.Sent
	}
	if at.Answered.After(s.at.Answered) {
		s.at.Answered = at.Answered
	}
	if !at.EraSince.IsZero() && (s.at.EraSince.IsZero() || at.EraSince.Before(s.at.EraSince)) {
		s.at.EraSince = at.EraSince // a peer has seen the era before this VM
	}
}

// At returns the copy's revision and times; ok is false before the first list.
func (s *Space) At() (at follow.At, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at, s.listed
}

// position is how much of a copy a reader has. While the reader receives a full copy in chunks,
// afterKey is the last key that it has received; the objects up to there are as of change or later.
type position struct {
	copyID, change uint64
	afterKey       string
}

// update holds what a reader lacks.
type update struct {
	to       position
	at       follow.At
	full     bool
	more     bool   // the copy continues after the last of objects
	afterKey string // key after which this chunk begins
	regained bool
	// regainedAt is when the store was first heard again, with regained.
	regainedAt time.Time
	objects    []objectapi.Object
	packed     []byte // compressed objects of a full copy; empty: objects are sent uncompressed
}

// chunkBytes bounds the keys and values of one chunk of a copy, unless a single object is longer:
// a slow link must carry each response within the time limit of a read, however large the copy is.
const chunkBytes = 128 << 10

// since returns what changed after a position, or a chunk of a full copy if the position is not
// covered by the batches. ok is false before the first list.
func (s *Space) since(have position) (u update, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return u, false
	}
	u.to, u.at = position{copyID: s.copyID, change: s.change}, s.at
	known := have.copyID == s.copyID && have.change >= s.base
	if known && have.afterKey != "" {
		u.to.change = have.change // later changes of objects in the earlier chunks follow as batches
		s.addChunk(&u, have.afterKey)
		return u, true
	}
	if !known {
		s.addChunk(&u, "")
		return u, true
	}
	for _, b := range s.batches {
		if b.change > have.change {
			u.objects = append(u.objects, b.events...)
		}
	}
	return u, true
}

// addChunk adds the objects after a key, up to chunkBytes. The caller holds the lock.
func (s *Space) addChunk(u *update, afterKey string) {
	if s.keys == nil {
		s.keys = slices.Sorted(maps.Keys(s.objects))
	}
	u.full, u.afterKey, u.regained, u.regainedAt = true, afterKey, clock.Since(s.regainedAt) < regainedPeriod, s.regainedAt
	from, found := slices.BinarySearch(s.keys, afterKey)
	if found {
		from++
	}
	defer func() {
		if packed, err := s.packed.get(u, s.change); err == nil {
			u.packed = packed
		}
	}()
	size := 0
	for i, key := range s.keys[from:] {
		o := s.objects[key]
		if size += len(key) + len(o.Value); i > 0 && size > chunkBytes {
			u.more = true
			return
		}
		u.objects = append(u.objects, o)
	}
}

// microseconds returns the time since a moment in the unit of the protocol; negative times count
// as zero.
func microseconds(since, now time.Time) uint64 { return uint64(max(now.Sub(since).Microseconds(), 0)) }
