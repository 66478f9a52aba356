package mirror

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// TestAgeAfterSuspension guards against understated ages after a suspension: the VM that reads the
// store is suspended, resumes, and serves a peer that was not suspended before it calls the store
// again. With a clock that stops during the suspension, data 20 s old passed for current.
func TestAgeAfterSuspension(t *testing.T) {
	for _, suspended := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		var store atomic.Uint64
		store.Store(1)
		vms := startVMs(t, &store, 1)
		await(t, "a has read the store", awaitTimeout, func() bool { _, ok := vms[0].space.At(); return ok })
		vms[0].storeLost.Store(true)
		time.Sleep(30 * time.Millisecond) // until calls in flight have ended
		clock.Skip(suspended)
		u, ok := vms[0].space.since(position{})
		if !ok {
			t.Fatal("a has no copy to serve")
		}
		p := part(vms[0].space.Prefix, &u, clock.Now())
		if age := time.Duration(p.AgeUs) * time.Microsecond; age < suspended {
			t.Errorf("after a suspension of %v the age of a's data is %v", suspended, age)
		}
		clock.Skip(-suspended)
	}
}
