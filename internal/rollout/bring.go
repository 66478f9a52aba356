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

// Bounds of one order.
const (
	// readEvery is the pause between two looks at a replica that loads weights. A
	// load takes about 0.8 s, after the runs at hand have finished.
	readEvery = 200 * time.Millisecond
	// readTimeout bounds one look.
	readTimeout = 500 * time.Millisecond
	// orderTimeout bounds how long an order is under way, and the wait for its answer.
	orderTimeout = 600 * time.Millisecond
	// carryOut bounds one order as a whole, below orders.MaxOrder. It is as long as the
	// longest runs that a replica finishes before it loads: as long as it carries an
	// order out it is out of service, and must count so.
	carryOut = 9 * time.Second
)

// Send implements orders.Sender.
func (r *Rollout) Send(ctx context.Context, o orders.Order, _ lease.Token) error {
	began := clock.Now()
	r.orderTime.begin(o.Target, began)
	ordered, err := r.bring(ctx, o)
	r.orderTime.end(o.Target, clock.Now(), ordered, err == nil)
	r.note(o.Target, err)
	r.tellEnd(o, clock.Since(began), err)
	return err
}

// tellEnd counts and logs what came of an order.
func (r *Rollout) tellEnd(o orders.Order, took time.Duration, err error) {
	r.Stats.TotalMs.Add(took.Milliseconds())
	line := r.Log.Belief("order-end").Str("target", string(o.Target)).Str("weights", string(o.Desired.Weights)).Int64("took_ms", took.Milliseconds())
	if err == nil {
		r.Stats.Done.Add(1)
	} else {
		r.Stats.Failed.Add(1)
		line = line.Str("error", err.Error())
	}
	line.Send()
}

// note remembers that an order came to nothing.
func (r *Rollout) note(id ids.Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, errSpoke), errors.Is(err, errNoLease), errors.Is(err, errSpared):
	case errors.Is(err, ErrRefused):
		r.refused = remember(r.refused, id, refusedPause)
	default:
		r.failed = remember(r.failed, id, retryPause)
	}
}

// errSpoke ends an order to a replica that was taken for silent and has answered: it is
// in service, and must get its order in turn with the others.
var errSpoke = errors.New("the replica answers after all")

// errSpared ends an order for now: while others rest, its replica is the only one that takes
// calls.
var errSpared = errors.New("no other replica takes calls")

// bring brings a replica to the newest weights, and tells whether it was given an order.
//
// An order whose answer is lost may have been accepted, or be carried out seconds later.
// So the replica's state is read before the order is given anew, and at most one of the
// two can match the number of orders that it has accepted. The replica is drained once:
// an engine whose orders get lost must not be out of service for longer than others.
func (r *Rollout) bring(ctx context.Context, o orders.Order) (ordered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, carryOut)
	defer cancel()
	c := Command{Target: o.Target, Addr: o.Addr, Holder: r.VM}
	for _, rec := range r.Replicas.Records() {
		if ids.Target(rec.ID) == o.Target {
			c.Model, c.Incarnation = rec.Model, rec.Incarnation
		}
	}
	if c.Model == "" {
		return false, nil // it is no longer listed
	}
	silent := r.stateOf(o.Target) == routing.Suspect
	state, err := r.read(ctx, &c)
	if err != nil || !r.behind(&c, state) {
		return false, err
	}
	if silent {
		return false, errSpoke
	}
	if !state.Busy && r.spared(&c, state.Weights[c.Model]) {
		return false, errSpared
	}
	if !state.Busy {
		c.Method = r.drain(ctx, &c, state.Weights[c.Model])
		if r.spared(&c, state.Weights[c.Model]) { // others have asked for a rest meanwhile
			r.announce(c.Target, state.Weights[c.Model], true)
			return false, errSpared
		}
	}
	for {
		if !state.Busy {
			err := r.give(ctx, &c, state)
			ordered = ordered || !errors.Is(err, errNoLease)
			if err != nil {
				r.announce(c.Target, state.Weights[c.Model], true) // it takes calls again
				return ordered, err
			}
		}
		state, err = r.await(ctx, &c)
		if err != nil || !r.behind(&c, state) {
			return ordered, err
		}
		c.Method = r.lastResort(&c, state.Weights[c.Model]) // calls may have come since, and time has passed
	}
}

// behind tells whether a replica lacks the newest weights.
func (r *Rollout) behind(c *Command, s State) bool {
	return r.isBehind(c.Model, s.Weights[c.Model], clock.Now())
}

// await waits until the replica has the weights, or until it is clear that it carries
// out no order. All the while it takes no calls, and the VMs are told so.
func (r *Rollout) await(ctx context.Context, c *Command) (State, error) {
	idle, missed, told := 0, 0, clock.Now()
	if c.Fence == 0 {
		told = time.Time{} // somebody else's order: nobody has been told of it by this VM
	}
	for timing.Sleep(ctx, readEvery) {
		if clock.Since(told) >= tellEvery {
			told = clock.Now()
			r.announce(c.Target, c.Weights, false)
		}
		s, err := r.read(ctx, c)
		if err == nil {
			missed = 0
		}
		switch {
		case errors.Is(err, ErrGone):
			return s, err
		case err != nil:
			missed++
		case !r.behind(c, s):
			return s, nil
		case !s.Busy:
			idle++
		}
		if missed >= missedReads {
			return s, err
		}
		if idle >= idleReads {
			return s, nil
		}
	}
	return State{}, eris.Wrap(ctx.Err(), "wait for the order")
}

const (
	// tellEvery is how often the VMs are told that a replica is still under an order.
	// It is shorter than the time for which they believe it.
	tellEvery = 700 * time.Millisecond
	// idleReads is after how many looks at an idle replica an order counts as lost.
	// Reports lag by some hundred milliseconds.
	idleReads = 4
	// missedReads is after how many looks in a row without an answer a replica counts as
	// silent.
	missedReads = 2
)

// read looks at a replica and tells the others when it has the newest weights.
func (r *Rollout) read(ctx context.Context, c *Command) (State, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := r.Client.Read(call, c.Target, c.Addr)
	if errors.Is(err, ErrGone) {
		r.OnGone(c.Target, c.Incarnation)
	}
	if err != nil {
		return s, eris.Wrapf(err, "read the state of %s", c.Target)
	}
	r.heard(c.Target)
	r.Replicas.Restarted(c.Target, s.Incarnation, "report")
	if w := s.Weights[c.Model]; !r.behind(c, s) {
		r.Replicas.SetWeights(c.Target, w, "report")
		r.announce(c.Target, w, true)
	}
	return s, nil
}

// heard notes that a replica has answered.
func (r *Rollout) heard(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoke = remember(r.spoke, id, spokeFor)
}

// remember notes that something happened to a replica now, and forgets what is older
// than that.
func remember(all map[ids.Target]time.Time, id ids.Target, keep time.Duration) map[ids.Target]time.Time {
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
