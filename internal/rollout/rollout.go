// Package rollout brings model replicas to the weights that operators name.
//
// One VM acts at a time, under lease (package lease); package orders decides which
// replicas are told, a part of each model's at once. An order goes out only to a
// replica whose state was just read, and names the number of orders that the
// replica had accepted then: one that is carried out late, after newer ones, does
// nothing. An order without an answer is never repeated blindly: the state is read
// again.
//
// # Time
//
// Old weights may be used for a bounded time after newer ones were named. How many
// replicas are told at a time follows from what is left of it (pace.go) and from how long
// orders take (meantime.go). That calls keep the bound does not rest on this: package
// forward withdraws those that have not begun.
//
// # Files
//
// rollout.go tells package orders what is wanted and what is there; bring.go takes one
// replica through drain.go (keep calls away), give.go (the order, under the lease) and the
// wait for its end; progress.go shows how far it is.
package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// State is what an engine says of itself.
type State struct {
	// Incarnation is zero where the engine does not tell it.
	Incarnation ids.Incarnation
	Weights     map[ids.Model]ids.WeightsVersion
	Busy        bool   // it carries out an order
	Orders      uint64 // how many orders it has accepted in this incarnation
}

// Command is one order as it goes to an engine.
type Command struct {
	Target      ids.Target
	Incarnation ids.Incarnation // as listed when the order was begun
	Addr        string
	Model       ids.Model
	Weights     ids.WeightsVersion
	Holder      ids.VM
	Fence       uint64
	Expected    uint64 // orders accepted so far
	Method      Method
}

// Method is what becomes of the runs at hand when weights are loaded.
type Method uint8

// The methods.
const (
	// Finish lets them end first. It takes as long as the longest of them.
	Finish Method = iota
	// CutOff ends them at once; those that can are resumed at other replicas.
	CutOff
	// KeepOn lets them go on under the new weights. Their callers get whole answers, of
	// which a part is made on other weights than the rest.
	KeepOn
)

// String returns the method's name in logs.
func (m Method) String() string { return [...]string{"finish", "cut-off", "keep-on"}[m] }

// ErrGone says that another incarnation answers at a replica's address: the replica
// has ended and carries out nothing any more.
var ErrGone = errors.New("the replica has ended")

// ErrRefused says that a replica will not carry out an order, however often it is given.
var ErrRefused = errors.New("the replica refuses the order")

// EngineClient are the calls to model replicas.
type EngineClient interface {
	Read(ctx context.Context, id ids.Target, addr string) (State, error)
	// Order sends a command. Any error but ErrGone and ErrRefused leaves open whether it
	// is carried out.
	Order(ctx context.Context, c Command) error
}

// Replicas are what is known of the replicas.
type Replicas interface {
	// Records returns all replicas, and must not be changed. It may cost as much as there are.
	Records() []platform.Record
	// Deployed returns the versions of weights that they have.
	Deployed() []platform.Deployed
	SetWeights(id ids.Target, w ids.WeightsVersion, from string)
	// Restarted records that a replica is known to be in an incarnation.
	Restarted(id ids.Target, inc ids.Incarnation, from string)
}

// TargetStatus tells how replicas are doing.
type TargetStatus interface {
	// StateOf returns a replica's state, as far as this VM knows.
	StateOf(id ids.Target) routing.State
	// Unresponsive tells whether a replica answers nothing, as far as is known.
	Unresponsive(id ids.Target) bool
	// Declines tells whether a replica takes no calls now since it said so.
	Declines(id ids.Target) bool
	// WorkOf returns a replica's work, and how long a new request waits for its turn
	// there.
	WorkOf(id ids.Target) (l loadview.PeerLoad, wait time.Duration)
}

// DesiredWeights tells which weights operators want.
type DesiredWeights interface {
	Newest(m ids.Model) ids.WeightsVersion
	// Since returns for how long the newest version has been named.
	Since(m ids.Model, now time.Time) time.Duration
	// Left tells whether weights are older than the newest, and how much longer they
	// may be used; negative when they no longer may.
	Left(m ids.Model, has ids.WeightsVersion, now time.Time) (left time.Duration, behind bool)
}

// Rollout supplies package orders with wishes, engines and a sender.
type Rollout struct {
	VM       ids.VM
	Lease    *lease.Lease
	Replicas Replicas
	Weights  DesiredWeights
	Client   EngineClient
	Targets  TargetStatus
	Log      *eventlog.Log
	// ThrottleFor is how long after a version was named the slowest pace is left.
	ThrottleFor time.Duration
	// LoadGrace is how long after their weights may no longer be used engines may still
	// have them. Zero: for as long as it takes.
	LoadGrace time.Duration
	// OnOrder is called when a replica is about to get an order, and when it has
	// been carried out.
	OnOrder func(id ids.Target, w ids.WeightsVersion, done bool)
	// Retired tells whether a replica's software is about to be stopped: it gets no orders. Nil:
	// none is.
	Retired func(rec platform.Record) bool
	// OnGone is called for an incarnation of a replica that has ended, though it may still be
	// listed.
	OnGone func(id ids.Target, inc ids.Incarnation)

	Stats Stats

	orderTime meanTime

	giving  sync.WaitGroup // orders on their way
	mu      sync.Mutex
	stopped bool                     // no order may be given any more
	onWay   int                      // orders on their way
	quietAt time.Time                // when the last of them had arrived or was given up
	failed  map[ids.Target]time.Time // when the last order to a replica came to nothing
	refused map[ids.Target]time.Time // when a replica last refused an order for good
	spoke   map[ids.Target]time.Time // when a replica last answered a look at its state
	told    map[ids.Model]told       // as last logged
	aside   map[ids.Target]bool      // replicas that get no calls for an order
}

var (
	_ orders.DesiredStateSource = (*Rollout)(nil)
	_ orders.Engines            = (*Rollout)(nil)
	_ orders.Sender             = (*Rollout)(nil)
)

// DesiredStates implements orders.DesiredStateSource.
func (r *Rollout) DesiredStates(context.Context) (map[ids.Target]orders.DesiredState, error) {
	wants, now := map[ids.Target]orders.DesiredState{}, clock.Now()
	for _, rec := range r.Replicas.Records() {
		if rec.Role != platform.RoleEngine || r.Retired != nil && r.Retired(rec) {
			continue
		}
		// A replica may have weights of which this VM has not heard yet. It keeps them.
		if r.isBehind(rec.Model, rec.Weights, now) {
			wants[ids.Target(rec.ID)] = orders.DesiredState{Weights: r.Weights.Newest(rec.Model)}
		}
	}
	return wants, nil
}

// Engines implements orders.Engines.
func (r *Rollout) Engines() []orders.EngineStatus {
	var out []orders.EngineStatus
	for _, rec := range r.Replicas.Records() {
		if rec.Role != platform.RoleEngine || rec.State == platform.StateLeaving {
			continue
		}
		id := ids.Target(rec.ID)
		state := r.stateOf(id)
		if state == routing.Leaving {
			continue
		}
		work, _ := r.Targets.WorkOf(id)
		out = append(out, orders.EngineStatus{
			Target: id, Model: rec.Model, Addr: rec.Addr, State: state, Weights: rec.Weights, Load: work.InFlight,
		})
	}
	return out
}

// announce tells the VMs that a replica gets no calls for an order, or gets them again.
func (r *Rollout) announce(id ids.Target, w ids.WeightsVersion, done bool) {
	r.mu.Lock()
	r.setAside(id, !done)
	r.mu.Unlock()
	r.OnOrder(id, w, done)
}

// setAside notes whether a replica gets no calls for an order. The lock is held.
func (r *Rollout) setAside(id ids.Target, aside bool) {
	if r.aside == nil {
		r.aside = map[ids.Target]bool{}
	}
	if aside {
		r.aside[id] = true
	} else {
		delete(r.aside, id)
	}
}

// spared tells whether a replica must go on taking calls, since no other one of its model does
// while others rest, and there is time left. It is no longer aside then.
func (r *Rollout) spared(c *Command, has ids.WeightsVersion) bool {
	if left, _ := r.Weights.Left(c.Model, has, clock.Now()); left <= lastBegin {
		return false
	}
	records := r.Replicas.Records()
	r.mu.Lock()
	defer r.mu.Unlock()
	rests := false
	for _, rec := range records {
		id := ids.Target(rec.ID)
		if rec.Model != c.Model || id == c.Target || rec.State == platform.StateLeaving {
			continue
		}
		declines := r.Targets.Declines(id)
		rests = rests || declines
		if !declines && !r.aside[id] && !r.Targets.Unresponsive(id) {
			return false
		}
	}
	if rests {
		r.setAside(c.Target, false)
	}
	return rests
}

// Forget drops what is remembered of a replica's orders: it has ended or started again.
func (r *Rollout) Forget(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, id)
	delete(r.refused, id)
	delete(r.spoke, id)
}

// retryPause is how long a replica gets no order after one that came to nothing: one
// that is down is back after some seconds, and each try takes an engine's place in
// the rollout and a priced look at its state.
const retryPause = time.Second

// refusedPause is how long a replica gets no order after it has refused one for good:
// each try would drain it, and it is asked now and then in case it is set right.
const refusedPause = 30 * time.Second

// spokeFor is how long a replica that has answered a look at its state counts as alive,
// whatever this VM's other calls to it say: as long as the word of peers counts.
const spokeFor = 2 * time.Second

// stateOf returns a replica's state for package orders. It differs from the state for
// requests: a replica that is full, slow or under an order is in service, and one that
// answers nothing is tried all the same, unless an order to it has just failed.
func (r *Rollout) stateOf(id ids.Target) routing.State {
	r.mu.Lock()
	failedAt, refusedAt, spokeAt := r.failed[id], r.refused[id], r.spoke[id]
	r.mu.Unlock()
	switch {
	case r.Targets.StateOf(id) == routing.Leaving:
		return routing.Leaving
	case clock.Since(failedAt) < retryPause, clock.Since(refusedAt) < refusedPause:
		return routing.Dead
	case r.Targets.Unresponsive(id) && clock.Since(spokeAt) >= spokeFor:
		return routing.Suspect
	default:
		return routing.Live
	}
}

// Behind tells whether any replica lacks the weights that are wanted.
func (r *Rollout) Behind() bool {
	now := clock.Now()
	for _, d := range r.Replicas.Deployed() {
		if r.isBehind(d.Model, d.Weights, now) {
			return true
		}
	}
	return false
}

// isBehind tells whether weights are older than the newest that operators want.
func (r *Rollout) isBehind(m ids.Model, has ids.WeightsVersion, now time.Time) bool {
	_, behind := r.Weights.Left(m, has, now)
	return behind && has != r.Weights.Newest(m)
}
