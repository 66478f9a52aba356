// Package follow keeps a VM's copy of the platform's store up to date: it lists a key space and
// then watches it, through outages.
//
// Every failed call, and every watch that can't be continued, leads to a new list: a watch that
// broke may have missed a change. A watch may also become unresponsive without breaking. Therefore
// the failure of one call makes all followers of the same store list again (StoreHealth), and
// Follower.Wait limits how long a watch waits. A Handler receives the results together with the
// time at which the call was sent, since only writes that were confirmed before that time are known
// to be included in the response.
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

// At says which state of the store a response reflects.
type At struct {
	// Revision is the store's revision: all changes up to it are included.
	Revision objectapi.Revision
	// Sent is when the call was sent, on the clock of package clock: all writes that the store
	// had confirmed by then are included.
	Sent time.Time
	// Answered is when the response was received: the store was reachable then.
	Answered time.Time
	// Regained is when the store was first heard again, by this VM or the one whose copy it reads, in the list that
	// follows an outage. Zero: not known.
	Regained time.Time
	// Relayed says that the response comes from a peer's copy.
	Relayed bool
	// EraSince is when the store was first known to be in the era of Revision, after it had come back
	// from an older copy. Zero: no earlier era is known of.
	EraSince time.Time
}

// Handler receives the results of a Follower, which calls its methods one at a time.
type Handler interface {
	// Listed passes all objects. regained reports whether the store was unavailable before this
	// list.
	Listed(objects []objectapi.Object, at At, regained bool)
	// Changed passes the changes since the last call, in order.
	Changed(events []objectapi.Object, at At)
	// Unchanged reports that nothing had changed when a call was sent.
	Unchanged(at At)
}

// OutageHandler is a Handler that is told when an outage of the store begins. It ends with the next call of
// the Handler.
type OutageHandler interface {
	Unavailable()
}

// NotifyUnavailable tells a handler that the store has become unavailable, if it is an OutageHandler.
func NotifyUnavailable(h Handler) {
	if o, ok := h.(OutageHandler); ok {
		o.Unavailable()
	}
}

// Delays between failed calls. They double up to the maximum, with jitter, so that not all VMs
// call a store that has just recovered at the same time.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Follower follows one key space.
type Follower struct {
	Store   objectapi.Store
	Prefix  string
	Handler Handler
	Log     *eventlog.Log
	// Wait returns how long a watch waits for a change. If nil, the store decides.
	Wait func() time.Duration
	// CoalesceDelay returns how long to wait after a change for more, so that a series of changes
	// costs one call. If nil, there is no delay.
	CoalesceDelay func() time.Duration
	// WatchDelay is how long after a list the next watch begins, which returns what changes meanwhile.
	WatchDelay time.Duration
	// Reconnecting says that the store was unavailable before Run, as far as this VM knows.
	Reconnecting bool
	// Health is shared by the followers of one store. Nil if this is the only one.
	Health *StoreHealth

	after     objectapi.Revision // the next watch starts after this revision; zero: list first
	lost      bool               // the store is unavailable
	lostSince time.Time
}

// Run follows the key space until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	f.lost, f.lostSince = f.Reconnecting, clock.Now()
	if f.lost {
		NotifyUnavailable(f.Handler)
	}
	for ctx.Err() == nil {
		if f.Health.awaitTurn(ctx, f) {
			f.after = 0
			f.failed(errUnavailable)
			delay = maxRetryDelay // the prober has been retrying for a while, so the store may still be unavailable
		}
		err := f.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.Health.reportSuccess(f)
			delay = minRetryDelay
			f.regained()
			continue
		}
		f.after = 0
		if errors.Is(err, errRelist) {
			continue
		}
		compacted := errors.Is(err, objectapi.ErrCompacted)
		f.Health.reportFailure(f, !compacted)
		if compacted {
			f.Log.State("history-gone").Str("dependency", "store "+f.Prefix).Send()
			continue // the store is healthy and has only dropped its history
		}
		f.failed(err)
		timing.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(delay*2, maxRetryDelay)
	}
}

// once makes one call: a list, or a watch after the last known revision.
func (f *Follower) once(ctx context.Context) error {
	sent := clock.Now()
	if f.after == 0 {
		objects, rev, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.after = max(rev, 1)
		at := At{Revision: f.after, Sent: sent, Answered: clock.Now()}
		if f.lost {
			at.Regained = at.Answered
		}
		f.Handler.Listed(objects, at, f.lost)
		timing.Sleep(ctx, f.WatchDelay)
		return nil
	}
	if f.Wait != nil {
		ctx = objectapi.WithWait(ctx, f.Wait())
	}
	watch, stop := f.Health.watchContext(ctx)
	events, rev, err := f.Store.Watch(watch, f.Prefix, f.after)
	relist := errors.Is(context.Cause(watch), errRelist)
	stop()
	if err != nil && relist {
		return errRelist
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
	f.lost, f.lostSince = true, clock.Now()
	NotifyUnavailable(f.Handler)
	f.Log.State("dependency-lost").Str("dependency", "store "+f.Prefix).Str("error", err.Error()).Send()
}

func (f *Follower) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.Log.State("dependency-regained").Str("dependency", "store "+f.Prefix).Int64("after_ms", clock.Since(f.lostSince).Milliseconds()).Send()
}
