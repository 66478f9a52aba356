package loadview

import (
	"testing"
	"time"
)

// waitsOver records calls with a wait at an even pace for d and returns the time at the end.
func waitsOver(tr *Tracker, perSecond int, wait, d time.Duration, now time.Time) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(time.Second / time.Duration(perSecond)) {
		tr.ObserveWait(wait, now)
	}
	return now
}

// TestCallsWaitWithHysteresis guards against a state that changes with every call near the threshold,
// and against one that outlasts the load.
func TestCallsWaitWithHysteresis(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	if tr.CallsWait(now) {
		t.Error("calls wait before the first one")
	}
	for _, step := range []struct {
		wait time.Duration
		want bool
	}{{20 * time.Millisecond, false}, {40 * time.Millisecond, true}, {20 * time.Millisecond, true}, {8 * time.Millisecond, false}, {20 * time.Millisecond, false}} {
		if now = waitsOver(tr, 10, step.wait, 5*time.Second, now); tr.CallsWait(now) != step.want {
			t.Errorf("calls that wait %v: mean %v, waiting %v, want %v", step.wait, tr.MeanWait(now), !step.want, step.want)
		}
	}
	now = waitsOver(tr, 10, time.Second, 5*time.Second, now)
	if !tr.CallsWait(now) || tr.CallsWait(now.Add(5*time.Second)) {
		t.Error("want calls to wait under load and not 5 s after the last one")
	}
}

// TestSingleCallDoesNotWait guards against one call that a fault has delayed: it must not count as load
// at a VM that receives a few calls a second.
func TestSingleCallDoesNotWait(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	now = waitsOver(tr, 6, 5*time.Millisecond, 3*time.Second, now)
	tr.ObserveWait(10*time.Second, now)
	if tr.CallsWait(now) {
		t.Errorf("calls wait, by %v on average, after a single slow one", tr.MeanWait(now))
	}
}

// TestChangesAreSignalled guards against work that changes without a signal for an early round.
func TestChangesAreSignalled(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	signalled := func() bool {
		select {
		case <-tr.Changes():
			return true
		default:
			return false
		}
	}
	w := tr.Sent("e1", 100, now)
	if !signalled() || signalled() {
		t.Error("want one signal for a request")
	}
	if w.FirstToken(); !signalled() {
		t.Error("no signal for a first token")
	}
	if w.FirstToken(); signalled() {
		t.Error("a signal for a later token")
	}
	if w.End(); !signalled() {
		t.Error("no signal for an end")
	}
}
