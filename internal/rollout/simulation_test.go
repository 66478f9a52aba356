package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// Times of the simulation. They are those of a platform on which rollouts missed their
// deadline.
const (
	within         = 9 * time.Second  // how long old weights may be used
	loadedWithin   = 14 * time.Second // after that, only few engines may still have them
	loadGrace      = 4 * time.Second
	loadTime       = 830 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	reconcileEvery = 100 * time.Millisecond
	leaseTerm      = 2200 * time.Millisecond
	leaseWaitOut   = 2700 * time.Millisecond
	resendAfter    = 1500 * time.Millisecond // until a lost order is sent again
	holderGap      = 7 * time.Second         // longest time without a lease holder seen in operation
)

// scenario is one rollout.
type scenario struct {
	engines int
	down    int           // of these, unresponsive engines
	wait    time.Duration // of requests at live engines
	runs    time.Duration // how long current requests take to finish
	lost    bool          // the first order to each engine gets no response
	late    time.Duration // delay after which lost orders are carried out; zero: never
	gap     time.Duration // how long no VM holds the lease, from gapAt on
	gapAt   time.Duration
	// namings are when versions 2, 3 and so on are declared. Empty: version 2 at the beginning.
	namings []time.Duration
	// The last engine asks to get no requests (a rest) from rests.from to rests.to.
	rests struct{ from, to time.Duration }
}

func (s scenario) String() string {
	return fmt.Sprintf("%d engines, %d down, wait %v, runs %v, lost %v late %v, no holder for %v from %v",
		s.engines, s.down, s.wait, s.runs, s.lost, s.late, s.gap, s.gapAt)
}

// simEngine is one engine.
type simEngine struct {
	down       bool
	out        bool      // drains for an order or carries it out
	notifiedAt time.Time // when out was last announced to the VMs
	busy       bool
	orders     uint64
	weights    ids.WeightsVersion
	changed    time.Time // when orders and busy last changed; reported states lag behind
	previous   State
	dropFirst  bool
	acceptedAt time.Time // when it first accepted an order: from then on it starts no request on old weights
	accepted   []acceptance
}

// acceptance is when an engine accepted an order for a version.
type acceptance struct {
	weights ids.WeightsVersion
	at      time.Duration // since the beginning
}

// simulation fakes all dependencies of a rollout. Safe for concurrent use.
type simulation struct {
	scenario
	mu              sync.Mutex
	began           time.Time
	unresponsiveFor time.Duration // how long all engines seem unresponsive
	sent            []Command     // all orders
	engines         map[ids.Target]*simEngine
	rollouts        []*Rollout // of all holders
	loading         int
	maxOut          int // most live engines out of service at a time
	cutNonResumable int // orders that cut off non-resumable requests
	unannounced     int // checks that found an engine with an order that the VMs no longer know of
}

var errNoResponse = errors.New("no response")

func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, began: time.Now(), engines: map[ids.Target]*simEngine{}}
	for i := range s.engines {
		sim.engines[ids.Target(fmt.Sprintf("e%03d", i))] = &simEngine{weights: "1", down: i < s.down, dropFirst: s.lost, previous: State{Weights: map[ids.Model]ids.WeightsVersion{"m": "1"}}}
	}
	return sim
}

func (e *simEngine) state() State {
	return State{Busy: e.busy, Orders: e.orders, Weights: map[ids.Model]ids.WeightsVersion{"m": e.weights}}
}

// Read implements EngineClient. The state lags behind by reportLag.
func (sim *simulation) Read(ctx context.Context, id ids.Target, _ string) (State, error) {
	sim.mu.Lock()
	e := sim.engines[id]
	down := e.down
	s := e.state()
	if time.Since(e.changed) < reportLag {
		s = e.previous
	}
	sim.mu.Unlock()
	if down {
		<-ctx.Done()
		return State{}, errNoResponse
	}
	return s, nil
}

// Order implements EngineClient.
func (sim *simulation) Order(ctx context.Context, c Command) error {
	sim.mu.Lock()
	sim.sent = append(sim.sent, c)
	e := sim.engines[c.Target]
	if e.down || e.dropFirst {
		lost := e.dropFirst
		e.dropFirst = false
		sim.mu.Unlock()
		if lost && !e.down && sim.late > 0 {
			time.AfterFunc(sim.late, func() { _ = sim.apply(c) })
		}
		<-ctx.Done()
		return errNoResponse
	}
	sim.mu.Unlock()
	return sim.apply(c)
}

var errConflict = errors.New("conflict")

// apply carries out an order, if it matches the engine's state.
func (sim *simulation) apply(c Command) error {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e := sim.engines[c.Target]
	if e.weights == c.Weights {
		return nil
	}
	if e.busy || e.orders != c.Expected {
		return errConflict
	}
	e.previous, e.changed = e.state(), time.Now()
	e.busy = true
	e.orders++
	if e.acceptedAt.IsZero() {
		e.acceptedAt = time.Now()
	}
	e.accepted = append(e.accepted, acceptance{c.Weights, time.Since(sim.began)})
	runs := sim.runs
	if c.Method != Finish {
		runs = 0
	}
	if c.Method == CutOff && sim.wait > 0 {
		sim.cutNonResumable++
	}
	sim.loading++
	load := loadTime * time.Duration(max(sim.loading*5/max(sim.scenario.engines, 1), 1))
	time.AfterFunc(runs+load, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.loading--
		e.previous, e.changed = e.state(), time.Now()
		e.busy, e.weights = false, c.Weights
	})
	return nil
}

// Records implements Replicas.
func (sim *simulation) Records() []platform.Record {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := make([]platform.Record, 0, len(sim.engines))
	for id, e := range sim.engines {
		out = append(out, platform.Record{ID: string(id), Role: platform.RoleEngine, Model: "m", Weights: e.weights})
	}
	slices.SortFunc(out, func(a, b platform.Record) int { return int(b.ID[3]) - int(a.ID[3]) })
	return out
}

// onOrder takes an engine out of service, or returns it to service.
func (sim *simulation) onOrder(id ids.Target, _ ids.WeightsVersion, done bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.engines[id].out, sim.engines[id].notifiedAt = !done, time.Now()
	out := 0
	for _, e := range sim.engines {
		if e.out && !e.down {
			out++
		}
	}
	sim.maxOut = max(sim.maxOut, out)
}

// SetWeights implements Replicas.
func (sim *simulation) SetWeights(ids.Target, ids.WeightsVersion, string) {}

func (sim *simulation) Restarted(ids.Target, ids.Incarnation, string) {}

// StateOf implements TargetStatus. An engine with an order accepts no requests, either.
func (sim *simulation) StateOf(id ids.Target) routing.State {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if e := sim.engines[id]; e.down || e.out {
		return routing.Suspect
	}
	return routing.Live
}

// Declines implements TargetStatus.
func (sim *simulation) Declines(id ids.Target) bool {
	d := time.Since(sim.began)
	return id == ids.Target(fmt.Sprintf("e%03d", sim.scenario.engines-1)) && d >= sim.rests.from && d < sim.rests.to
}

// Unresponsive implements TargetStatus.
func (sim *simulation) Unresponsive(id ids.Target) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.engines[id].down || time.Since(sim.began) < sim.unresponsiveFor
}

// WorkOf implements TargetStatus. Where requests wait, every engine always has non-resumable
// ones.
func (sim *simulation) WorkOf(ids.Target) (loadview.TargetWork, time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.wait == 0 {
		return loadview.TargetWork{InFlight: 5}, 0
	}
	return loadview.TargetWork{InFlight: 30, NotResumable: 3}, sim.wait
}

// declared returns when versions 2, 3 and so on are declared, as far as they are by now.
func (sim *simulation) declared(now time.Time) []time.Time {
	if len(sim.namings) == 0 {
		return []time.Time{sim.began}
	}
	var out []time.Time
	for _, at := range sim.namings {
		if t := sim.began.Add(at); !t.After(now) {
			out = append(out, t)
		}
	}
	return out
}

// Newest implements DesiredWeights.
func (sim *simulation) Newest(ids.Model) ids.WeightsVersion {
	return versionAt(len(sim.declared(time.Now())) - 1)
}

// versionAt returns the version with an index in simulation.declared. It has one digit, so that versions compare as strings.
func versionAt(i int) ids.WeightsVersion { return ids.WeightsVersion(rune('2' + i)) }

// Since implements DesiredWeights.
func (sim *simulation) Since(_ ids.Model, now time.Time) time.Duration {
	all := sim.declared(now)
	return now.Sub(all[len(all)-1])
}

// Left implements DesiredWeights.
func (sim *simulation) Left(_ ids.Model, has ids.WeightsVersion, now time.Time) (time.Duration, bool) {
	for i, at := range sim.declared(now) {
		if has < versionAt(i) {
			return within - now.Sub(at), true
		}
	}
	return 0, false
}

// holder is one VM that may send orders, with its lease.
type holder struct {
	lease  *lease.Lease
	orders *orders.Reconciler
}

func (sim *simulation) newHolder(store objectapi.Store, vm ids.VM) *holder {
	l := lease.New(store, "orders", vm, lease.Tuning{Duration: leaseTerm, Margin: 600 * time.Millisecond, WaitOut: leaseWaitOut}, nil)
	r := &Rollout{
		VM: vm, Lease: l, Replicas: sim, Weights: sim, Client: sim, Targets: sim, ThrottleFor: within / 3, LoadGrace: loadGrace,
		OnOrder: sim.onOrder, OnGone: func(ids.Target, ids.Incarnation) {},
	}
	sim.rollouts = append(sim.rollouts, r)
	return &holder{lease: l, orders: newReconciler(r)}
}

// run reconciles until the given time. If the scenario has a gap, the first holder stops at
// its beginning, as if killed, and another one starts at its end.
func (sim *simulation) run(t *testing.T, until time.Duration) {
	t.Helper()
	store := objectapi.NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h := sim.newHolder(store, "vm-1")
	running, stop := context.WithCancel(ctx)
	defer func() { stop() }()
	for time.Since(sim.began) < until {
		if since := time.Since(sim.began); sim.gap > 0 && since >= sim.gapAt {
			stop()
			time.Sleep(sim.gap)
			sim.scenario.gap = 0
			running, stop = context.WithCancel(ctx)
			h = sim.newHolder(objectapi.NewMemory(), "vm-2")
		}
		if err := h.lease.Try(running); err != nil {
			t.Fatal(err)
		}
		if err := h.orders.Reconcile(running); err != nil {
			t.Fatal(err)
		}
		time.Sleep(reconcileEvery)
		sim.checkAnnounced()
	}
	stop()
	h.orders.Wait()
}

// announcedFor is how long VMs rely on an announcement that an engine has an order.
const announcedFor = 1500 * time.Millisecond

// checkAnnounced counts engines that carry out an order while VMs assume that they are idle.
func (sim *simulation) checkAnnounced() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, e := range sim.engines {
		if e.busy && time.Since(e.notifiedAt) > announcedFor {
			sim.unannounced++
		}
	}
}

// lastAccepted returns when the last live engine accepted its order, and which ones never did.
func (sim *simulation) lastAccepted() (last time.Duration, never []ids.Target) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, e := range sim.engines {
		switch {
		case e.down:
		case e.acceptedAt.IsZero():
			never = append(never, id)
		default:
			last = max(last, e.acceptedAt.Sub(sim.began))
		}
	}
	slices.Sort(never)
	return last, never
}

// outdated returns how many live engines still have the old weights.
func (sim *simulation) outdated() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n := 0
	for _, e := range sim.engines {
		if !e.down && e.weights == "1" {
			n++
		}
	}
	return n
}

// Deployed implements Replicas.
func (sim *simulation) Deployed() []platform.Deployed { return deployed(sim.Records()) }

func deployed(records []platform.Record) (out []platform.Deployed) {
	for _, r := range records {
		out = append(out, platform.Deployed{Model: r.Model, Weights: r.Weights})
	}
	return out
}
