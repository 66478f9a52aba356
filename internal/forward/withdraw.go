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
	over  bool        // it has begun, has ended or was withdrawn
}

// weightsCheck is how often a call that waits looks how long its replica's weights may
// still be used: newer ones may be named, and peers may know that they were named earlier.
const weightsCheck = time.Second

// watchWeights withdraws the call from the replica when it has not begun there and the
// replica's weights become too old. Versions that are named while it waits count, too.
// Only streams show when they begin; others are bounded by when they are sent.
func (t *try) watchWeights() {
	if t.r.call.Prompt == nil || !t.r.route.Prompts || t.r.route.Kind != streamKind {
		return
	}
	t.age.mu.Lock()
	defer t.age.mu.Unlock()
	t.age.timer = time.AfterFunc(min(t.weightsLeft(), weightsCheck), t.weightsAged)
}

// weightsLeft is how long the replica's weights are sure to be usable.
func (t *try) weightsLeft() time.Duration {
	left, behind := t.r.f.Weights.Left(t.r.call.Prompt.Model, t.c.target.Weights, clock.Now())
	if !behind {
		return weightsCheck
	}
	return max(left, 0)
}

// weightsAged is called when the replica's weights may have become too old.
func (t *try) weightsAged() {
	t.age.mu.Lock()
	defer t.age.mu.Unlock()
	if t.age.over {
		return
	}
	if left := t.weightsLeft(); left > 0 {
		t.age.timer.Reset(min(left, weightsCheck))
		return
	}
	t.age.over = true
	t.r.f.Stats.Withdrawn.Add(1)
	t.cancel(errOldWeights)
}

// endWatch ends watchWeights: the call has begun, or is over.
func (t *try) endWatch() {
	t.age.mu.Lock()
	defer t.age.mu.Unlock()
	t.age.over = true
	if t.age.timer != nil {
		t.age.timer.Stop()
	}
}
