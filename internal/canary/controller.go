package canary

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// Store is where records and orders lie.
type Store interface {
	objectapi.Store
	objectapi.StatusStore
}

// Target is what the controller needs to know of one target.
type Target struct {
	Service  string
	Software ids.SoftwareVersion
	State    routing.State
	Warm     bool
}

// Controller moves services to the versions that operators order while its VM holds the lease.
// It holds an order and a ledger for each service. Its fields are set before Run.
type Controller struct {
	VM     ids.VM
	Store  Store
	Prefix string // of the operators' orders
	Gate   *Gate
	Bounds Bounds
	Log    *eventlog.Log
	// Decode reads an order, EncodeStatus renders what its status says of a target.
	Decode       func(o objectapi.Object) (Order, error)
	EncodeStatus func(target ids.SoftwareVersion, end End) ([]byte, error)
	// Held tells whether this VM may act.
	Held func() bool
	// Targets returns the targets that are known.
	Targets func() []Target
	// LiveVMs returns the VMs that are heard, this one included.
	LiveVMs func() []ids.VM
	// WeightsSettled tells whether no order for other weights is on its way to a target.
	WeightsSettled func() bool
	// Judge makes the judge of an order. Nil: Sequential.
	Judge func() Judge

	mu       sync.Mutex
	orders   map[string]Order // by key
	ready    bool             // they have been read since the lease was acquired
	ledgers  map[string]*Ledger
	writes   uint64
	services map[string]*watched
}

// watched is what the controller remembers of a service between two looks.
type watched struct {
	vacantAt time.Time // since when no target of the version in service is there; zero: one is
	elapsed  time.Duration
	at       time.Time // of elapsed
	order    OrderID
	told     Verdict
}

const (
	// lookEvery is the pause between two looks of the VM that acts.
	lookEvery = 200 * time.Millisecond
	// holdEvery is the pause between two looks whether this VM is the one that acts.
	holdEvery = 500 * time.Millisecond
	// callTimeout bounds one write.
	callTimeout = time.Second
	// vacantFor is for how long no target of the version in service may be there before another
	// version is taken for it: entries that lapsed while the store was away come back sooner.
	vacantFor = 4 * time.Second
)

// Run acts while this VM holds the lease, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for timing.Sleep(ctx, holdEvery) {
		if c.Held() {
			c.hold(ctx)
		}
	}
}

// hold acts until the lease is lost.
func (c *Controller) hold(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.orders, c.ready, c.ledgers, c.services = map[string]Order{}, false, map[string]*Ledger{}, map[string]*watched{}
	c.mu.Unlock()
	f := &follow.Follower{Store: c.Store, Prefix: c.Prefix, Handler: (*orderReader)(c), Log: c.Log}
	var reading sync.WaitGroup
	reading.Go(func() { f.Run(ctx) })
	defer reading.Wait()
	defer cancel()
	for timing.Sleep(ctx, lookEvery) && c.Held() {
		c.look(ctx)
	}
}

// orderReader takes in the operators' orders.
type orderReader Controller

var _ follow.Handler = (*orderReader)(nil)

// Listed implements follow.Handler.
func (r *orderReader) Listed(objects []objectapi.Object, _ follow.At, _ bool) {
	r.mu.Lock()
	r.orders = map[string]Order{}
	r.ready = true
	r.mu.Unlock()
	r.Changed(objects, follow.At{})
}

// Changed implements follow.Handler.
func (r *orderReader) Changed(events []objectapi.Object, _ follow.At) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		if known, ok := r.orders[e.Key]; ok && e.Version < known.Version {
			continue // a write of this VM's own has shown a later state
		}
		delete(r.orders, e.Key)
		if e.Deleted {
			continue
		}
		o, err := r.Decode(e)
		if err != nil {
			r.Log.Belief("software-order-rejected").Str("key", e.Key).Str("error", err.Error()).Send()
			continue
		}
		r.orders[e.Key] = o
	}
}

// Unchanged implements follow.Handler.
func (r *orderReader) Unchanged(follow.At) {}

// Receive takes in what a VM has counted.
func (c *Controller) Receive(vm ids.VM, life int64, reports []Report) {
	if c == nil {
		return
	}
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range reports {
		r := &reports[i]
		if l := c.ledgers[r.Service]; l != nil {
			l.Merge(vm, life, r, now)
		}
	}
}

// look makes one step for each service.
func (c *Controller) look(ctx context.Context) {
	c.mu.Lock()
	ready := c.ready
	orders := map[string]Order{}
	for _, o := range c.orders {
		orders[o.Service] = o
	}
	c.mu.Unlock()
	if !ready {
		return
	}
	services := map[string][]Target{}
	for _, t := range c.Targets() {
		services[t.Service] = append(services[t.Service], t)
	}
	for service := range orders {
		if _, known := services[service]; !known {
			services[service] = nil
		}
	}
	for service, targets := range services {
		var order *Order
		if o, ok := orders[service]; ok {
			order = &o
		}
		if err := c.step(ctx, service, order, targets); err != nil {
			c.Log.Belief("canary-step-failed").Str("service", service).Str("error", err.Error()).Send()
		}
	}
}

// step makes one step for one service.
func (c *Controller) step(ctx context.Context, service string, order *Order, targets []Target) error {
	record, version, since, _ := c.Gate.State(service)
	record.Service = service
	f := c.facts(&record, version, since, order, targets)
	next := c.Bounds.Next(record, f)
	if next.Record.Stable == "" && next.Record.Canary == "" {
		return nil // nothing is known of the service yet
	}
	c.tellVerdict(service, &record, &f)
	if !next.Record.same(&record) {
		if record.Order == (OrderID{}) && order == nil && version > 0 && record.Stable == next.Record.Stable {
			return nil // only its writer would change
		}
		if err := c.write(ctx, next.Record, version); err != nil {
			return err
		}
		record = next.Record
	}
	switch {
	case next.Report != Running:
		return c.report(ctx, order, next.Report)
	case next.Begin || order != nil && record.Canary != "" && !order.HasStatus:
		return c.report(ctx, order, Running)
	}
	return nil
}

// facts gathers what a step goes by.
func (c *Controller) facts(r *Record, version objectapi.Revision, since time.Duration, order *Order, targets []Target) Facts {
	now := clock.Now()
	f := Facts{Self: c.VM, Order: order, Versions: map[ids.SoftwareVersion]int{}}
	for _, t := range targets {
		if t.State <= routing.Leaving {
			continue
		}
		f.Versions[t.Software]++
		if order != nil && t.Software == order.Target && t.Warm {
			f.Warm++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.services[r.Service]
	if w == nil {
		w = &watched{}
		c.services[r.Service] = w
	}
	f.StableGone = w.vacant(r.Stable != "" && f.Versions[r.Stable] == 0, now)
	if order == nil || r.Order != order.OrderID {
		w.order = OrderID{}
		return f
	}
	f.Elapsed = w.since(r, since, now)
	l := c.ledgers[r.Service]
	if l == nil || l.Order != r.Order {
		l = NewLedger(r.Order, c.newJudge())
		c.ledgers[r.Service] = l
	}
	if r.Stage == Loading || r.Stage == Promoting {
		l.Judge.SetLoaded()
	}
	f.Finding = l.Judge.Verdict()
	if f.Elapsed > 0 {
		f.Rate = l.Calls() / f.Elapsed.Seconds()
	}
	f.Drained = r.Stage == Promoting && c.cleared(l, version)
	return f
}

func (c *Controller) newJudge() Judge {
	if c.Judge != nil {
		return c.Judge()
	}
	return &Sequential{}
}

// cleared tells whether no VM that is heard has calls left at other versions, nor this one an
// order for weights on its way. The lock is held.
func (c *Controller) cleared(l *Ledger, version objectapi.Revision) bool {
	for _, vm := range c.LiveVMs() {
		if !l.Drained(vm, version) {
			return false
		}
	}
	return c.WeightsSettled == nil || c.WeightsSettled()
}

// vacant tells whether something has been missing for a while.
func (w *watched) vacant(missing bool, now time.Time) bool {
	switch {
	case !missing:
		w.vacantAt = time.Time{}
	case w.vacantAt.IsZero():
		w.vacantAt = now
	}
	return missing && now.Sub(w.vacantAt) >= vacantFor
}

// since returns how much of the order's time has passed: what the record says, and for how long
// this VM has had it.
func (w *watched) since(r *Record, had time.Duration, now time.Time) time.Duration {
	if w.order != r.Order {
		w.order, w.elapsed, w.at = r.Order, r.Elapsed+had, now
	}
	return w.elapsed + now.Sub(w.at)
}

// tellVerdict logs the verdict on a canary when it changes.
func (c *Controller) tellVerdict(service string, r *Record, f *Facts) {
	c.mu.Lock()
	w := c.services[service]
	changed := r.Canary != "" && w.told != f.Finding.Verdict
	w.told = f.Finding.Verdict
	c.mu.Unlock()
	if !changed {
		return
	}
	c.Log.Belief("canary-verdict").Str("service", service).Str("canary", string(r.Canary)).Str("verdict", f.Finding.Verdict.String()).
		Uint32("route_hash", f.Finding.Route).Float64("failed", f.Finding.Failed).Float64("slow", f.Finding.Slow).
		Uint32("answers", f.Finding.Calls).Int64("elapsed_ms", f.Elapsed.Milliseconds()).Str("stage", string(r.Stage)).Send()
}

// write writes a record on condition that it is unchanged.
func (c *Controller) write(ctx context.Context, r Record, version objectapi.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.writes++
	r.Write = c.writes
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode the record")
	}
	mine := func(stored []byte) bool { return slices.Equal(stored, value) }
	if !c.Held() {
		return nil
	}
	var o objectapi.Object
	if version == 0 {
		o, err = objectapi.ResolveCreate(ctx, c.Store, Prefix+r.Service, value, mine)
	} else {
		o, err = objectapi.ResolveUpdate(ctx, c.Store, Prefix+r.Service, value, version, mine)
	}
	if err == nil {
		c.Gate.Apply(r, o.Version)
		return nil
	}
	if o.Version > version { // another VM's, which this one has not seen yet
		c.Gate.take([]objectapi.Object{o})
	}
	return eris.Wrapf(err, "write the record of %s", r.Service)
}

// report writes the status of an order, on condition that it is the one that was judged.
func (c *Controller) report(ctx context.Context, o *Order, end End) error {
	if !c.Held() || o.HasStatus && o.Reported == end {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.EncodeStatus(o.Target, end)
	if err != nil {
		return err
	}
	version, err := c.Store.UpdateStatus(ctx, o.Key, status, o.Version)
	if err != nil {
		c.reread(ctx, o.Key) // it may be another order, or the answer was lost
		return eris.Wrapf(err, "write the status of %s", o.Key)
	}
	c.Log.Belief("canary-status").Str("service", o.Service).Str("target", string(o.Target)).Str("end", cmp.Or(string(end), "running")).
		Uint64("revision", uint64(version)).Send()
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.orders[o.Key]; known.Version == o.Version {
		known.Version, known.Reported, known.HasStatus = version, end, true
		c.orders[o.Key] = known
	}
	return nil
}

// reread takes in an order as it is now.
func (c *Controller) reread(ctx context.Context, key string) {
	o, err := c.Store.Get(ctx, key)
	switch {
	case err == nil:
		(*orderReader)(c).Changed([]objectapi.Object{o}, follow.At{})
	case errors.Is(err, objectapi.ErrNotFound):
		c.mu.Lock()
		delete(c.orders, key)
		c.mu.Unlock()
	}
}
