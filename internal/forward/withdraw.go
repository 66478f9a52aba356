package forward

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// A request must begin while its replica's weights may still be used, but the VM can't know for
// certain when it leaves the replica's queue. The VM therefore withdraws a request that has not
// begun when the time is up. If the request may run again, it goes to a replica with newer
// weights; otherwise it fails, since it may have begun unnoticed. An engine that executes an
// order refuses the requests in its queue as not run, so withdrawal covers engines whose orders
// are late. Calls that may not be repeated avoid engines with old weights earlier
// (routing.WeightsFilter).

// weightsWatch cancels a send that has not begun when its replica's weights become too old.
// Safe for concurrent use.
type weightsWatch struct {
	mu    sync.Mutex
	timer *time.Timer // nil: the send needs no watch
	done  bool        // it has begun, has ended or was withdrawn
}

// weightsCheckInterval is the longest interval between checks of how long the replica's weights
// may still be used while a call waits. Newer weights may be declared meanwhile, or a peer may report
// that they were declared earlier.
const weightsCheckInterval = time.Second

// watchWeights withdraws the call if it has not begun at the replica when the replica's weights
// become too old, also due to versions that are declared while it waits. Only streams show when they
// begin; for other calls the decision bounds the time of sending.
func (t *attempt) watchWeights() {
	if t.r.call.Prompt == nil || !t.r.route.Prompts || t.r.route.Kind != streamKind {
		return
	}
	t.weights.mu.Lock()
	defer t.weights.mu.Unlock()
	t.weights.timer = time.AfterFunc(min(t.weightsLeft(), weightsCheckInterval), t.recheckWeights)
}

// weightsLeft returns a time for which the replica's weights are certain to be usable.
func (t *attempt) weightsLeft() time.Duration {
	left, behind := t.r.f.Weights.Left(t.r.call.Prompt.Model, t.c.target.Weights, clock.Now())
	if !behind {
		return weightsCheckInterval
	}
	return max(left, 0)
}

// recheckWeights runs when the replica's weights may have become too old.
func (t *attempt) recheckWeights() {
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

// recordStart logs and counts a call that has begun at a replica after its weights had become too old, which
// withdrawal should have prevented.
func (t *attempt) recordStart() {
	if t.r.call.Prompt == nil || !t.r.route.Prompts {
		return
	}
	left, behind := t.r.f.Weights.Left(t.r.call.Prompt.Model, t.c.target.Weights, clock.Now())
	if !behind || left >= 0 {
		return
	}
	t.r.f.Stats.LateStarts.Add(1)
	t.r.f.Log.State("late-start").Str("request", string(t.r.call.ID)).Str("target", string(t.c.target.ID)).Str("weights", string(t.c.target.Weights)).
		Int64("over_ms", -left.Milliseconds()).Int64("sent_ms", clock.Since(t.sent).Milliseconds()).Send()
}

// stopWeightsWatch stops the watch, because the call has begun or ended.
func (t *attempt) stopWeightsWatch() {
	t.weights.mu.Lock()
	defer t.weights.mu.Unlock()
	t.weights.done = true
	if t.weights.timer != nil {
		t.weights.timer.Stop()
	}
}
