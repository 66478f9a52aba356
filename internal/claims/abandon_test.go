package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/storetest"
)

// next lets the one waiting call go on, after the pauses before it.
func next(t *testing.T, s *storetest.Store, f storetest.Fate) {
	t.Helper()
	time.Sleep(time.Second)
	synctest.Wait()
	w := s.Waiting()
	if len(w) != 1 {
		t.Fatalf("%d calls wait", len(w))
	}
	s.Decide(w[0], f)
	synctest.Wait()
}

// A claim whose create was lost thrice on the way is refused with "not run". The
// creates that land after that, and after the abandoned attempt was released,
// must not keep the key from being used.
func TestLateCreateOfAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &model{store: storetest.New(), runs: map[string]int{}}
		defer m.store.Drain()
		first := m.start(0, "a", outcome.Ran)
		for range resolveCalls {
			next(t, m.store, storetest.Delayed) // create
			next(t, m.store, storetest.Normal)  // read-back finds nothing
		}
		next(t, m.store, storetest.Normal) // the settler looks, and finds nothing
		m.store.Drain()
		if !first.heard || first.told != outcome.NotRun {
			t.Fatalf("told %v", first.told)
		}
		second := m.start(1, "a", outcome.Ran)
		m.store.Drain()
		if !second.ran || m.runs["a"] != 1 {
			t.Fatalf("second try told %v, %d runs", second.told, m.runs["a"])
		}
	})
}

// resolveCalls is how often a lost write is repeated.
const resolveCalls = 3

// The same for a claim that was to take over from an attempt that had not run:
// its update must not land on the released record later.
func TestLateUpdateOfAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &model{store: storetest.New(), runs: map[string]int{}}
		defer m.store.Drain()
		m.start(0, "a", outcome.NotRun)
		m.store.Drain()
		second := m.start(1, "a", outcome.Ran)
		next(t, m.store, storetest.Normal) // create finds the released claim
		next(t, m.store, storetest.Normal) // reads it
		for range resolveCalls {
			next(t, m.store, storetest.Delayed) // update
			next(t, m.store, storetest.Normal)  // read-back finds it untouched
		}
		m.store.Drain()
		if !second.heard || second.told != outcome.NotRun {
			t.Fatalf("told %v", second.told)
		}
		third := m.start(2, "a", outcome.Ran)
		m.store.Drain()
		if !third.ran || m.runs["a"] != 1 {
			t.Fatalf("third try told %v, %d runs", third.told, m.runs["a"])
		}
	})
}
