package rollout

import (
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
)

// Progress is the state of the rollout of a model's newest weights.
type Progress struct {
	Behind int // engines without the newest weights
	Down   int // of these, unresponsive engines
	// Left is how much longer the oldest weights in use may be used; negative once that
	// time is over.
	Left time.Duration
}

// Stats counts orders and their results. Safe for concurrent use.
type Stats struct {
	Orders  atomic.Int64 // orders sent
	Done    atomic.Int64 // updates that ended without an error
	Failed  atomic.Int64 // updates that failed
	DrainMs atomic.Int64 // total time spent draining
	TotalMs atomic.Int64 // total time spent on updates, including draining
}

// Progress returns the state of the rollout of each model with engines that lack the newest
// weights.
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

// logProgress logs the progress of a model's rollout if it has changed, with the limit of
// engines out of service.
func (r *Rollout) logProgress(m ids.Model, limit orders.MaxUnavailable, wait time.Duration) {
	p, behind := r.Progress(clock.Now())[m]
	if !behind {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	line := loggedProgress{behind: p.Behind, down: p.Down}
	if r.logged[m] == line {
		return
	}
	if r.logged == nil {
		r.logged = map[ids.Model]loggedProgress{}
	}
	r.logged[m] = line
	r.Log.State("rollout").Str("model", string(m)).Str("weights", string(r.Weights.Newest(m))).
		Int("behind", p.Behind).Int("down", p.Down).Int64("left_ms", p.Left.Milliseconds()).
		Int("one_in", limit.OneIn).Int("at_least", limit.AtLeast).Int64("order_ms", r.orderTime.mean(clock.Now(), wait).Milliseconds()).
		Int64("wait_ms", wait.Milliseconds()).Send()
}

// loggedProgress is the progress of a model's rollout that was last logged.
type loggedProgress struct{ behind, down int }
