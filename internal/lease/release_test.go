package lease

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestReleaseIsFinal checks that a VM that has released its lease does not acquire it again
// when it goes on calling Try. A successor waits for Margin and WaitOut after the release,
// since the holder may have acted until then.
func TestReleaseIsFinal(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	store := objectapi.NewMemory()
	tuning := Tuning{Duration: 2 * time.Second, Margin: 600 * time.Millisecond, WaitOut: 2700 * time.Millisecond}
	a, b := New(store, "orders", "a", tuning, clock), New(store, "orders", "b", tuning, clock)
	try := func(l *Lease) bool {
		t.Helper()
		if err := l.Try(context.Background()); err != nil {
			t.Fatal(err)
		}
		_, held := l.Held()
		return held
	}
	if !try(a) {
		t.Fatal("a free lease was not acquired")
	}
	if err := a.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if try(a) {
		t.Fatal("a released lease was taken back")
	}
	try(b) // reads the released record
	now = now.Add(tuning.WaitOut + 100*time.Millisecond)
	if try(b) {
		t.Fatal("the successor did not wait for Margin")
	}
	now = now.Add(tuning.Margin)
	if !try(b) {
		t.Fatal("the successor waits longer than Margin and WaitOut")
	}
}

// TestTakeover checks the time that Takeover returns: the duration plus WaitOut, or Margin
// plus WaitOut after a release, and none for a lease that the VM itself holds. Try must
// succeed right after that time, and not before.
func TestTakeover(t *testing.T) {
	for _, released := range []bool{false, true} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		store := objectapi.NewMemory()
		tuning := Tuning{Duration: 2 * time.Second, Margin: 600 * time.Millisecond, WaitOut: 2700 * time.Millisecond}
		a, b := New(store, "orders", "a", tuning, clock), New(store, "orders", "b", tuning, clock)
		try := func(l *Lease) bool {
			t.Helper()
			if err := l.Try(context.Background()); err != nil {
				t.Fatal(err)
			}
			_, held := l.Held()
			return held
		}
		due := func(l *Lease, want time.Duration, known bool) {
			t.Helper()
			if got, ok := l.Takeover(); ok != known || got != want {
				t.Errorf("released %v: takeover in %v, %v; want %v, %v", released, got, ok, want, known)
			}
		}
		due(b, 0, false)
		try(a)
		due(a, 0, false)
		span := tuning.Duration + tuning.WaitOut
		if released {
			span = tuning.Margin + tuning.WaitOut
			if err := a.Release(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		try(b)
		due(b, span, true)
		now = now.Add(span)
		due(b, 0, true)
		if try(b) {
			t.Errorf("released %v: taken over too early", released)
		}
		now = now.Add(1)
		due(b, 0, true)
		if !try(b) {
			t.Errorf("released %v: not taken over when due", released)
		}
		due(b, 0, false)
		try(a) // reads the new holder's record, unless a has released the lease
		if _, known := a.Takeover(); known == released {
			t.Errorf("released %v: the former holder expects to take over: %v", released, known)
		}
	}
}

// hookedUpdates is a store that runs the hooks before and after around its next update.
type hookedUpdates struct {
	objectapi.Store
	before, after func()
}

func (u *hookedUpdates) Update(ctx context.Context, key string, value []byte, v objectapi.Revision) (objectapi.Revision, error) {
	before, after := u.before, u.after
	u.before, u.after = func() {}, func() {}
	before()
	defer after()
	return u.Store.Update(ctx, key, value, v)
}

// TestReleaseDuringRenewal releases a lease during its renewal, before and after the
// renewal takes effect: the VM must not hold the lease afterwards. A VM that has released
// must not expect to take over the lease of another VM.
func TestReleaseDuringRenewal(t *testing.T) {
	nothing := func() {}
	for _, applied := range []bool{false, true} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		store := &hookedUpdates{Store: objectapi.NewMemory(), before: nothing, after: nothing}
		tuning := Tuning{Duration: 2 * time.Second, Margin: 600 * time.Millisecond, WaitOut: 2700 * time.Millisecond}
		a, b := New(store, "orders", "a", tuning, clock), New(store, "orders", "b", tuning, clock)
		for _, l := range []*Lease{a, b} {
			if err := l.Try(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		release := func() { _ = a.Release(t.Context()) } // fails if the renewal came first; the lease then expires
		if applied {
			store.after = release
		} else {
			store.before = release
		}
		_ = a.Try(t.Context())
		if token, held := a.Held(); held {
			t.Errorf("renewed before %v: a holds %+v after its release", applied, token)
		}
		if _, known := b.Takeover(); !known {
			t.Error("the other VM does not expect to take over")
		}
		if err := b.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if due, known := b.Takeover(); known {
			t.Errorf("a VM that has released the lease expects to take over in %v", due)
		}
	}
}
