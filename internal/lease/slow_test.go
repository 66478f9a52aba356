package lease

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// slowGet is a store that runs the hook before ahead of every read.
type slowGet struct {
	objectapi.Store
	before func()
}

func (s slowGet) Get(ctx context.Context, key string) (objectapi.Object, error) {
	s.before()
	return s.Store.Get(ctx, key)
}

// TestSlowRead checks that a successor waits for the full time after a slow read of the
// lease has ended. The holder may renew during the read, so the record may have been
// written just before the response.
func TestSlowRead(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	store := objectapi.NewMemory()
	const handover = 3 * time.Second
	tuning := Tuning{Duration: 2200 * time.Millisecond, Margin: 600 * time.Millisecond, WaitOut: handover - 600*time.Millisecond + 200*time.Millisecond}
	a := New(store, "orders", "a", tuning, clock)
	slow := slowGet{store, func() {}}
	b := New(&slow, "orders", "b", tuning, clock)
	_ = a.Try(context.Background())
	slow.before = func() { // the read takes 800 ms to reach the store, and a renews in the meantime
		now = now.Add(800 * time.Millisecond)
		_ = a.Try(context.Background())
	}
	_ = b.Try(context.Background())
	slow.before = func() {}
	token, _ := a.Held()
	for {
		now = now.Add(10 * time.Millisecond)
		_ = b.Try(context.Background())
		if _, ok := b.Held(); ok {
			break
		}
	}
	if gap := now.Sub(token.Until); gap < handover {
		t.Errorf("b holds the lease %v after a stops, want at least %v", gap, handover)
	}
}
