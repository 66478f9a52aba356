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

// Times of the stand-ins. They are those of the platform that the incident came from.
const (
	within     = 9 * time.Second  // for which old weights may be used
	allWithin  = 14 * time.Second // after which few engines may still have them
	beyond     = 4 * time.Second
	loadTime   = 830 * time.Millisecond
	reportLag  = 300 * time.Millisecond
	roundEvery = 100 * time.Millisecond
	leaseTerm  = 2200 * time.Millisecond
	leaseAfter = 2700 * time.Millisecond // a successor waits that much longer
	anew       = 1500 * time.Millisecond // until an order that got lost is given again
	holderGap  = 7 * time.Second         // longest time without a holder that incidents have seen
)

// scenario is one rollout.
type scenario struct {
	engines int
	down    int           // of these, engines that answer nothing
	wait    time.Duration // of callers, at the living ones
	runs    time.Duration // how long the runs at hand take to finish
	lost    bool          // the first order to each engine is lost with its answer
	late    time.Duration // lost orders are carried out so much later; zero: never
	gap     time.Duration // for so long nobody holds the lease, from gapAt
	gapAt   time.Duration
	// the last engine asks for a rest at rests.from until rests.to
	rests struct{ from, to time.Duration }
}

func (s scenario) String() string {
	return fmt.Sprintf("%d engines, %d down, wait %v, runs %v, lost %v late %v, no holder for %v from %v",
		s.engines, s.down, s.wait, s.runs, s.lost, s.late, s.gap, s.gapAt)
}

// standIn is one engine.
type standIn struct {
	down      bool
	out       bool      // drained for an order or under one
	told      time.Time // when the VMs were last told so
	busy      bool
	orders    uint64
	weights   ids.WeightsVersion
	changed   time.Time // when orders and busy last changed; reports lag behind
	was       State
	lostFirst bool
	tookAt    time.Time // when it first took an order: from then on no call begins on old weights
}

// world stands in for all that a rollout speaks to. Safe for concurrent use.
type world struct {
	scenario
	mu       sync.Mutex
	began    time.Time
	blind    time.Duration // for so long all engines look silent
	given    []Command     // all orders
	engines  map[ids.Target]*standIn
	loading  int
	mostOut  int // living engines out of service at a time
	cutBound int // orders that cut off calls which can't go on elsewhere
	untold   int // looks at an engine under an order of which the VMs no longer know
}

var errSilent = errors.New("no answer")

func newWorld(s scenario) *world {
	w := &world{scenario: s, began: time.Now(), engines: map[ids.Target]*standIn{}}
	for i := range s.engines {
		w.engines[ids.Target(fmt.Sprintf("e%03d", i))] = &standIn{weights: "1", down: i < s.down, lostFirst: s.lost, was: State{Weights: map[ids.Model]ids.WeightsVersion{"m": "1"}}}
	}
	return w
}

func (e *standIn) state() State {
	return State{Busy: e.busy, Orders: e.orders, Weights: map[ids.Model]ids.WeightsVersion{"m": e.weights}}
}

// Read implements Engines. The answer is as old as reports are.
func (w *world) Read(ctx context.Context, id ids.Target, _ string) (State, error) {
	w.mu.Lock()
	e := w.engines[id]
	down := e.down
	s := e.state()
	if time.Since(e.changed) < reportLag {
		s = e.was
	}
	w.mu.Unlock()
	if down {
		<-ctx.Done()
		return State{}, errSilent
	}
	return s, nil
}

// Order implements Engines.
func (w *world) Order(ctx context.Context, c Command) error {
	w.mu.Lock()
	w.given = append(w.given, c)
	e := w.engines[c.Target]
	if e.down || e.lostFirst {
		lost := e.lostFirst
		e.lostFirst = false
		w.mu.Unlock()
		if lost && !e.down && w.late > 0 {
			time.AfterFunc(w.late, func() { _ = w.take(c) })
		}
		<-ctx.Done()
		return errSilent
	}
	w.mu.Unlock()
	return w.take(c)
}

var errConflict = errors.New("conflict")

// take carries an order out, if it still fits.
func (w *world) take(c Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[c.Target]
	if e.weights == c.Weights {
		return nil
	}
	if e.busy || e.orders != c.Expected {
		return errConflict
	}
	e.was, e.changed = e.state(), time.Now()
	e.busy = true
	e.orders++
	if e.tookAt.IsZero() {
		e.tookAt = time.Now()
	}
	runs := w.runs
	if c.Method != Finish {
		runs = 0
	}
	if c.Method == CutOff && w.wait > 0 {
		w.cutBound++
	}
	w.loading++
	load := loadTime * time.Duration(max(w.loading*5/max(w.scenario.engines, 1), 1))
	time.AfterFunc(runs+load, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.loading--
		e.was, e.changed = e.state(), time.Now()
		e.busy, e.weights = false, c.Weights
	})
	return nil
}

// Records implements Replicas. The list lags behind, as replicas' entries do.
func (w *world) Records() []platform.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]platform.Record, 0, len(w.engines))
	for id, e := range w.engines {
		out = append(out, platform.Record{ID: string(id), Role: platform.RoleEngine, Model: "m", Weights: e.weights})
	}
	slices.SortFunc(out, func(a, b platform.Record) int { return int(b.ID[3]) - int(a.ID[3]) })
	return out
}

// ordering takes an engine out of service for callers, and brings it back.
func (w *world) ordering(id ids.Target, _ ids.WeightsVersion, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[id].out, w.engines[id].told = !done, time.Now()
	out := 0
	for _, e := range w.engines {
		if e.out && !e.down {
			out++
		}
	}
	w.mostOut = max(w.mostOut, out)
}

// SetWeights implements Replicas.
func (w *world) SetWeights(ids.Target, ids.WeightsVersion, string) {}

func (w *world) Restarted(ids.Target, ids.Incarnation, string) {}

// StateOf implements Loads. An engine under an order takes no calls, either.
func (w *world) StateOf(id ids.Target) routing.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.engines[id]; e.down || e.out {
		return routing.Suspect
	}
	return routing.Live
}

// Declines implements Loads.
func (w *world) Declines(id ids.Target) bool {
	d := time.Since(w.began)
	return id == ids.Target(fmt.Sprintf("e%03d", w.scenario.engines-1)) && d >= w.rests.from && d < w.rests.to
}

// NoContact implements Loads.
func (w *world) NoContact(id ids.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[id].down || time.Since(w.began) < w.blind
}

// WorkOf implements Loads. Where callers wait, there are always calls at hand that can't
// go on elsewhere.
func (w *world) WorkOf(ids.Target) (loadview.PeerLoad, time.Duration) {
	if w.wait == 0 {
		return loadview.PeerLoad{InFlight: 5}, 0
	}
	return loadview.PeerLoad{InFlight: 30, NotResumable: 3}, w.wait
}

// Newest implements Newest: version 2 was named when the world began.
func (w *world) Newest(ids.Model) ids.WeightsVersion { return "2" }

// Since implements Newest.
func (w *world) Since(_ ids.Model, now time.Time) time.Duration { return now.Sub(w.began) }

// Left implements Newest.
func (w *world) Left(_ ids.Model, has ids.WeightsVersion, now time.Time) (time.Duration, bool) {
	if has >= "2" {
		return 0, false
	}
	return within - now.Sub(w.began), true
}

// holder is one VM that may give orders, with its lease.
type holder struct {
	lease  *lease.Lease
	orders *orders.Reconciler
}

func (w *world) newHolder(store objectapi.Store, vm ids.VM) *holder {
	l := lease.New(store, "orders", vm, lease.Tuning{Duration: leaseTerm, Margin: 600 * time.Millisecond, WaitOut: leaseAfter}, nil)
	r := &Rollout{
		VM: vm, Lease: l, Replicas: w, Named: w, Calls: w, Loads: w, Hurry: within / 3, Beyond: beyond,
		Ordering: w.ordering, Gone: func(ids.Target, ids.Incarnation) {},
	}
	return &holder{lease: l, orders: newReconciler(r)}
}

// run gives orders until the time is over. Where the scenario has a gap, the first
// holder stops at once, as if killed, and another one begins when it is over.
func (w *world) run(t *testing.T, until time.Duration) {
	t.Helper()
	store := objectapi.NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	h := w.newHolder(store, "vm-1")
	life, end := context.WithCancel(ctx)
	defer func() { end() }()
	for time.Since(w.began) < until {
		if since := time.Since(w.began); w.gap > 0 && since >= w.gapAt {
			end()
			time.Sleep(w.gap)
			w.scenario.gap = 0
			life, end = context.WithCancel(ctx)
			h = w.newHolder(objectapi.NewMemory(), "vm-2")
		}
		if err := h.lease.Try(life); err != nil {
			t.Fatal(err)
		}
		if err := h.orders.Round(life); err != nil {
			t.Fatal(err)
		}
		time.Sleep(roundEvery)
		w.look()
	}
	end()
	h.orders.Wait()
}

// believed is how long VMs believe that an engine is under an order.
const believed = 1500 * time.Millisecond

// look notes engines under an order that VMs take for idle.
func (w *world) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.busy && time.Since(e.told) > believed {
			w.untold++
		}
	}
}

// latest returns when the last living engine took its order, and which never did.
func (w *world) latest() (last time.Duration, never []ids.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.engines {
		switch {
		case e.down:
		case e.tookAt.IsZero():
			never = append(never, id)
		default:
			last = max(last, e.tookAt.Sub(w.began))
		}
	}
	slices.Sort(never)
	return last, never
}

// old returns how many living engines still have old weights.
func (w *world) old() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		if !e.down && e.weights == "1" {
			n++
		}
	}
	return n
}

// Deployed implements Replicas.
func (w *world) Deployed() []platform.Deployed { return deployed(w.Records()) }

func deployed(records []platform.Record) (out []platform.Deployed) {
	for _, r := range records {
		out = append(out, platform.Deployed{Model: r.Model, Weights: r.Weights})
	}
	return out
}
