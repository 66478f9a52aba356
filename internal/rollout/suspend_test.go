package rollout

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestNoOrderAfterSuspension suspends the lease holder before it checks its lease. Another VM
// may have taken the lease over in the meantime, so it must send no order unless the
// suspension was shorter than the time left. On a clock that stops during a suspension the
// lease still seemed to be held.
func TestNoOrderAfterSuspension(t *testing.T) {
	for _, suspended := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			_, r := newScripted(t)
			r.Lease = lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: 2 * time.Second}, nil)
			if err := r.Lease.Try(t.Context()); err != nil {
				t.Fatal(err)
			}
			clock.Skip(suspended)
			defer clock.Skip(-suspended)
			token, err := r.token(t.Context())
			if holds := err == nil; holds != (suspended < time.Second) {
				t.Errorf("after %v: %+v, %v", suspended, token, err)
			}
			if err != nil && !errors.Is(err, errNoLease) {
				t.Errorf("after %v: %v", suspended, err)
			}
		})
	}
}
