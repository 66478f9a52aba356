// Package storetest lets a test decide the order and the fate of every call that
// concurrent code makes at the object API. It is scaffolding for stateful fuzzing
// in a testing/synctest bubble: when all goroutines are blocked, the test picks
// one waiting call and what becomes of it.
package storetest

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Fate is what becomes of a call.
type Fate int

// The fates. Reads know only Normal and Refused.
const (
	Normal     Fate = iota
	Refused         // not applied, and the caller knows
	LostAnswer      // applied, the caller does not know
	LostWrite       // not applied, the caller does not know
	Delayed         // applied later by Land, the caller does not know
	FateCount
)

// Call is one waiting call.
type Call struct {
	Write bool
	Key   string
	fate  chan Fate
}

// Store hands its calls to the test. Use New.
type Store struct {
	objectapi.Store
	mu      sync.Mutex
	waiting []*Call
	late    []func()
	free    bool
}

// New returns a store over a memory.
func New() *Store { return &Store{Store: objectapi.NewMemory()} }

// Waiting returns the calls that wait for their fate, oldest first.
func (s *Store) Waiting() []*Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Call(nil), s.waiting...)
}

// Decide lets one waiting call go on.
func (s *Store) Decide(c *Call, f Fate) {
	s.mu.Lock()
	for i, w := range s.waiting {
		if w == c {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	c.fate <- f
}

// Late returns how many delayed writes are still under way.
func (s *Store) Late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.late)
}

// Land applies a delayed write.
func (s *Store) Land(i int) {
	s.mu.Lock()
	f := s.late[i]
	s.late = append(s.late[:i], s.late[i+1:]...)
	s.mu.Unlock()
	f()
}

// Free lets all calls, now and later, go on normally.
func (s *Store) Free() {
	s.mu.Lock()
	s.free = true
	waiting := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	for _, c := range waiting {
		c.fate <- Normal
	}
}

func (s *Store) wait(write bool, key string) Fate {
	s.mu.Lock()
	if s.free {
		s.mu.Unlock()
		return Normal
	}
	c := &Call{Write: write, Key: key, fate: make(chan Fate)}
	s.waiting = append(s.waiting, c)
	s.mu.Unlock()
	return <-c.fate
}

func (s *Store) write(key string, do func() (objectapi.Revision, error)) (objectapi.Revision, error) {
	switch s.wait(true, key) {
	case Refused:
		return 0, objectapi.ErrUnavailable
	case LostAnswer:
		_, _ = do()
		return 0, objectapi.ErrAmbiguous
	case LostWrite:
		return 0, objectapi.ErrAmbiguous
	case Delayed:
		s.mu.Lock()
		s.late = append(s.late, func() { _, _ = do() })
		s.mu.Unlock()
		return 0, objectapi.ErrAmbiguous
	default:
		return do()
	}
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if s.wait(false, key) != Normal {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Create implements objectapi.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectapi.Revision, error) {
	return s.write(key, func() (objectapi.Revision, error) { return s.Store.Create(ctx, key, value) })
}

// Update implements objectapi.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, version objectapi.Revision) (objectapi.Revision, error) {
	return s.write(key, func() (objectapi.Revision, error) { return s.Store.Update(ctx, key, value, version) })
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, key string, version objectapi.Revision) error {
	_, err := s.write(key, func() (objectapi.Revision, error) { return 0, s.Store.Delete(ctx, key, version) })
	return err
}

// FixSeed makes rapid draw the same cases on every run. Call it from TestMain.
func FixSeed() {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.nofailfile": "true", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// noDeadline hides testing.T.Deadline, which may not be called in a bubble.
type noDeadline struct{ rapid.TB }

// Check runs a property in a bubble of virtual time.
func Check(t *testing.T, property func(*rapid.T)) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(noDeadline{t}, property) })
}
