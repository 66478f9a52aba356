package fleet

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestHerdBoundNeedsWaitingPrompts guards against a smaller sample where nothing waits, for requests
// without a prompt, and without a picture of the service.
func TestHerdBoundNeedsWaitingPrompts(t *testing.T) {
	now := time.Unix(1000, 0)
	usual := 0.05
	f := New(membership.New("vm", membership.DefaultTuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), func() time.Time { return now })
	f.UsualPrefill = func(string) float64 { return usual }
	herd := func(tokens int32) float32 {
		r, sc := routing.Request{Service: "s", Tokens: tokens}, f.Acquire()
		defer f.Release(sc)
		f.Decide(&r, nil, sc)
		return r.MaxHerd
	}
	if n := herd(3000); n != 0 {
		t.Errorf("herd bound %v while nothing waits, want none", n)
	}
	for range 10 {
		f.Load.ObserveWait(150*time.Millisecond, now)
	}
	if n := herd(3000); n != 2 {
		t.Errorf("herd bound %v for prompts of 50 ms, want 2", n)
	}
	if n := herd(0); n != 0 {
		t.Errorf("herd bound %v for a request without a prompt, want none", n)
	}
	usual = 0
	if n := herd(3000); n != 0 {
		t.Errorf("herd bound %v without a picture, want none", n)
	}
}
