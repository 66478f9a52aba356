package rollout

import (
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
)

// Progress is how far the rollout of a model's newest weights is.
type Progress struct {
	Behind int // engines that lack them
	Down   int // of these, engines that answer nothing
	// Left is how much longer the oldest of the weights in use may be used; negative
	// when they no longer may.
	Left time.Duration
}

// Stats count what came of orders. Safe for concurrent use.
type Stats struct {
	Orders  atomic.Int64 // orders sent
	Done    atomic.Int64 // replicas brought to the weights that were wanted
	Failed  atomic.Int64 // tries that came to nothing
	DrainMs atomic.Int64 // time spent draining, of all tries
	TotalMs atomic.Int64 // time spent on all tries, draining included
}

// Progress returns how far the rollout is, for each model that has engines behind.
func (r *Rollout) Progress(now time.Time) map[ids.Model]Progress {
	out := map[ids.Model]Progress{}
	for _, rec := range r.Replicas.Records() {
		if rec.Role != platform.RoleEngine || rec.State == platform.StateLeaving {
			continue
		}
		if !r.isBehind(rec.Model, rec.Weights, now) {
			continue
		}
		left, _ := r.Weights.Left(rec.Model, rec.Weights, now)
		p, known := out[rec.Model]
		if !known || left < p.Left {
			p.Left = left
		}
		p.Behind++
		if r.Targets.Unresponsive(ids.Target(rec.ID)) {
			p.Down++
		}
		out[rec.Model] = p
	}
	return out
}

// tell logs the progress of a model's rollout when it has changed, with its pace.
func (r *Rollout) tell(m ids.Model, pace orders.MaxUnavailable, wait time.Duration) {
	now, behind := r.Progress(clock.Now())[m]
	if !behind {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	line := told{behind: now.Behind, down: now.Down}
	if r.told[m] == line {
		return
	}
	if r.told == nil {
		r.told = map[ids.Model]told{}
	}
	r.told[m] = line
	r.Log.Belief("rollout").Str("model", string(m)).Str("weights", string(r.Weights.Newest(m))).
		Int("behind", now.Behind).Int("down", now.Down).Int64("left_ms", now.Left.Milliseconds()).
		Int("one_in", pace.OneIn).Int("at_least", pace.AtLeast).Int64("order_ms", r.orderTime.mean(clock.Now(), wait).Milliseconds()).
		Int64("wait_ms", wait.Milliseconds()).Send()
}

// told is what was last logged of a model's rollout.
type told struct{ behind, down int }
