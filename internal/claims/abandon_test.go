package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/storetest"
)

// next resolves the only waiting store call, after the backoff before it.
func next(t *testing.T, s *storetest.Store, o storetest.Outcome) {
	t.Helper()
	time.Sleep(time.Second)
	synctest.Wait()
	w := s.Waiting()
	if len(w) != 1 {
		t.Fatalf("%d store calls wait, want 1", len(w))
	}
	s.Resolve(w[0], o)
	synctest.Wait()
}

// TestLateCreateOfAbandonedClaim delays all three creates of a claim, which is then
// refused with "not run". Creates that arrive after the abandoned attempt was
// released must not block the key.
func TestLateCreateOfAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &model{store: storetest.New(), runs: map[string]int{}}
		defer m.store.Drain()
		first := m.start(0, "a", outcome.Ran)
		for range resolveCalls {
			next(t, m.store, storetest.Delayed) // create
			next(t, m.store, storetest.Normal)  // the read-back finds nothing
		}
		next(t, m.store, storetest.Normal) // the settler reads and finds nothing
		m.store.Drain()
		if !first.responded || first.reported != outcome.NotRun {
			t.Fatalf("got %v, want not-run", first.reported)
		}
		second := m.start(1, "a", outcome.Ran)
		m.store.Drain()
		if !second.ran || m.runs["a"] != 1 {
			t.Fatalf("second try got %v after %d runs of the call, want ran and 1 run", second.reported, m.runs["a"])
		}
	})
}

// resolveCalls is how often objectapi sends a write whose outcome is unknown.
const resolveCalls = 3

// TestLateUpdateOfAbandonedClaim does the same for a claim on a key whose previous
// attempt had not run: a late update by the abandoned attempt must not replace the
// released record.
func TestLateUpdateOfAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &model{store: storetest.New(), runs: map[string]int{}}
		defer m.store.Drain()
		m.start(0, "a", outcome.NotRun)
		m.store.Drain()
		second := m.start(1, "a", outcome.Ran)
		next(t, m.store, storetest.Normal) // the create finds the released claim
		next(t, m.store, storetest.Normal) // the claim is read
		for range resolveCalls {
			next(t, m.store, storetest.Delayed) // update
			next(t, m.store, storetest.Normal)  // the read-back finds it unchanged
		}
		m.store.Drain()
		if !second.responded || second.reported != outcome.NotRun {
			t.Fatalf("got %v, want not-run", second.reported)
		}
		third := m.start(2, "a", outcome.Ran)
		m.store.Drain()
		if !third.ran || m.runs["a"] != 1 {
			t.Fatalf("third try got %v after %d runs of the call, want ran and 1 run", third.reported, m.runs["a"])
		}
	})
}
