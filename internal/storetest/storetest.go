// Package storetest lets a test decide the order and the fate of every call that
// concurrent code makes at the object API. It is scaffolding for stateful fuzzing
// in a testing/synctest bubble: when all goroutines are blocked, the test picks
// one waiting call and what becomes of it.
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

// Outcome is what becomes of a call.
type Outcome int

// The fates. Reads know only Normal and Refused.
const (
	Normal       Outcome = iota
	Refused              // not applied, and the caller knows
	LostResponse         // applied, the caller does not know
	LostWrite            // not applied, the caller does not know
	Delayed              // applied later by Land, the caller does not know
)

// FaultProfile is how the store behaves in one drawn case.
type FaultProfile struct {
	good int // of ten calls
	bad  []Outcome
}

// DrawFaultProfile draws the behaviour of a case: how much goes wrong, and whether all
// kinds of trouble come together or one alone, which drives code far down a path.
func DrawFaultProfile(rt *rapid.T) FaultProfile {
	return FaultProfile{
		good: rapid.SampledFrom([]int{2, 4, 6, 9}).Draw(rt, "good of ten"),
		bad: rapid.SampledFrom([][]Outcome{
			{Refused, LostResponse, LostWrite, Delayed}, {Delayed}, {Delayed, Refused}, {LostResponse}, {LostWrite},
		}).Draw(rt, "trouble"),
	}
}

// Draw draws what becomes of a call.
func (w FaultProfile) Draw(rt *rapid.T) Outcome {
	if rapid.IntRange(0, 9).Draw(rt, "goes well") < w.good {
		return Normal
	}
	return rapid.SampledFrom(w.bad).Draw(rt, "fate")
}

// Call is one waiting call.
type Call struct {
	Actor int
	fate  chan Outcome
}

// Store hands its calls to the test. Use New, and As for each actor.
type Store struct {
	objectapi.Store
	mu      sync.Mutex
	waiting []*Call
	late    []func()
}

// New returns a store over a memory.
func New() *Store { return &Store{Store: objectapi.NewMemory()} }

// Waiting returns the calls that wait for their fate, by actor: the order does
// not depend on the scheduler, so a drawn case is the same on every run.
func (s *Store) Waiting() []*Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedStableFunc(slices.Values(s.waiting), func(a, b *Call) int { return a.Actor - b.Actor })
}

// ForActor returns the store as one actor uses it. An actor makes one call at a time.
func (s *Store) ForActor(actor int) objectapi.Store { return &view{Store: s, actor: actor} }

// view is the store of one actor.
type view struct {
	*Store
	actor int
}

// Resolve lets one waiting call go on.
func (s *Store) Resolve(c *Call, f Outcome) {
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

// DelayedWrites returns how many delayed writes are still under way.
func (s *Store) DelayedWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.late)
}

// ApplyDelayed applies a delayed write.
func (s *Store) ApplyDelayed(i int) {
	s.mu.Lock()
	f := s.late[i]
	s.late = append(s.late[:i], s.late[i+1:]...)
	s.mu.Unlock()
	f()
}

// idleSeconds of virtual time without a call mean that nothing is left to do.
const idleSeconds = 3

// Drain lets everything that is left go well, one call after another; delayed
// writes land when nothing else is left to do.
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

func (v *view) wait() Outcome {
	s := v.Store
	s.mu.Lock()
	c := &Call{Actor: v.actor, fate: make(chan Outcome)}
	s.waiting = append(s.waiting, c)
	s.mu.Unlock()
	return <-c.fate
}

func (v *view) write(do func() (objectapi.Revision, error)) (objectapi.Revision, error) {
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
		s.late = append(s.late, func() { _, _ = do() })
		s.mu.Unlock()
		return 0, objectapi.ErrAmbiguous
	default:
		return do()
	}
}

// Get implements objectapi.Store.
func (v *view) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if v.wait() != Normal {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return v.Store.Store.Get(ctx, key)
}

// Create implements objectapi.Store.
func (v *view) Create(ctx context.Context, key string, value []byte) (objectapi.Revision, error) {
	return v.write(func() (objectapi.Revision, error) { return v.Store.Store.Create(ctx, key, value) })
}

// Update implements objectapi.Store.
func (v *view) Update(ctx context.Context, key string, value []byte, version objectapi.Revision) (objectapi.Revision, error) {
	return v.write(func() (objectapi.Revision, error) { return v.Store.Store.Update(ctx, key, value, version) })
}

// Delete implements objectapi.Store.
func (v *view) Delete(ctx context.Context, key string, version objectapi.Revision) error {
	_, err := v.write(func() (objectapi.Revision, error) { return 0, v.Store.Store.Delete(ctx, key, version) })
	return err
}

// FixSeed makes rapid draw the same cases on every run. Call it from TestMain.
func FixSeed() {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.nofailfile": "true", "rapid.checks": "600"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Check runs a property, each case in a bubble of virtual time of its own. The
// rapid check itself stays outside: it ends early when its clock has run on by a
// day, which virtual time does at once. A property must let all its goroutines
// end, also when it fails.
func Check(t *testing.T, property func(*rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			property(rt)
		})
		// Rapid tells failures apart by where they are raised.
		switch kind := fmt.Sprintf("%T", failure); {
		case failure == nil:
		case kind == "rapid.invalidData":
			panic(failure)
		default:
			rt.Fatalf("%v", failure)
		}
	})
}
