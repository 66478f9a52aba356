// Package rollout updates model replicas to the weights that operators want. A replica's role is
// platform.RoleEngine, so the code also calls replicas engines.
//
// One VM acts at a time, under a lease (package lease); package orders decides which
// replicas get orders, a fraction of each model's replicas at a time. The VM sends an order
// only to a replica whose state it has just read, and the order names the number of orders
// that the replica had accepted by then: a replica ignores an order that arrives late,
// after newer ones. If an order gets no response, the VM reads the state again before it
// sends another order.
//
// # Deadline
//
// Old weights may be used for a limited time after operators set newer ones. How many
// replicas are updated at a time depends on the time left (unavailable.go) and on how long
// orders take (duration.go). Requests keep this limit even if a rollout is late: package
// forward withdraws those that have not started.
//
// # Files
//
// rollout.go supplies package orders with desired and reported states. update.go updates one
// replica: drain.go keeps requests away from it, send.go sends the order under the lease,
// and update.go waits until the replica has carried it out. progress.go reports progress.
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

// State is the state that an engine reports.
type State struct {
	// Incarnation is zero if the engine does not report it.
	Incarnation ids.Incarnation
	Weights     map[ids.Model]ids.WeightsVersion
	Busy        bool   // it carries out an order
	Orders      uint64 // number of orders accepted in this incarnation
}

// Command is one order to an engine.
type Command struct {
	Target      ids.Target
	Incarnation ids.Incarnation // as listed when the update began
	Addr        string
	Model       ids.Model
	Weights     ids.WeightsVersion // to load
	Holder      ids.VM             // VM that holds the lease and sends the order
	Fence       uint64             // fencing token of the lease
	Expected    uint64             // State.Orders as last read
	Method      Method
}

// Method is what an engine does with its current requests when it loads weights.
type Method uint8

// Methods of loading weights.
const (
	// Finish lets the requests end first. It takes as long as the longest of them.
	Finish Method = iota
	// CutOff ends the requests at once; resumable ones continue at other replicas.
	CutOff
	// KeepOn continues the requests with the new weights. Callers get complete responses
	// that mix the output of two versions of weights.
	KeepOn
)

// String returns the method's name in logs.
func (m Method) String() string { return [...]string{"finish", "cut-off", "keep-on"}[m] }

// ErrGone means that another incarnation responds at a replica's address: the replica has
// ended and no longer carries out orders.
var ErrGone = errors.New("the replica has ended")

// ErrRefused means that a replica will not carry out an order, however often it is sent.
var ErrRefused = errors.New("the replica refuses the order")

// EngineClient calls model replicas. Implementations must be safe for concurrent use.
type EngineClient interface {
	// Read returns a replica's state. It returns ErrGone if another incarnation responds at addr.
	Read(ctx context.Context, id ids.Target, addr string) (State, error)
	// Order sends a command. After any error but ErrGone and ErrRefused the replica may or
	// may not carry it out.
	Order(ctx context.Context, c Command) error
}

// Replicas is the list of known replicas. Implementations must be safe for concurrent use.
type Replicas interface {
	// Records returns all replicas. Callers must not modify the result. The cost may be
	// linear in the number of replicas.
	Records() []platform.Record
	// Deployed returns the models and versions of weights of the replicas.
	Deployed() []platform.Deployed
	// SetWeights records the weights of a replica as reported by a source other than its entry;
	// from names that source.
	SetWeights(id ids.Target, w ids.WeightsVersion, from string)
	// Restarted records the current incarnation of a replica as reported by the source from.
	Restarted(id ids.Target, inc ids.Incarnation, from string)
}

// TargetStatus returns the health and load of replicas, as far as this VM knows.
type TargetStatus interface {
	// StateOf returns a replica's state for requests.
	StateOf(id ids.Target) routing.State
	// Unresponsive reports whether a replica does not respond, as far as this VM and its peers know.
	Unresponsive(id ids.Target) bool
	// Declines reports whether a replica has asked for a rest, that is, not to be sent requests
	// for some time, or is leaving.
	Declines(id ids.Target) bool
	// WorkOf returns a replica's load, and how long a new request would wait there.
	WorkOf(id ids.Target) (l loadview.TargetWork, wait time.Duration)
}

// DesiredWeights returns the weights that operators want.
type DesiredWeights interface {
	// Newest returns the newest version, or an empty string if this VM knows of none.
	Newest(m ids.Model) ids.WeightsVersion
	// Since returns the time since operators set the newest version, or zero if there is none.
	Since(m ids.Model, now time.Time) time.Duration
	// Left reports whether weights are older than the newest, and how much longer they may
	// be used; left is negative once that time is over.
	Left(m ids.Model, has ids.WeightsVersion, now time.Time) (left time.Duration, behind bool)
}

// Rollout supplies package orders with desired states, engine states and a sender. The exported
// fields must be set before its first use. Its methods are safe for concurrent use; it may call
// the functions in its fields concurrently.
type Rollout struct {
	VM       ids.VM
	Lease    *lease.Lease
	Replicas Replicas
	Weights  DesiredWeights
	Client   EngineClient
	Targets  TargetStatus
	Log      *eventlog.Log
	// ThrottleFor is how long after operators set a version the lowest limit of engines out
	// of service, oneInFull, applies.
	ThrottleFor time.Duration
	// LoadGrace is how long after their weights may no longer be used engines may still have
	// them loaded. Zero means without limit.
	LoadGrace time.Duration
	// OnOrder is called when a replica is taken out of service for an order, repeatedly
	// until the order ends, and with done when it accepts requests again.
	OnOrder func(id ids.Target, w ids.WeightsVersion, done bool)
	// Retired reports whether a replica is about to be stopped with its software; such a
	// replica gets no orders. Nil means no replica is.
	Retired func(rec platform.Record) bool
	// OnGone is called when an incarnation of a replica has ended, which may still be listed.
	OnGone func(id ids.Target, inc ids.Incarnation)

	Stats Stats

	orderTime orderDuration

	sending      sync.WaitGroup // orders in transit
	mu           sync.Mutex
	stopped      bool                         // set by Quiesce: this VM sends no more orders
	inFlight     int                          // orders in transit
	idleSince    time.Time                    // when the last of them arrived or timed out
	failed       map[ids.Target]time.Time     // when the last order to a replica failed
	refused      map[ids.Target]time.Time     // when a replica last returned ErrRefused
	responded    map[ids.Target]time.Time     // when a read of a replica's state last succeeded
	logged       map[ids.Model]loggedProgress // progress as last logged
	outOfService map[ids.Target]bool          // replicas that get no requests because of an order
}

var (
	_ orders.DesiredStateSource = (*Rollout)(nil)
	_ orders.Engines            = (*Rollout)(nil)
	_ orders.Sender             = (*Rollout)(nil)
)

// DesiredStates implements orders.DesiredStateSource.
func (r *Rollout) DesiredStates(context.Context) (map[ids.Target]orders.DesiredState, error) {
	desired, now := map[ids.Target]orders.DesiredState{}, clock.Now()
	for _, rec := range r.Replicas.Records() {
		if rec.Role != platform.RoleEngine || r.Retired != nil && r.Retired(rec) {
			continue
		}
		// A replica may have newer weights than this VM knows of. It keeps them.
		if r.isBehind(rec.Model, rec.Weights, now) {
			desired[ids.Target(rec.ID)] = orders.DesiredState{Weights: r.Weights.Newest(rec.Model)}
		}
	}
	return desired, nil
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

// announce records that a replica gets no requests because of an order or, with done, that it
// gets requests again. It calls OnOrder, which notifies the other VMs.
func (r *Rollout) announce(id ids.Target, w ids.WeightsVersion, done bool) {
	r.mu.Lock()
	r.setOutOfService(id, !done)
	r.mu.Unlock()
	r.OnOrder(id, w, done)
}

// setOutOfService records whether a replica gets no requests because of an order. The caller
// holds r.mu.
func (r *Rollout) setOutOfService(id ids.Target, out bool) {
	if r.outOfService == nil {
		r.outOfService = map[ids.Target]bool{}
	}
	if out {
		r.outOfService[id] = true
	} else {
		delete(r.outOfService, id)
	}
}

// lastServing reports whether a replica must keep accepting requests for now: another replica
// of its model has asked for a rest or is leaving, none of the others accepts requests, and
// there is time to postpone the order. If so, the replica no longer counts as out of service.
func (r *Rollout) lastServing(c *Command, has ids.WeightsVersion) bool {
	if left, _ := r.Weights.Left(c.Model, has, clock.Now()); left <= latestStart {
		return false
	}
	records := r.Replicas.Records()
	r.mu.Lock()
	defer r.mu.Unlock()
	resting := false
	for _, rec := range records {
		id := ids.Target(rec.ID)
		if rec.Model != c.Model || id == c.Target || rec.State == platform.StateLeaving {
			continue
		}
		declines := r.Targets.Declines(id)
		resting = resting || declines
		if !declines && !r.outOfService[id] && !r.Targets.Unresponsive(id) {
			return false
		}
	}
	if resting {
		r.setOutOfService(c.Target, false)
	}
	return resting
}

// Forget drops the results of earlier orders to a replica that has ended or restarted.
func (r *Rollout) Forget(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, id)
	delete(r.refused, id)
	delete(r.responded, id)
}

// retryPause is how long a replica gets no order after a failed one. A replica that is down
// returns after some seconds, and each attempt occupies a slot of the rollout and costs a
// read of the replica's state, which is billed.
const retryPause = time.Second

// refusedPause is how long a replica gets no order after ErrRefused. Each attempt drains the
// replica; occasional attempts find out whether an operator has repaired it.
const refusedPause = 30 * time.Second

// responsiveFor is how long a replica counts as live after a successful read of its state,
// regardless of the results of this VM's other calls to it. It equals the time for which
// reports from peers count.
const responsiveFor = 2 * time.Second

// stateOf returns a replica's state for package orders. It differs from the state for
// requests: a replica that is full, slow or carrying out an order is in service, and an
// unresponsive one still gets an attempt, unless an order to it has just failed.
func (r *Rollout) stateOf(id ids.Target) routing.State {
	r.mu.Lock()
	failedAt, refusedAt, respondedAt := r.failed[id], r.refused[id], r.responded[id]
	r.mu.Unlock()
	switch {
	case r.Targets.StateOf(id) == routing.Leaving:
		return routing.Leaving
	case clock.Since(failedAt) < retryPause, clock.Since(refusedAt) < refusedPause:
		return routing.Dead
	case r.Targets.Unresponsive(id) && clock.Since(respondedAt) >= responsiveFor:
		return routing.Suspect
	default:
		return routing.Live
	}
}

// Behind reports whether any replica has older weights than operators want.
func (r *Rollout) Behind() bool {
	now := clock.Now()
	for _, d := range r.Replicas.Deployed() {
		if r.isBehind(d.Model, d.Weights, now) {
			return true
		}
	}
	return false
}

// isBehind reports whether weights are older than the newest that operators want.
func (r *Rollout) isBehind(m ids.Model, has ids.WeightsVersion, now time.Time) bool {
	_, behind := r.Weights.Left(m, has, now)
	return behind && has != r.Weights.Newest(m)
}
