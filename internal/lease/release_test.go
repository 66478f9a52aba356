package lease

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestReleaseIsFinal lets a VM release its lease while its duty goes on to try: the
// VM must not take it back, and a successor waits for as long after the release as
// after an order of the holder's last moment: Margin and WaitOut.
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
	try(b) // sees the release
	now = now.Add(tuning.WaitOut + 100*time.Millisecond)
	if try(b) {
		t.Fatal("the successor did not wait for the margin")
	}
	now = now.Add(tuning.Margin)
	if !try(b) {
		t.Fatal("the successor waits for longer than it must")
	}
}
