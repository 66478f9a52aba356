// Package confsync keeps one VM's copy of a key space of the object API, such as
// the configuration: adopted by store revision, never backward, spread from few
// watchers to all VMs as deltas.
//
// # Invariants
//
//   - The revision in force on a VM never falls, whatever peers or the store say.
//   - A delta is applied only on exactly the revision that it builds on.
//   - A starting VM serves only when its revision reaches the floor: the highest
//     revision that any reachable peer heard to be in force anywhere. Its former
//     life may have served that one, so an older one would be a step back.
//
// Store is a plain state machine; the daemon's duties feed it.
package confsync

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Snapshot is a whole configuration, or with Base a change of one.
type Snapshot struct {
	Base     objectapi.Revision // zero: Objects are all there are
	Revision objectapi.Revision
	Floor    objectapi.Revision
	Objects  []objectapi.Object
	Deleted  []string
}

// OfferResult says what became of an offer.
type OfferResult uint8

// The verdicts.
const (
	Adopted   OfferResult = iota // it is in force now
	Stale                        // it is not newer than what is in force
	WrongBase                    // a delta of another revision; ask for all
)

// deleteLog is how many deletes are kept for deltas.
const deleteLog = 1024

// AdoptFunc takes in a newly adopted revision. It is called under the store's lock
// and must not call back.
type AdoptFunc func(rev objectapi.Revision, objects []objectapi.Object)

// Store holds the revision in force. Safe for concurrent use.
type Store struct {
	adopt    AdoptFunc
	revision atomic.Uint64

	mu       sync.Mutex
	objects  map[string]objectapi.Object
	deleted  []objectapi.Object // Key and Version, oldest first
	deltaMin objectapi.Revision // deltas can be given from this revision on
	floor    objectapi.Revision
	changed  chan struct{}
}

// New returns a store without a revision.
func New(adopt AdoptFunc) *Store {
	return &Store{adopt: adopt, objects: map[string]objectapi.Object{}, changed: make(chan struct{}, 1)}
}

// Revision returns the revision in force; zero is none.
func (s *Store) Revision() objectapi.Revision { return objectapi.Revision(s.revision.Load()) }

// Changed receives a token after adoptions; several may share one.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// RaiseFloor raises the floor by a revision that some VM is said to serve.
func (s *Store) RaiseFloor(rev objectapi.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, rev)
}

// Floor returns the highest revision heard of.
func (s *Store) Floor() objectapi.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floor
}

// ReachedFloor tells whether a configuration is in force that is as new as the floor.
func (s *Store) ReachedFloor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.Revision()
	return rev > 0 && rev >= s.floor
}

// Offer adopts a snapshot if it is newer and fits.
func (s *Store) Offer(n Snapshot) OfferResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = max(s.floor, n.Floor)
	have := s.Revision()
	if n.Revision <= have {
		return Stale
	}
	if n.Base != 0 && n.Base != have {
		return WrongBase
	}
	if n.Base == 0 {
		s.replace(n)
	} else {
		s.apply(n)
	}
	s.floor = max(s.floor, n.Revision)
	s.revision.Store(uint64(n.Revision))
	s.adopt(n.Revision, s.sorted())
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return Adopted
}

// replace takes a whole snapshot. What it no longer holds was deleted at some
// revision up to its own, so deltas can be given from there on only.
func (s *Store) replace(n Snapshot) {
	s.objects = make(map[string]objectapi.Object, len(n.Objects))
	for _, o := range n.Objects {
		s.objects[o.Key] = o
	}
	s.deleted, s.deltaMin = nil, n.Revision
}

func (s *Store) apply(n Snapshot) {
	for _, o := range n.Objects {
		s.objects[o.Key] = o
	}
	for _, key := range n.Deleted {
		delete(s.objects, key)
		s.deleted = append(s.deleted, objectapi.Object{Key: key, Version: n.Revision})
	}
	if extra := len(s.deleted) - deleteLog; extra > 0 {
		s.deltaMin = s.deleted[extra-1].Version
		s.deleted = slices.Clone(s.deleted[extra:])
	}
}

// Delta turns a watch's events into a delta of the revision in force.
func (s *Store) Delta(base objectapi.Revision, events []objectapi.Object, rev objectapi.Revision) Snapshot {
	n := Snapshot{Base: base, Revision: rev}
	last := map[string]objectapi.Object{}
	for _, e := range events {
		last[e.Key] = e
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if e := last[key]; e.Deleted {
			n.Deleted = append(n.Deleted, key)
		} else {
			n.Objects = append(n.Objects, e)
		}
	}
	return n
}

// Since returns what changed after a revision, or all when that is not known.
func (s *Store) Since(have objectapi.Revision) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := Snapshot{Revision: s.Revision(), Floor: s.floor}
	if have == 0 || have < s.deltaMin || have > n.Revision {
		n.Objects = s.sorted()
		return n
	}
	n.Base = have
	for _, o := range s.sorted() {
		if o.Version > have {
			n.Objects = append(n.Objects, o)
		}
	}
	for _, d := range s.deleted {
		if _, back := s.objects[d.Key]; d.Version > have && !back {
			n.Deleted = append(n.Deleted, d.Key)
		}
	}
	return n
}

func (s *Store) sorted() []objectapi.Object {
	return slices.SortedFunc(maps.Values(s.objects), func(a, b objectapi.Object) int { return cmp.Compare(a.Key, b.Key) })
}
