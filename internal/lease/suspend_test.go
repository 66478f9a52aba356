package lease

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// The holder of a lease is suspended, and another VM takes the lease over. On a clock that
// stands still meanwhile the holder believes that it still holds it, and acts beside its
// successor; on one that counts the suspension it does not. The clock that stands still is
// the safeguard taken out: with it the test must see two holders.
func TestSuspendedHolder(t *testing.T) {
	for _, suspended := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		for _, counts := range []bool{true, false} {
			now := time.Unix(1000, 0)
			stood := time.Duration(0) // how long the holder's clock has stood still
			store := objectapi.NewMemory()
			tuning := Tuning{Duration: 900 * time.Millisecond, Margin: 300 * time.Millisecond, WaitOut: 500 * time.Millisecond}
			holder := New(store, "orders", "a", tuning, func() time.Time { return now.Add(-stood) })
			other := New(store, "orders", "b", tuning, func() time.Time { return now })
			try(t, holder)
			try(t, other) // it sees the record
			now = now.Add(suspended)
			if !counts {
				stood = suspended
			}
			try(t, other)
			_, twice := other.Held()
			token, holds := holder.Held()
			two := twice && holds
			passed := suspended > tuning.Duration+tuning.WaitOut
			if twice != passed {
				t.Errorf("after %v: the other VM holds the lease: %v, want %v", suspended, twice, passed)
			}
			if want := passed && !counts; two != want {
				t.Errorf("after %v, on a clock that counts it %v: two hold the lease: %v, want %v (the holder's: %+v)", suspended, counts, two, want, token)
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
