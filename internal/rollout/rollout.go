// Package rollout brings model replicas to the weights that operators name.
//
// One VM acts at a time, under lease (package lease); package orders decides which
// replicas are told, a part of each model's at once. An order goes out only to a
// replica whose state was just read, and names the number of orders that the
// replica had accepted then: one that is carried out late, after newer ones, does
// nothing. An order without an answer is never repeated blindly: the state is read
// again.
package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// State is what an engine says of itself.
type State struct {
	Weights map[ids.Model]ids.WeightsVersion
	Busy    bool   // it carries out an order
	Orders  uint64 // how many orders it has accepted in this incarnation
}

// Command is one order as it goes to an engine.
type Command struct {
	Target   ids.Target
	Addr     string
	Model    ids.Model
	Weights  ids.WeightsVersion
	Holder   ids.VM
	Fence    uint64
	Expected uint64 // orders accepted so far
	Method   Method
}

// Method is what becomes of the runs at hand when weights are loaded.
type Method uint8

// The methods.
const (
	// Finish lets them end first. It takes as long as the longest of them.
	Finish Method = iota
	// CutOff ends them at once; those that can are resumed at other replicas.
	CutOff
)

// ErrGone says that another incarnation answers at a replica's address: the replica
// has ended and carries out nothing any more.
var ErrGone = errors.New("the replica has ended")

// Engines are the calls to model replicas.
type Engines interface {
	Read(ctx context.Context, id ids.Target, addr string) (State, error)
	// Order sends a command. Any error but ErrGone leaves open whether it is carried
	// out.
	Order(ctx context.Context, c Command) error
}

// Replicas are what is known of the replicas.
type Replicas interface {
	Records() []platform.Record
	SetWeights(id ids.Target, w ids.WeightsVersion, from string)
}

// Loads tells how replicas are doing.
type Loads interface {
	// StateOf returns a replica's state, as far as this VM knows.
	StateOf(id ids.Target) routing.State
	// WorkOf returns a replica's work, and how long a new request waits for its turn
	// there.
	WorkOf(id ids.Target) (l loadview.PeerLoad, wait time.Duration)
}

// Newest tells which weights operators want.
type Newest interface {
	Newest(m ids.Model) ids.WeightsVersion
	// Since returns for how long the newest version has been named.
	Since(m ids.Model, now time.Time) time.Duration
}

// Rollout supplies package orders with wishes, engines and a sender.
type Rollout struct {
	VM       ids.VM
	Lease    *lease.Lease
	Replicas Replicas
	Named    Newest
	Calls    Engines
	Loads    Loads
	Log      *eventlog.Log
	// Hurry is how long after a version was named the slowest pace is left.
	Hurry time.Duration
	// Ordering is called when a replica is about to get an order, and when it has
	// been carried out.
	Ordering func(id ids.Target, w ids.WeightsVersion, done bool)
	// Gone is called for a replica that has ended, though it may still be listed.
	Gone func(id ids.Target)

	mu     sync.Mutex
	failed map[ids.Target]time.Time // when the last order to a replica came to nothing
}

var (
	_ orders.Wishes  = (*Rollout)(nil)
	_ orders.Engines = (*Rollout)(nil)
	_ orders.Sender  = (*Rollout)(nil)
)

// Wants implements orders.Wishes.
func (r *Rollout) Wants(context.Context) (map[ids.Target]orders.Want, error) {
	wants := map[ids.Target]orders.Want{}
	for _, rec := range r.Replicas.Records() {
		if w := r.Named.Newest(rec.Model); rec.Role == platform.RoleEngine && w != "" {
			wants[ids.Target(rec.ID)] = orders.Want{Weights: w}
		}
	}
	return wants, nil
}

// Engines implements orders.Engines.
func (r *Rollout) Engines() []orders.Actual {
	var out []orders.Actual
	for _, rec := range r.Replicas.Records() {
		if rec.Role != platform.RoleEngine || rec.State == platform.StateLeaving {
			continue
		}
		id := ids.Target(rec.ID)
		state := r.stateOf(id)
		if state == routing.Leaving {
			continue
		}
		work, _ := r.Loads.WorkOf(id)
		out = append(out, orders.Actual{
			Target: id, Model: rec.Model, Addr: rec.Addr, State: state, Weights: rec.Weights, Load: work.InFlight,
		})
	}
	return out
}

// retryPause is how long a replica gets no order after one that came to nothing: one
// that is down is back after some seconds, and each try takes an engine's place in
// the rollout and a priced look at its state.
const retryPause = time.Second

// stateOf returns a replica's state for package orders, which sends nothing to dead
// ones: a replica that fails calls gets its weights all the same, unless an order to
// it has just failed.
func (r *Rollout) stateOf(id ids.Target) routing.State {
	r.mu.Lock()
	failedAt := r.failed[id]
	r.mu.Unlock()
	state := r.Loads.StateOf(id)
	switch {
	case state == routing.Leaving:
		return state
	case time.Since(failedAt) < retryPause:
		return routing.Dead
	default:
		return max(state, routing.Suspect)
	}
}

// Paces of a rollout, as one in how many engines may be out of service.
const (
	// paceIdle: an engine first finishes its runs and then loads; loads of more than
	// about a fifth of a model's engines at a time slow each other down, so about as
	// many finish runs while others load.
	paceIdle = 2
	// paceIdleLarge is that of a large fleet. There the engines that load at a time are
	// so many that they slow each other, and the rest is too small a part for long.
	paceIdleLarge = 3
	paceBusy      = 4
	// paceFull: each engine out of service makes all others' callers late, and an
	// answer on old weights loses less than a late one.
	paceFull = 9
)

// largeFleet is from how many engines a fleet is large.
const largeFleet = 16

// Waits that tell the paces apart: a part of the usual objective of half a second.
const (
	waitBusy = 100 * time.Millisecond
	waitFull = 350 * time.Millisecond
)

// OutShare returns one in how many engines may be out of service, by how long
// callers wait at those that are in it.
func (r *Rollout) OutShare() int {
	var sum time.Duration
	n, since := 0, time.Duration(0)
	for _, rec := range r.Replicas.Records() {
		id := ids.Target(rec.ID)
		if rec.Role != platform.RoleEngine || r.Loads.StateOf(id) < routing.Joining {
			continue
		}
		_, wait := r.Loads.WorkOf(id)
		sum += wait
		n++
		since = max(since, r.Named.Since(rec.Model, time.Now()))
	}
	mean := sum / time.Duration(max(n, 1))
	switch {
	case mean < waitBusy && n > largeFleet:
		return paceIdleLarge
	case mean < waitBusy:
		return paceIdle
	case mean < waitFull || since > r.Hurry:
		return paceBusy
	default:
		return paceFull
	}
}

// Behind tells whether any replica lacks the weights that are wanted.
func (r *Rollout) Behind() bool {
	for _, rec := range r.Replicas.Records() {
		if w := r.Named.Newest(rec.Model); rec.Role == platform.RoleEngine && w != "" && w != rec.Weights {
			return true
		}
	}
	return false
}

// Bounds of one order.
const (
	// readEvery is the pause between two looks at a replica that loads weights. A
	// load takes about 0.8 s, after the runs at hand have finished.
	readEvery = 200 * time.Millisecond
	// readTimeout bounds one look.
	readTimeout = 500 * time.Millisecond
	// orderTimeout bounds the wait for an order's answer.
	orderTimeout = 600 * time.Millisecond
	// carryOut bounds one order as a whole. An order whose answer was lost may be
	// carried out after seconds; it is given anew before, since only one of the two
	// can match the number of orders accepted.
	carryOut = 5 * time.Second
)

// Send implements orders.Sender.
func (r *Rollout) Send(ctx context.Context, o orders.Order, _ lease.Token) error {
	err := r.bring(ctx, o)
	r.note(o.Target, err)
	return err
}

// note remembers that an order came to nothing.
func (r *Rollout) note(id ids.Target, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed == nil {
		r.failed = map[ids.Target]time.Time{}
	}
	for other, at := range r.failed {
		if time.Since(at) > retryPause {
			delete(r.failed, other)
		}
	}
	if err != nil {
		r.failed[id] = time.Now()
	}
}

// bring brings a replica to its wanted weights.
func (r *Rollout) bring(ctx context.Context, o orders.Order) error {
	ctx, cancel := context.WithTimeout(ctx, carryOut)
	defer cancel()
	c := Command{Target: o.Target, Addr: o.Addr, Weights: o.Want.Weights, Holder: r.VM}
	for _, rec := range r.Replicas.Records() {
		if ids.Target(rec.ID) == o.Target {
			c.Model = rec.Model
		}
	}
	state, err := r.read(ctx, &c)
	if err != nil || state.Weights[c.Model] == c.Weights {
		return err
	}
	if !state.Busy {
		c.Method = r.drain(ctx, c.Target)
		if err := r.order(ctx, &c, state); err != nil {
			return err
		}
	}
	return r.await(ctx, &c)
}

// Bounds of the drain before an order.
const (
	// drainLeast is how long all VMs need to hear that a replica gets no new requests,
	// and to tell what they have there.
	drainLeast = 350 * time.Millisecond
	// drainMost is how long requests that can't go on elsewhere are waited for: most
	// have short answers.
	drainMost = 1500 * time.Millisecond
	// drainEvery is the pause between two looks.
	drainEvery = 50 * time.Millisecond
	// cutMost is how many runs may be cut off: each costs a retry of the budget that
	// all VMs share.
	cutMost = 24
)

// drain keeps new requests from a replica until none is left there that can't go on
// elsewhere, and returns what is to become of the rest. An order right away would
// wait for the longest run, some seconds, while the replica takes nothing new.
func (r *Rollout) drain(ctx context.Context, id ids.Target) Method {
	began := time.Now()
	r.Ordering(id, "", false)
	for timing.Sleep(ctx, drainEvery) {
		work, _ := r.Loads.WorkOf(id)
		waited := time.Since(began)
		switch {
		case waited < drainLeast:
		case work.Bound == 0 && work.InFlight <= cutMost:
			return CutOff
		case waited >= drainMost:
			return Finish
		}
	}
	return Finish
}

// order sends the command while the lease holds.
func (r *Rollout) order(ctx context.Context, c *Command, s State) error {
	token, ok := r.Lease.Held()
	if !ok {
		return eris.New("the lease has ended")
	}
	c.Fence, c.Expected = token.Fence, s.Orders
	r.Ordering(c.Target, c.Weights, false)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.Calls.Order(call, *c)
	line := r.Log.Belief("order").Str("target", string(c.Target)).Str("weights", string(c.Weights)).Uint64("fence", c.Fence).
		Uint64("expected", c.Expected).Bool("cut_off", c.Method == CutOff).Str("before", string(s.Weights[c.Model]))
	if err != nil {
		line = line.Str("error", err.Error())
	}
	line.Send()
	if errors.Is(err, ErrGone) {
		r.Gone(c.Target)
		return err
	}
	return nil // the state that is read next tells what became of it
}

// await waits until the replica has the weights.
func (r *Rollout) await(ctx context.Context, c *Command) error {
	idle := 0
	for timing.Sleep(ctx, readEvery) {
		s, err := r.read(ctx, c)
		switch {
		case err != nil:
			return err
		case s.Weights[c.Model] == c.Weights:
			return nil
		case !s.Busy:
			idle++
		}
		if idle >= idleReads {
			return eris.New("the order is not being carried out")
		}
	}
	return eris.Wrap(ctx.Err(), "wait for the order")
}

// idleReads is after how many looks at an idle replica an order counts as lost.
// Reports lag by some hundred milliseconds.
const idleReads = 4

// read looks at a replica and tells the others what weights it has.
func (r *Rollout) read(ctx context.Context, c *Command) (State, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := r.Calls.Read(call, c.Target, c.Addr)
	if errors.Is(err, ErrGone) {
		r.Gone(c.Target)
	}
	if err != nil {
		return s, eris.Wrapf(err, "read the state of %s", c.Target)
	}
	if w := s.Weights[c.Model]; w == c.Weights {
		r.Replicas.SetWeights(c.Target, w, "report")
		r.Ordering(c.Target, w, true)
	}
	return s, nil
}
