package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/timing"
)

// errNoLease ends an order that this VM may no longer send.
var errNoLease = errors.New("the lease for orders has ended")

// leaseWait is how long an order waits for the renewal of the lease, which happens every
// few hundred milliseconds.
const leaseWait = time.Second

// token returns a token with enough time left for an order to arrive, or to time out,
// before the lease ends. If too little time is left, it waits for the lease's renewal.
func (r *Rollout) token(ctx context.Context) (lease.Token, error) {
	for end := clock.Now().Add(leaseWait); clock.Now().Before(end); {
		token, ok := r.heldToken()
		if ok && clock.Until(token.Until) >= orderTimeout {
			return token, nil
		}
		if !ok || !timing.Sleep(ctx, drainPollInterval) {
			return token, errNoLease
		}
	}
	return lease.Token{}, errNoLease
}

// heldToken returns the lease's token, unless this VM has stopped sending orders.
func (r *Rollout) heldToken() (lease.Token, bool) {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return lease.Token{}, false
	}
	return r.Lease.Held()
}

// Quiesce stops sending orders for good and waits for those in transit, which takes at
// most orderTimeout. Afterwards the caller may release the lease: no order of this VM
// arrives later.
func (r *Rollout) Quiesce() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.sending.Wait()
}

// beginSend counts an order as in transit and returns true, unless this VM has stopped
// sending orders.
func (r *Rollout) beginSend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.sending.Add(1)
		r.inFlight++
	}
	return !r.stopped
}

// endSend counts an order as no longer in transit. sent reports whether it may have left this VM.
func (r *Rollout) endSend(sent bool) {
	r.mu.Lock()
	r.inFlight--
	if sent {
		r.idleSince = clock.Now()
	}
	r.mu.Unlock()
	r.sending.Done()
}

// IdleSince returns when the last order of this VM arrived or timed out, but no earlier
// than started. It returns false while an order is in transit.
func (r *Rollout) IdleSince(started time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idleSince.Before(started) {
		return started, r.inFlight == 0
	}
	return r.idleSince, r.inFlight == 0
}

// sendOrder sends the command if this VM holds the lease for long enough.
func (r *Rollout) sendOrder(ctx context.Context, c *Command, s State) error {
	// The order counts as in transit before the check of the lease: a process that is
	// suspended between the check and the send must not report on resuming that it is idle.
	if !r.beginSend() {
		return errNoLease
	}
	sent := false
	defer func() { r.endSend(sent) }()
	token, err := r.token(ctx)
	if err != nil {
		return err
	}
	if c.Method == CutOff && !r.canCutOff(c.Target) {
		c.Method = r.methodAfterDrain(c, s.Weights[c.Model]) // requests arrived during the wait for the lease
	}
	c.Fence, c.Expected, c.Weights = token.Fence, s.Orders, r.Weights.Newest(c.Model)
	r.announce(c.Target, c.Weights, false)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.Stats.Orders.Add(1)
	sent = true
	err = r.Client.Order(call, *c)
	line := r.Log.State("order").Str("target", string(c.Target)).Str("weights", string(c.Weights)).Uint64("fence", c.Fence).
		Uint64("expected", c.Expected).Str("method", c.Method.String()).Str("before", string(s.Weights[c.Model]))
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Send()
	switch {
	case errors.Is(err, ErrGone):
		r.OnGone(c.Target, c.Incarnation)
		return err
	case errors.Is(err, ErrRefused):
		return err
	}
	return nil // the next read of the state shows whether the replica accepted the order
}
