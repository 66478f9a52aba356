package edge

import (
	"testing"
	"time"
)

// TestShutdownTimes checks how the grace period is divided: nothing is left to the kill of the process.
func TestShutdownTimes(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		grace time.Duration
		want  shutdownTimes
	}{
		{0, shutdownTimes{0, 0, 0}},
		{400 * ms, shutdownTimes{0, 0, 0}},
		{600 * ms, shutdownTimes{100 * ms, 0, 100 * ms}},
		{3 * time.Second, shutdownTimes{1500 * ms, 2300 * ms, 2500 * ms}},
		{8 * time.Second, shutdownTimes{2300 * ms, 7300 * ms, 7500 * ms}},
		{10 * time.Second, shutdownTimes{2300 * ms, 9300 * ms, 9500 * ms}},
	} {
		if got := timesOf(c.grace); got != c.want {
			t.Errorf("grace %v: got %+v, want %+v", c.grace, got, c.want)
		}
	}
}

// TestReadinessEndsWithLeave evaluates the readiness once more after the shutdown has begun.
func TestReadinessEndsWithLeave(t *testing.T) {
	var r readiness
	r.set(true, "")
	r.leave()
	if changed := r.set(true, ""); changed {
		t.Error("the readiness changed after the shutdown had begun")
	}
	if ok, reason := r.Ready(); ok || reason != "shutting down" {
		t.Errorf("got %v %q", ok, reason)
	}
}
