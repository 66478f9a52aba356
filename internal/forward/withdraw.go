package forward

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// Withdrawal from old weights. A request must begin while its replica's weights may
// still be used, but it begins when the replica's queue lets it, which nobody can know
// for sure. So one that has not begun when the time is up is withdrawn, and goes to a
// replica with newer weights, if it may run again; if it may not, it fails, since nobody
// can tell whether it has begun. An engine that takes an order turns away what waits
// there, and says that it did not run; this covers engines whose orders are late. Calls
// that may not be repeated are kept off old engines earlier (routing.WeightsFilter).

// weightsWatch ends a send that has not begun when its replica's weights become too old.
// Safe for concurrent use.
type weightsWatch struct {
	mu    sync.Mutex
	timer *time.Timer // nil: the send needs no watch
	done  bool        // it has begun, has ended or was withdrawn
}

// weightsCheckInterval is how often a call that waits looks how long its replica's weights may
// still be used: newer ones may be named, and peers may know that they were named earlier.
const weightsCheckInterval = time.Second

// watchWeights withdraws the call from the replica when it has not begun there and the
// replica's weights become too old. Versions that are named while it waits count, too.
// Only streams show when they begin; others are bounded by when they are sent.
func (t *try) watchWeights() {
	if t.r.call.Prompt == nil || !t.r.route.Prompts || t.r.route.Kind != streamKind {
		return
	}
	t.weights.mu.Lock()
	defer t.weights.mu.Unlock()
	t.weights.timer = time.AfterFunc(min(t.weightsLeft(), weightsCheckInterval), t.recheckWeights)
}

// weightsLeft is how long the replica's weights are sure to be usable.
func (t *try) weightsLeft() time.Duration {
	left, behind := t.r.f.Weights.Left(t.r.call.Prompt.Model, t.c.target.Weights, clock.Now())
	if !behind {
		return weightsCheckInterval
	}
	return max(left, 0)
}

// recheckWeights is called when the replica's weights may have become too old.
func (t *try) recheckWeights() {
	t.weights.mu.Lock()
	defer t.weights.mu.Unlock()
	if t.weights.done {
		return
	}
	if left := t.weightsLeft(); left > 0 {
		t.weights.timer.Reset(min(left, weightsCheckInterval))
		return
	}
	t.weights.done = true
	t.r.f.Stats.Withdrawn.Add(1)
	t.cancel(errOldWeights)
}

// stopWeightsWatch ends watchWeights: the call has begun, or is over.
func (t *try) stopWeightsWatch() {
	t.weights.mu.Lock()
	defer t.weights.mu.Unlock()
	t.weights.done = true
	if t.weights.timer != nil {
		t.weights.timer.Stop()
	}
}
