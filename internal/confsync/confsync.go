// Package confsync keeps one VM's copy of a key space of the object API, such as
// the configuration. Each VM adopts its revisions in increasing order. A few VMs watch
// the store; the others receive the changes from peers as deltas.
//
// # Invariants
//
//   - The revision in force on a VM never decreases, whatever peers or the store send.
//   - A VM applies a delta only to exactly the revision that the delta is based on.
//   - A starting VM serves only when its revision reaches the floor: the highest
//     revision that any reachable peer knows to be in force anywhere. The VM's previous
//     incarnation may have served the floor, so serving an older revision would break
//     the first invariant.
//
// Store is a plain state machine without I/O; the daemon's background tasks drive it.
package confsync

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Snapshot is a full configuration or, with Base set, a delta from revision Base.
type Snapshot struct {
	Base     objectapi.Revision // zero: Objects is the full configuration
	Revision objectapi.Revision
	Floor    objectapi.Revision // the sender's floor
	Objects  []objectapi.Object // in a delta, only those written after Base
	Deleted  []string           // in a delta, the keys of objects deleted after Base
}

// OfferResult is the result of offering a snapshot.
type OfferResult uint8

// The results of an offer.
const (
	Adopted   OfferResult = iota // the snapshot is in force now
	Stale                        // the snapshot is not newer than the revision in force
	WrongBase                    // the snapshot is a delta from another revision; request a full one
)

// maxDeletes bounds how many deletes are kept for deltas.
const maxDeletes = 1024

// AdoptFunc receives each newly adopted revision with all its objects, sorted by key. Store
// calls it with its lock held, so it must not call the store.
type AdoptFunc func(rev objectapi.Revision, objects []objectapi.Object)

// Store holds the revision in force. Safe for concurrent use.
type Store struct {
	adopt    AdoptFunc
	revision atomic.Uint64

	mu       sync.Mutex
	objects  map[string]objectapi.Object
	deleted  []objectapi.Object // Key and Version, oldest first
	deltaMin objectapi.Revision // lowest revision that a delta can be based on
	floor    objectapi.Revision
	changed  chan struct{}
}

// New returns a store with no revision in force. The store calls adopt for each revision that it
// adopts.
func New(adopt AdoptFunc) *Store {
	return &Store{adopt: adopt, objects: map[string]objectapi.Object{}, changed: make(chan struct{}, 1)}
}

// Revision returns the revision in force; zero: none.
func (s *Store) Revision() objectapi.Revision { return objectapi.Revision(s.revision.Load()) }

// Changed returns a channel that receives a value after an adoption; several adoptions may
// share one value.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// RaiseFloor raises the floor to a revision that some VM is reported to serve.
func (s *Store) RaiseFloor(rev objectapi.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, rev)
}

// Floor returns the highest revision known to be in force anywhere.
func (s *Store) Floor() objectapi.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor
}

// ReachedFloor reports whether a revision is in force that is at least the floor.
func (s *Store) ReachedFloor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.Revision()
	return rev > 0 && rev >= s.floor
}

// Offer adopts a snapshot if it is newer than the revision in force and, for a delta, based on
// that revision. In any case it raises the floor to the snapshot's floor.
func (s *Store) Offer(snap Snapshot) OfferResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, snap.Floor)
	have := s.Revision()
	if snap.Revision <= have {
		return Stale
	}
	if snap.Base != 0 && snap.Base != have {
		return WrongBase
	}
	if snap.Base == 0 {
		s.replace(snap)
	} else {
		s.apply(snap)
	}
	s.floor = max(s.floor, snap.Revision)
	s.revision.Store(uint64(snap.Revision))
	s.adopt(snap.Revision, s.sorted())
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return Adopted
}

// replace installs a full snapshot. Objects missing from it were deleted at unknown
// revisions up to its own, so later deltas can't be based on an earlier revision. The
// caller holds the lock.
func (s *Store) replace(snap Snapshot) {
	s.objects = make(map[string]objectapi.Object, len(snap.Objects))
	for _, o := range snap.Objects {
		s.objects[o.Key] = o
	}
	s.deleted, s.deltaMin = nil, snap.Revision
}

// apply installs a delta. The caller holds the lock.
func (s *Store) apply(snap Snapshot) {
	for _, o := range snap.Objects {
		s.objects[o.Key] = o
	}
	for _, key := range snap.Deleted {
		delete(s.objects, key)
		s.deleted = append(s.deleted, objectapi.Object{Key: key, Version: snap.Revision})
	}
	if extra := len(s.deleted) - maxDeletes; extra > 0 {
		s.deltaMin = s.deleted[extra-1].Version
		s.deleted = slices.Clone(s.deleted[extra:])
	}
}

// Delta returns the delta from base to rev for the events of a watch after base. Of several events
// for one key, the last one counts.
func (s *Store) Delta(base objectapi.Revision, events []objectapi.Object, rev objectapi.Revision) Snapshot {
	snap := Snapshot{Base: base, Revision: rev}
	last := map[string]objectapi.Object{}
	for _, e := range events {
		last[e.Key] = e
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if e := last[key]; e.Deleted {
			snap.Deleted = append(snap.Deleted, key)
		} else {
			snap.Objects = append(snap.Objects, e)
		}
	}
	return snap
}

// Since returns the delta from revision have to the revision in force, or a full snapshot if the
// store can't compute the delta.
func (s *Store) Since(have objectapi.Revision) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := Snapshot{Revision: s.Revision(), Floor: s.floor}
	if have == 0 || have < s.deltaMin || have > snap.Revision {
		snap.Objects = s.sorted()
		return snap
	}
	snap.Base = have
	for _, o := range s.sorted() {
		if o.Version > have {
			snap.Objects = append(snap.Objects, o)
		}
	}
	for _, d := range s.deleted {
		if _, exists := s.objects[d.Key]; d.Version > have && !exists {
			snap.Deleted = append(snap.Deleted, d.Key)
		}
	}
	return snap
}

func (s *Store) sorted() []objectapi.Object {
	return slices.SortedFunc(maps.Values(s.objects), func(a, b objectapi.Object) int { return cmp.Compare(a.Key, b.Key) })
}
