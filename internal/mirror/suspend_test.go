package mirror

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// A VM that reads the store for others is suspended, wakes, and answers a peer that asks
// before it has asked the store again: what it passes on is as old as it is, also to a peer
// that was not suspended. On a clock that stands still meanwhile, 20 s old news passed for
// news of the moment.
func TestToldAfterASuspension(t *testing.T) {
	for _, suspended := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		var store atomic.Uint64
		store.Store(1)
		vms := startVMs(t, &store, 1)
		await(t, "a has read the store", soon, func() bool { _, ok := vms[0].space.At(); return ok })
		vms[0].cut.Store(true)
		time.Sleep(30 * time.Millisecond) // a call that had begun ends
		clock.Skip(suspended)
		n, ok := vms[0].space.since(position{})
		if !ok {
			t.Fatal("a has nothing to tell")
		}
		p := part(vms[0].space.Prefix, &n, clock.Now())
		if age := time.Duration(p.AgeUs) * time.Microsecond; age < suspended {
			t.Errorf("after %v, a tells of what it knew as %v old", suspended, age)
		}
		clock.Skip(-suspended)
	}
}
