// Package follow keeps a VM up with the platform's store: it lists a key space,
// then watches it, through outages.
//
// Every failed call, and every watch that can't be continued, leads to a new
// list: a watch that broke may have missed a change. A watch may also go silent
// without breaking, so the failure of one makes all others of the same store list
// anew (Doubt), and no watch waits long. What is learned goes to a Handler; the time at which a call was sent goes along, since only what was
// confirmed before that is known to be included in its answer.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/timing"
)

// At is how far something that was learned reaches.
type At struct {
	// Revision is that of the store: all changes up to it are included.
	Revision objectapi.Revision
	// Sent is when the call was sent that brought it, on the clock of package clock:
	// whatever the store had confirmed by then is included.
	Sent time.Time
	// Answered is when the answer came: the store was in reach then.
	Answered time.Time
}

// Handler takes in what a Follower learns. Calls come one after the other.
type Handler interface {
	// Listed gives all objects. regained tells that calls had failed before.
	Listed(objects []objectapi.Object, at At, regained bool)
	// Changed gives changes since the last call, in order.
	Changed(events []objectapi.Object, at At)
	// Unchanged says that nothing had changed when a call was sent.
	Unchanged(at At)
}

// Pauses between failed calls. They grow by doubling, with jitter, so that a store
// that comes back isn't met by all VMs at once.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
)

// Follower follows one key space.
type Follower struct {
	Store   objectapi.Store
	Prefix  string
	Handler Handler
	Log     *eventlog.Log
	// Wait tells how long a watch waits for a change. Nil: as long as the store likes.
	Wait func() time.Duration
	// CoalesceDelay tells how long to wait after a change for others, so that a row of them
	// costs one call. Nil: not at all.
	CoalesceDelay func() time.Duration
	// Reconnecting tells that the store was away before Run, as far as this VM knows.
	Reconnecting bool
	// Health is shared by the followers of one store. Nil: this one stands alone.
	Health *StoreHealth

	after objectapi.Revision // zero: list first
	lost  bool
	since time.Time // of the loss
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	f.lost, f.since = f.Reconnecting, clock.Now()
	for ctx.Err() == nil {
		if f.Health.turn(ctx, f) {
			f.after = 0
			f.failed(errAway)
			pause = maxPause // the store has been asked for a while
		}
		err := f.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.Health.answered(f)
			pause = firstPause
			f.regained()
			continue
		}
		f.after = 0
		if errors.Is(err, errDoubted) {
			continue
		}
		compacted := errors.Is(err, objectapi.ErrCompacted)
		f.Health.raise(f, !compacted)
		if compacted {
			f.Log.Belief("history-gone").Str("dependency", "store "+f.Prefix).Send()
			continue // the store is well, only its history is gone
		}
		f.failed(err)
		timing.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(pause*2, maxPause)
	}
}

// once makes one call.
func (f *Follower) once(ctx context.Context) error {
	sent := clock.Now()
	if f.after == 0 {
		objects, rev, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.after = max(rev, 1)
		f.Handler.Listed(objects, At{Revision: f.after, Sent: sent, Answered: clock.Now()}, f.lost)
		return nil
	}
	if f.Wait != nil {
		ctx = objectapi.WithWait(ctx, f.Wait())
	}
	watch, stop := f.Health.until(ctx)
	events, rev, err := f.Store.Watch(watch, f.Prefix, f.after)
	doubted := errors.Is(context.Cause(watch), errDoubted)
	stop()
	if err != nil && doubted {
		return errDoubted
	}
	if err != nil {
		return err
	}
	f.after = max(rev, f.after)
	if len(events) > 0 {
		f.Handler.Changed(events, At{Revision: f.after, Sent: sent, Answered: clock.Now()})
		if f.CoalesceDelay != nil {
			timing.Sleep(ctx, f.CoalesceDelay())
		}
	} else {
		f.Handler.Unchanged(At{Revision: f.after, Sent: sent, Answered: clock.Now()})
	}
	return nil
}

func (f *Follower) failed(err error) {
	if f.lost {
		return
	}
	f.lost, f.since = true, clock.Now()
	f.Log.Belief("dependency-lost").Str("dependency", "store "+f.Prefix).Str("error", err.Error()).Send()
}

func (f *Follower) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.Log.Belief("dependency-regained").Str("dependency", "store "+f.Prefix).Int64("after_ms", clock.Since(f.since).Milliseconds()).Send()
}
