package loadview

import (
	"testing"
	"time"
)

// TestPaceIsLearnedAndFades checks that a target whose first tokens take longer than
// predicted is taken to be slower, and that this passes.
func TestPaceIsLearnedAndFades(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	h := tr.Handle("e1")
	pace := func() float64 {
		out := make([]Load, 1)
		tr.Estimate([]Handle{h}, make([]Report, 1), 0, now, out)
		return out[0].Slowdown
	}
	if pace() != 1 {
		t.Fatalf("got %v of a target that nothing is known of, want 1", pace())
	}
	for range 20 {
		tr.ObserveTTFT("e1", 100*time.Millisecond, 640*time.Millisecond, now) // 4 times 160 ms
	}
	if p := pace(); p < 3.8 || p > 4.1 {
		t.Fatalf("got %v, want about 4", p)
	}
	now = now.Add(paceHalfLife)
	if p := pace(); p < 2.3 || p > 2.7 {
		t.Fatalf("got %v after a half-life, want about 2.5", p)
	}
	tr.ObserveTTFT("e1", 0, time.Hour, now)
	if p := pace(); p > maxPace {
		t.Fatalf("got %v, want at most %d", p, maxPace)
	}
}
