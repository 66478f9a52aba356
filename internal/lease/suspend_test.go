package lease

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestSuspendedHolder suspends the holder of a lease while another VM takes the lease over.
// On a clock that stops during the suspension the holder assumes that it still holds the
// lease and acts alongside its successor; on a clock that counts the suspension it does
// not. The stopped clock disables the safeguard: with it the test must find two holders.
func TestSuspendedHolder(t *testing.T) {
	for _, suspended := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		for _, counts := range []bool{true, false} {
			now := time.Unix(1000, 0)
			stopped := time.Duration(0) // how long the holder's clock has been stopped
			store := objectapi.NewMemory()
			tuning := Tuning{Duration: 900 * time.Millisecond, Margin: 300 * time.Millisecond, WaitOut: 500 * time.Millisecond}
			holder := New(store, "orders", "a", tuning, func() time.Time { return now.Add(-stopped) })
			other := New(store, "orders", "b", tuning, func() time.Time { return now })
			try(t, holder)
			try(t, other) // reads the record
			now = now.Add(suspended)
			if !counts {
				stopped = suspended
			}
			try(t, other)
			_, otherHolds := other.Held()
			token, holds := holder.Held()
			both := otherHolds && holds
			passed := suspended > tuning.Duration+tuning.WaitOut
			if otherHolds != passed {
				t.Errorf("after %v: the other VM holds the lease: %v, want %v", suspended, otherHolds, passed)
			}
			if want := passed && !counts; both != want {
				t.Errorf("after %v, on a clock that counts it %v: two hold the lease: %v, want %v (the holder's: %+v)", suspended, counts, both, want, token)
			}
		}
	}
}

func try(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Try(context.Background()); err != nil {
		t.Fatal(err)
	}
}
