package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// Timeouts of the update of one replica.
const (
	// readInterval is the pause between two reads of the state of a replica that loads
	// weights. A load takes about 0.8 s once the current requests have finished.
	readInterval = 200 * time.Millisecond
	// readTimeout is the timeout of one read of a replica's state.
	readTimeout = 500 * time.Millisecond
	// orderTimeout is the timeout of sending an order and waiting for the response.
	orderTimeout = 600 * time.Millisecond
	// updateTimeout is the timeout of the whole update and is below orders.MaxOrder. It is
	// as long as the longest requests that a replica finishes before it loads weights: a
	// replica is out of service until it has carried out its order, and must count as such.
	updateTimeout = 9 * time.Second
)

// Send implements orders.Sender.
func (r *Rollout) Send(ctx context.Context, o orders.Order, _ lease.Token) error {
	began := clock.Now()
	r.orderTime.begin(o.Target, began)
	ordered, err := r.update(ctx, o)
	r.orderTime.end(o.Target, clock.Now(), ordered, err == nil)
	r.recordResult(o.Target, err)
	r.logEnd(o, clock.Since(began), err)
	return err
}

// logEnd counts and logs the result of an order.
func (r *Rollout) logEnd(o orders.Order, took time.Duration, err error) {
	r.Stats.TotalMs.Add(took.Milliseconds())
	line := r.Log.State("order-end").Str("target", string(o.Target)).Str("weights", string(o.Desired.Weights)).Int64("took_ms", took.Milliseconds())
	if err == nil {
		r.Stats.Done.Add(1)
	} else {
		r.Stats.Failed.Add(1)
		line = line.Str("error", err.Error())
	}
	line.Send()
}

// recordResult records when an order failed or was refused.
func (r *Rollout) recordResult(id ids.Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, errResponsive), errors.Is(err, errNoLease), errors.Is(err, errLastServing):
	case errors.Is(err, ErrRefused):
		r.refused = recordTime(r.refused, id, refusedPause)
	default:
		r.failed = recordTime(r.failed, id, retryPause)
	}
}

// errResponsive ends the update of a replica that counted as unresponsive but has
// responded: it is in service, so orders.Plan must schedule its order like the others.
var errResponsive = errors.New("the replica is responsive again; its order waits for a slot")

// errLastServing postpones an order: while other replicas ask for a rest, this replica is the
// only one that accepts requests.
var errLastServing = errors.New("no other replica of the model accepts requests")

// update brings a replica to the newest weights, and reports whether it sent an order. It ends when the replica has
// carried out its order, also if a newer version was declared meanwhile: that is another update, with a slot, a drain
// and a timeout of its own.
//
// An order whose response is lost may have been accepted, or be carried out seconds
// later. Therefore update reads the replica's state before it sends the order again, and
// at most one of the two orders can match the number of orders that the replica has
// accepted. The replica is drained only once: an engine whose orders get lost must not be
// out of service longer than others.
func (r *Rollout) update(ctx context.Context, o orders.Order) (ordered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	c := Command{Target: o.Target, Addr: o.Addr, Holder: r.VM}
	for _, rec := range r.Replicas.Records() {
		if ids.Target(rec.ID) == o.Target {
			c.Model, c.Incarnation = rec.Model, rec.Incarnation
		}
	}
	if c.Model == "" {
		return false, nil // the replica is no longer listed
	}
	unresponsive := r.stateOf(o.Target) == routing.Suspect
	state, err := r.readState(ctx, &c)
	if err != nil || !r.behind(&c, state) {
		return false, err
	}
	if unresponsive {
		return false, errResponsive
	}
	if !state.Busy && r.lastServing(&c, state.Weights[c.Model]) {
		return false, errLastServing
	}
	if !state.Busy {
		c.Method = r.drain(ctx, &c, state.Weights[c.Model])
		if r.lastServing(&c, state.Weights[c.Model]) { // others may have asked for a rest during the drain
			r.announce(c.Target, state.Weights[c.Model], true)
			return false, errLastServing
		}
	}
	for {
		if !state.Busy {
			err := r.sendOrder(ctx, &c, state)
			ordered = ordered || !errors.Is(err, errNoLease)
			if err != nil {
				r.announce(c.Target, state.Weights[c.Model], true) // it accepts requests again
				return ordered, err
			}
		}
		state, err = r.await(ctx, &c)
		if err != nil || !r.behind(&c, state) {
			return ordered, err
		}
		if c.carriedOut(state) {
			r.Replicas.SetWeights(c.Target, c.Weights, "report")
			r.announce(c.Target, c.Weights, true)
			return ordered, nil
		}
		c.Method = r.methodAfterDrain(&c, state.Weights[c.Model]) // requests and the remaining time may have changed
	}
}

// behind reports whether a replica lacks the newest weights.
func (r *Rollout) behind(c *Command, s State) bool {
	return r.isBehind(c.Model, s.Weights[c.Model], clock.Now())
}

// carriedOut reports whether a replica has loaded the weights of the command.
func (c *Command) carriedOut(s State) bool {
	return c.Weights != "" && !s.Busy && s.Weights[c.Model] == c.Weights
}

// await waits until the replica has the newest weights or those of the command, or until maxIdleReads reads have found
// the replica idle. Every notifyInterval it announces to the VMs that the replica accepts no
// requests. It returns an error if the replica has ended, if maxFailedReads consecutive reads
// fail, or if ctx ends.
func (r *Rollout) await(ctx context.Context, c *Command) (State, error) {
	idle, failed, notifiedAt := 0, 0, clock.Now()
	if c.Fence == 0 {
		notifiedAt = time.Time{} // another VM's order, which this VM has not announced
	}
	for timing.Sleep(ctx, readInterval) {
		if clock.Since(notifiedAt) >= notifyInterval {
			notifiedAt = clock.Now()
			r.announce(c.Target, c.Weights, false)
		}
		s, err := r.readState(ctx, c)
		if err == nil {
			failed = 0
		}
		switch {
		case errors.Is(err, ErrGone):
			return s, err
		case err != nil:
			failed++
		case !r.behind(c, s), c.carriedOut(s):
			return s, nil
		case !s.Busy:
			idle++
		}
		if failed >= maxFailedReads {
			return s, err
		}
		if idle >= maxIdleReads {
			return s, nil
		}
	}
	return State{}, eris.Wrap(ctx.Err(), "wait for the replica to carry out the order")
}

const (
	// notifyInterval is how often this VM announces that a replica still carries out an
	// order. It is shorter than the time for which VMs rely on an announcement.
	notifyInterval = 700 * time.Millisecond
	// maxIdleReads is the number of reads of an idle replica after which an order counts as
	// lost. Reported states lag by some hundred milliseconds.
	maxIdleReads = 4
	// maxFailedReads is the number of consecutive failed reads after which a replica counts
	// as unresponsive.
	maxFailedReads = 2
)

// readState reads a replica's state, and announces to the VMs when it has the newest weights.
func (r *Rollout) readState(ctx context.Context, c *Command) (State, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := r.Client.Read(call, c.Target, c.Addr)
	if errors.Is(err, ErrGone) {
		r.OnGone(c.Target, c.Incarnation)
	}
	if err != nil {
		return s, eris.Wrapf(err, "read the state of %s", c.Target)
	}
	r.recordResponse(c.Target)
	r.Replicas.Restarted(c.Target, s.Incarnation, "report")
	if w := s.Weights[c.Model]; !r.behind(c, s) {
		r.Replicas.SetWeights(c.Target, w, "report")
		r.announce(c.Target, w, true)
	}
	return s, nil
}

// recordResponse records that a replica has responded.
func (r *Rollout) recordResponse(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responded = recordTime(r.responded, id, responsiveFor)
}

// recordTime records the current time for a replica, and drops entries older than keep.
func recordTime(all map[ids.Target]time.Time, id ids.Target, keep time.Duration) map[ids.Target]time.Time {
	if all == nil {
		all = map[ids.Target]time.Time{}
	}
	for other, at := range all {
		if clock.Since(at) > keep {
			delete(all, other)
		}
	}
	all[id] = clock.Now()
	return all
}
