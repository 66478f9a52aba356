package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/timing"
)

// errNoLease ends an order that may not be given any more.
var errNoLease = errors.New("the lease has ended")

// leaseWait is how long an order waits for the renewal of the lease: it is renewed every
// few hundred milliseconds.
const leaseWait = time.Second

// token returns the right to give an order that arrives, or is given up, before the lease
// ends. Where too little is left it waits for the lease's renewal.
func (r *Rollout) token(ctx context.Context) (lease.Token, error) {
	for end := clock.Now().Add(leaseWait); clock.Now().Before(end); {
		token, ok := r.held()
		if ok && clock.Until(token.Until) >= orderTimeout {
			return token, nil
		}
		if !ok || !timing.Sleep(ctx, drainEvery) {
			return token, errNoLease
		}
	}
	return lease.Token{}, errNoLease
}

// held returns the lease's token, unless this VM has stopped giving orders.
func (r *Rollout) held() (lease.Token, bool) {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return lease.Token{}, false
	}
	return r.Lease.Held()
}

// Quiesce ends the giving of orders for good and waits for those on their way, at most
// for orderTimeout. The lease may be released afterwards: nothing of this VM's arrives
// later than that.
func (r *Rollout) Quiesce() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.giving.Wait()
}

// enter counts an order as on its way, unless this VM has stopped giving them.
func (r *Rollout) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.giving.Add(1)
		r.onWay++
	}
	return !r.stopped
}

// leave ends what enter began. sent is whether the order may have left.
func (r *Rollout) leave(sent bool) {
	r.mu.Lock()
	r.onWay--
	if sent {
		r.quietAt = clock.Now()
	}
	r.mu.Unlock()
	r.giving.Done()
}

// IdleSince returns when the last order of this VM had arrived or was given up, or the
// given time if there was none since; false while one is on its way.
func (r *Rollout) IdleSince(started time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quietAt.Before(started) {
		return started, r.onWay == 0
	}
	return r.quietAt, r.onWay == 0
}

// give sends the command while the lease holds.
func (r *Rollout) give(ctx context.Context, c *Command, s State) error {
	// It counts as on its way before it looks at the lease: a process that freezes between
	// the look and the send must not say on waking that it gives no orders.
	if !r.enter() {
		return errNoLease
	}
	sent := false
	defer func() { r.leave(sent) }()
	token, err := r.token(ctx)
	if err != nil {
		return err
	}
	if c.Method == CutOff && !r.mayCutOff(c.Target) {
		c.Method = r.lastResort(c, s.Weights[c.Model]) // calls came while the lease was waited for
	}
	c.Fence, c.Expected, c.Weights = token.Fence, s.Orders, r.Weights.Newest(c.Model)
	r.announce(c.Target, c.Weights, false)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.Stats.Orders.Add(1)
	sent = true
	err = r.Client.Order(call, *c)
	line := r.Log.Belief("order").Str("target", string(c.Target)).Str("weights", string(c.Weights)).Uint64("fence", c.Fence).
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
	return nil // the state that is read next tells what became of it
}
