// Package storetest lets a test control the order and the outcome of the Get, Create, Update
// and Delete calls to the object API that concurrent code makes. List and Watch are not
// controlled. The package supports stateful fuzzing in a testing/synctest bubble: when all
// goroutines are blocked, the test picks one waiting call and its outcome.
package storetest

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Outcome is the result of an object API call.
type Outcome int

// Outcomes of a call. A read fails with ErrUnavailable under all of them but Normal.
const (
	Normal       Outcome = iota
	Refused              // not applied; the caller gets ErrUnavailable
	LostResponse         // applied; the caller gets ErrAmbiguous
	LostWrite            // not applied; the caller gets ErrAmbiguous
	Delayed              // applied later by ApplyDelayed; the caller gets ErrAmbiguous
)

// FaultProfile sets how often calls fail in one drawn case, and with which outcomes.
type FaultProfile struct {
	normalOfTen int // calls of ten that end with Normal
	faults      []Outcome
}

// DrawFaultProfile draws the fault rate of a case and its kinds of faults. A case with a single
// kind of fault reaches states that need many such faults, which a mix of kinds rarely does.
func DrawFaultProfile(rt *rapid.T) FaultProfile {
	return FaultProfile{
		normalOfTen: rapid.SampledFrom([]int{2, 4, 6, 9}).Draw(rt, "normal calls of ten"),
		faults: rapid.SampledFrom([][]Outcome{
			{Refused, LostResponse, LostWrite, Delayed}, {Delayed}, {Delayed, Refused}, {LostResponse}, {LostWrite},
		}).Draw(rt, "trouble"),
	}
}

// Draw draws the outcome of a call.
func (p FaultProfile) Draw(rt *rapid.T) Outcome {
	if rapid.IntRange(0, 9).Draw(rt, "normal call") < p.normalOfTen {
		return Normal
	}
	return rapid.SampledFrom(p.faults).Draw(rt, "fate")
}

// Call is a call that waits for its outcome.
type Call struct {
	Actor   int
	outcome chan Outcome
}

// Store holds each call of its actors until the test resolves it. Create it with New and give
// each actor the store that ForActor returns. Calls to Store itself are not held.
type Store struct {
	objectapi.Store
	mu      sync.Mutex
	waiting []*Call
	delayed []func()
}

// New returns a store backed by memory.
func New() *Store { return &Store{Store: objectapi.NewMemory()} }

// Waiting returns the calls that wait for their outcome, sorted by actor. The order does
// not depend on the scheduler, so a drawn case is the same on every run.
func (s *Store) Waiting() []*Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedStableFunc(slices.Values(s.waiting), func(a, b *Call) int { return a.Actor - b.Actor })
}

// ForActor returns the store for one actor. An actor must make one call at a time.
func (s *Store) ForActor(actor int) objectapi.Store { return &actorStore{Store: s, actor: actor} }

// actorStore is the store of one actor.
type actorStore struct {
	*Store
	actor int
}

// Resolve ends a call that Waiting returned, with the given outcome.
func (s *Store) Resolve(c *Call, o Outcome) {
	s.mu.Lock()
	for i, w := range s.waiting {
		if w == c {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	c.outcome <- o
}

// DelayedWrites returns how many delayed writes are not applied yet.
func (s *Store) DelayedWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// ApplyDelayed applies the i-th delayed write, with i less than DelayedWrites.
func (s *Store) ApplyDelayed(i int) {
	s.mu.Lock()
	f := s.delayed[i]
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	s.mu.Unlock()
	f()
}

// idleSeconds is the virtual time without a call after which Drain takes all work as done.
const idleSeconds = 3

// Drain resolves all remaining calls with Normal, one after another. It applies delayed
// writes once no call waits, then resolves the calls that follow. Call it in the test's
// synctest bubble.
func (s *Store) Drain() {
	s.drain()
	for s.DelayedWrites() > 0 {
		s.ApplyDelayed(0)
	}
	s.drain()
}

func (s *Store) drain() {
	for idle := 0; idle < idleSeconds; {
		synctest.Wait()
		if w := s.Waiting(); len(w) > 0 {
			s.Resolve(w[0], Normal)
			idle = 0
			continue
		}
		time.Sleep(time.Second)
		idle++
	}
}

// wait blocks until the test resolves the actor's call, and returns the outcome.
func (v *actorStore) wait() Outcome {
	s := v.Store
	s.mu.Lock()
	c := &Call{Actor: v.actor, outcome: make(chan Outcome)}
	s.waiting = append(s.waiting, c)
	s.mu.Unlock()
	return <-c.outcome
}

func (v *actorStore) write(do func() (objectapi.Revision, error)) (objectapi.Revision, error) {
	s := v.Store
	switch v.wait() {
	case Refused:
		return 0, objectapi.ErrUnavailable
	case LostResponse:
		_, _ = do()
		return 0, objectapi.ErrAmbiguous
	case LostWrite:
		return 0, objectapi.ErrAmbiguous
	case Delayed:
		s.mu.Lock()
		s.delayed = append(s.delayed, func() { _, _ = do() })
		s.mu.Unlock()
		return 0, objectapi.ErrAmbiguous
	default:
		return do()
	}
}

// Get implements objectapi.Store.
func (v *actorStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if v.wait() != Normal {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return v.Store.Store.Get(ctx, key)
}

// Create implements objectapi.Store.
func (v *actorStore) Create(ctx context.Context, key string, value []byte) (objectapi.Revision, error) {
	return v.write(func() (objectapi.Revision, error) { return v.Store.Store.Create(ctx, key, value) })
}

// Update implements objectapi.Store.
func (v *actorStore) Update(ctx context.Context, key string, value []byte, version objectapi.Revision) (objectapi.Revision, error) {
	return v.write(func() (objectapi.Revision, error) { return v.Store.Store.Update(ctx, key, value, version) })
}

// Delete implements objectapi.Store.
func (v *actorStore) Delete(ctx context.Context, key string, version objectapi.Revision) error {
	_, err := v.write(func() (objectapi.Revision, error) { return 0, v.Store.Store.Delete(ctx, key, version) })
	return err
}

// FixSeed makes rapid draw the same 600 cases on every run. Call it from TestMain.
func FixSeed() {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.nofailfile": "true", "rapid.checks": "600"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Check runs a property, each case in a synctest bubble of its own. rapid.Check itself runs
// outside the bubbles: it stops early once a day has passed on its clock, which takes no time on
// a bubble's virtual clock. All goroutines of a property must end, even if it fails.
func Check(t *testing.T, property func(*rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			property(rt)
		})
		// Rapid identifies a failure by the place that raises it, so the failure is raised again
		// here, outside the bubble. invalidData is no failure: with it rapid discards the case.
		switch kind := fmt.Sprintf("%T", failure); {
		case failure == nil:
		case kind == "rapid.invalidData":
			panic(failure)
		default:
			rt.Fatalf("%v", failure)
		}
	})
}
