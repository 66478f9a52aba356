package forward

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// activeCalls are the calls that are being served, with the end of each. Safe for concurrent
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

// add notes a call; the function that it returns takes it out.
func (u *activeCalls) add(ends time.Time, cancel context.CancelFunc) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.all == nil {
		u.all = map[uint64]activeCall{}
	}
	u.next++
	id := u.next
	u.all[id] = activeCall{ends, cancel}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.all, id)
	}
}

// cancelOverdue cancels the calls whose time is over, and returns how many they were.
func (u *activeCalls) cancelOverdue() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, c := range u.all {
		if clock.Until(c.deadline) <= 0 {
			c.cancel()
			n++
		}
	}
	return n
}

// AfterSuspension ends what a suspension of the VM has outlived: calls whose time is over though their
// timers have not fired, and idle connections, whose other ends may be gone. It returns how
// many calls were ended.
func (f *Forwarder) AfterSuspension() int {
	f.Upstream.DropIdle()
	return f.calls.cancelOverdue()
}
