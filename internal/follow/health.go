package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// errUnavailable says that the store does not answer another follower.
var errUnavailable = errors.New("the store does not answer")

// errRelist is the cause with which a watch that may have become unresponsive is cancelled.
var errRelist = errors.New("another watch of the store has failed")

// StoreHealth is shared by the followers of a store. When a call of one follower fails, it cancels
// the watches of all, since the same fault may have made the others unresponsive. Each follower
// then lists again. The follower whose call failed does so first, as the prober: while the store
// does not answer it, the others make no calls, and after proberTimeout one of them takes over as
// the prober. Without this, four followers made 54 calls in a store outage of 9 s; with a single
// prober there are at most 24.
// A nil StoreHealth does nothing. Safe for concurrent use.
type StoreHealth struct {
	mu             sync.Mutex
	cancelledAt    time.Time                             // when all watches were last cancelled
	pendingWatches map[*context.CancelCauseFunc]struct{} // to cancel each
	prober         *Follower                             // the follower that probes the unavailable store; nil: the store is available
	recovered      chan struct{}                         // closed when the store is available again
	probed         map[*Follower]bool                    // followers that have probed without a response
	excluded       map[*Follower]bool                    // followers that the store does not answer although it answers others; their failures are ignored
}

// proberTimeout is how long a follower waits for the prober before it takes over: the failure may
// concern a single key space, and must not make the data of the others stale.
const proberTimeout = 2 * time.Second

// minRelistInterval is the minimum time between two cancellations of all watches: followers that
// list again during an outage fail one after the other, and need not cancel each other's watches
// each time.
const minRelistInterval = time.Second

// reportFailure records that a call of f has failed, and cancels all pending watches. unavailable
// says that the store did not answer the call.
func (h *StoreHealth) reportFailure(f *Follower, unavailable bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.excluded[f] {
		return
	}
	if unavailable && h.prober == nil {
		h.setProber(f)
		h.recovered = make(chan struct{})
	}
	if clock.Since(h.cancelledAt) < minRelistInterval {
		return
	}
	h.cancelledAt = clock.Now()
	for cancel := range h.pendingWatches {
		(*cancel)(errRelist)
	}
}

// reportSuccess records that the store has answered f.
func (h *StoreHealth) reportSuccess(f *Follower) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.excluded, f)
	if h.prober == nil {
		return
	}
	delete(h.probed, f)
	h.excluded, h.probed = h.probed, nil // each follower until the store answers it
	h.prober = nil
	close(h.recovered)
}

// setProber makes f the follower that probes the unavailable store. The caller holds the lock.
func (h *StoreHealth) setProber(f *Follower) {
	if h.probed == nil {
		h.probed = map[*Follower]bool{}
	}
	h.prober = f
	h.probed[f] = true
}

// awaitTurn waits until f may call the store: immediately, unless another follower probes it.
// It returns whether the store was unavailable.
func (h *StoreHealth) awaitTurn(ctx context.Context, f *Follower) (unavailable bool) {
	for ctx.Err() == nil {
		prober, recovered := h.currentProber()
		if prober == nil || prober == f {
			return unavailable
		}
		unavailable = true
		limit := time.NewTimer(proberTimeout)
		select {
		case <-ctx.Done():
		case <-recovered:
		case <-limit.C:
			h.replaceProber(prober, f)
		}
		limit.Stop()
	}
	return unavailable
}

// currentProber returns the follower that probes the store, and a channel that is closed when the
// store is available again. The prober is nil if the store is available.
func (h *StoreHealth) currentProber() (*Follower, chan struct{}) {
	if h == nil {
		return nil, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.prober, h.recovered
}

// replaceProber makes f the prober in place of the given one, unless another follower has already
// replaced it.
func (h *StoreHealth) replaceProber(prober, f *Follower) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.prober == prober {
		h.setProber(f)
	}
}

// watchContext returns a context that ends when a call of another follower fails. The caller must
// call stop.
func (h *StoreHealth) watchContext(ctx context.Context) (watch context.Context, stop func()) {
	watch, cancel := context.WithCancelCause(ctx)
	if h == nil {
		return watch, func() { cancel(nil) }
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pendingWatches == nil {
		h.pendingWatches = map[*context.CancelCauseFunc]struct{}{}
	}
	h.pendingWatches[&cancel] = struct{}{}
	return watch, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.pendingWatches, &cancel)
		cancel(nil)
	}
}
