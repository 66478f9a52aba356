package forward

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// activeCalls holds the calls that are being served, with their deadlines. Safe for concurrent
// use; the zero value is empty.
type activeCalls struct {
	mu   sync.Mutex
	next uint64
	all  map[uint64]activeCall
}

type activeCall struct {
	deadline time.Time
	cancel   context.CancelFunc
}

// add adds a call and returns a function that removes it.
func (a *activeCalls) add(ends time.Time, cancel context.CancelFunc) (remove func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all == nil {
		a.all = map[uint64]activeCall{}
	}
	a.next++
	id := a.next
	a.all[id] = activeCall{ends, cancel}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.all, id)
	}
}

// cancelOverdue cancels the calls whose deadline has passed and returns their number.
func (a *activeCalls) cancelOverdue() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.all {
		if clock.Until(c.deadline) <= 0 {
			c.cancel()
			n++
		}
	}
	return n
}

// AfterSuspension cleans up after a suspension of the VM. It cancels calls whose deadline has
// passed although their timers have not fired, closes idle connections, whose peers may be gone,
// and returns the number of cancelled calls.
func (f *Forwarder) AfterSuspension() int {
	f.Upstream.DropIdle()
	return f.calls.cancelOverdue()
}
