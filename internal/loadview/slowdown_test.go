package loadview

import (
	"testing"
	"time"
)

// TestSlowdownIsMeasuredAndDecays checks that the slowdown of a target whose first tokens
// take longer than predicted rises to the measured ratio, is bounded, and decays.
func TestSlowdownIsMeasuredAndDecays(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	h := tr.Handle("e1")
	slowdown := func() float64 {
		out := make([]Load, 1)
		tr.Estimate([]Handle{h}, make([]Report, 1), 0, now, out)
		return out[0].Slowdown
	}
	if slowdown() != 1 {
		t.Fatalf("got %v before any measurement, want 1", slowdown())
	}
	for range 20 {
		tr.ObserveTTFT("e1", 100*time.Millisecond, 640*time.Millisecond, now) // 4 times 160 ms, the prediction plus MinTTFT
	}
	if got := slowdown(); got < 3.8 || got > 4.1 {
		t.Fatalf("got %v, want about 4", got)
	}
	now = now.Add(slowdownHalfLife)
	if got := slowdown(); got < 2.3 || got > 2.7 {
		t.Fatalf("got %v after a half-life, want about 2.5", got)
	}
	tr.ObserveTTFT("e1", 0, time.Hour, now)
	if got := slowdown(); got > maxSlowdown {
		t.Fatalf("got %v, want at most %d", got, maxSlowdown)
	}
}
