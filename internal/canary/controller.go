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

// Store holds records and orders.
type Store interface {
	objectapi.Store
	objectapi.StatusStore
}

// Target is the controller's view of one target.
type Target struct {
	Service  string
	Software ids.SoftwareVersion
	State    routing.State
	Warm     bool
}

// Controller rolls services out to the versions that operators order, while its VM holds the
// lease. It keeps the orders, and one ledger per service. Set the exported fields before Run.
// Receive may be called while Run is in progress.
type Controller struct {
	VM     ids.VM
	Store  Store
	Prefix string // key prefix of the operators' orders
	Gate   *Gate
	Bounds Bounds
	Log    *eventlog.Log
	// Decode decodes an order; EncodeStatus encodes the status of an order for a target.
	Decode       func(o objectapi.Object) (Order, error)
	EncodeStatus func(target ids.SoftwareVersion, end End) ([]byte, error)
	// Held reports whether this VM holds the lease.
	Held func() bool
	// Targets returns all known targets.
	Targets func() []Target
	// LiveVMs returns the VMs whose messages arrive, including this one.
	LiveVMs func() []ids.VM
	// WeightsSettled reports whether no order to load other weights is in transit to a
	// target. Nil means that there are no such orders.
	WeightsSettled func() bool
	// Judge returns a new judge for an order. Nil means Sequential.
	Judge func() Judge

	mu        sync.Mutex
	orders    map[string]Order // by key
	ordersEra objectapi.Era    // of the latest list of orders
	ready     bool             // orders have been read since the VM acquired the lease
	ledgers   map[string]*Ledger
	writes    uint64 // sequence number of the last write; see Record.Write
	services  map[string]*serviceState
}

// serviceState is what the controller keeps of a service between two steps.
type serviceState struct {
	stableGoneSince time.Time // since when the version in service has no target; zero: it has one
	elapsed         time.Duration
	at              time.Time // when elapsed was read
	order           OrderID   // the order that elapsed belongs to
	loggedVerdict   Verdict
}

const (
	// stepInterval is the pause between two steps of the lease holder.
	stepInterval = 200 * time.Millisecond
	// leasePollInterval is the pause between two checks whether this VM holds the lease.
	leasePollInterval = 500 * time.Millisecond
	// storeTimeout bounds one write to the store, with the read that follows if the write of a
	// status fails.
	storeTimeout = time.Second
	// stableGoneTimeout is how long the version in service may have no target before another
	// version takes its place. Entries of targets that lapsed during an outage of the store
	// return sooner than that.
	stableGoneTimeout = 4 * time.Second
)

// Run performs rollouts while this VM holds the lease. It returns when ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for timing.Sleep(ctx, leasePollInterval) {
		if c.Held() {
			c.runWithLease(ctx)
		}
	}
}

// runWithLease steps all services until the VM loses the lease. It starts from empty state,
// since another VM may have acted in between.
func (c *Controller) runWithLease(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.orders, c.ready, c.ledgers, c.services = map[string]Order{}, false, map[string]*Ledger{}, map[string]*serviceState{}
	c.mu.Unlock()
	f := &follow.Follower{Store: c.Store, Prefix: c.Prefix, Handler: (*orderReader)(c), Log: c.Log}
	var reading sync.WaitGroup
	reading.Go(func() { f.Run(ctx) })
	defer reading.Wait()
	defer cancel()
	for timing.Sleep(ctx, stepInterval) && c.Held() {
		c.stepServices(ctx)
	}
}

// orderReader applies changes of the operators' orders to a Controller.
type orderReader Controller

var _ follow.Handler = (*orderReader)(nil)

// Listed implements follow.Handler.
func (r *orderReader) Listed(objects []objectapi.Object, at follow.At, _ bool) {
	r.mu.Lock()
	r.orders, r.ordersEra = map[string]Order{}, at.Revision.Era()
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
			continue // a write of this VM has already returned a later version
		}
		delete(r.orders, e.Key)
		if e.Deleted {
			continue
		}
		o, err := r.Decode(e)
		if err != nil {
			r.Log.State("software-order-rejected").Str("key", e.Key).Str("error", err.Error()).Send()
			continue
		}
		r.orders[e.Key] = o
	}
}

// Unchanged implements follow.Handler.
func (r *orderReader) Unchanged(follow.At) {}

// Receive merges the counts that a VM reports. incarnation is that of the VM's process. A nil
// Controller ignores them.
func (c *Controller) Receive(vm ids.VM, incarnation int64, reports []Report) {
	if c == nil {
		return
	}
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range reports {
		r := &reports[i]
		if l := c.ledgers[r.Service]; l != nil {
			l.Merge(vm, incarnation, r, now)
		}
	}
}

// stepServices makes one step for each service that has targets or an order.
func (c *Controller) stepServices(ctx context.Context) {
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
			c.Log.State("canary-step-failed").Str("service", service).Str("error", err.Error()).Send()
		}
	}
}

// step computes the next state of one service's record, writes it, and updates the status of
// the order.
func (c *Controller) step(ctx context.Context, service string, order *Order, targets []Target) error {
	known := c.Gate.State(service)
	record := known.Record
	record.Service = service
	if order != nil && record.Order.Same(order.OrderID) {
		record.Order = order.OrderID
	}
	f := c.facts(&record, &known, order, targets)
	next := c.Bounds.Next(record, f)
	if next.Record.Stable == "" && next.Record.Canary == "" {
		return nil // neither a record nor a target of the service is known yet
	}
	c.logVerdict(service, &record, &f)
	if known.Outdated || !next.Record.same(&known.Record) {
		if record.Order == (OrderID{}) && order == nil && known.Stored > 0 && !known.Outdated && record.Stable == next.Record.Stable {
			return nil // only By would change
		}
		if err := c.write(ctx, next.Record, known.Stored); err != nil {
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

// facts collects the inputs of a step.
func (c *Controller) facts(r *Record, known *State, order *Order, targets []Target) Facts {
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
	s := c.services[r.Service]
	if s == nil {
		s = &serviceState{}
		c.services[r.Service] = s
	}
	f.StableGone = s.stableGone(r.Stable != "" && f.Versions[r.Stable] == 0, now)
	if order == nil || r.Order != order.OrderID {
		s.order = OrderID{}
		return f
	}
	f.Elapsed = s.orderElapsed(r, known.Since, now)
	l := c.ledgers[r.Service]
	if l == nil || !l.Order.Same(r.Order) {
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
	f.Drained = r.Stage == Promoting && c.drained(l, known.Written)
	return f
}

func (c *Controller) newJudge() Judge {
	if c.Judge != nil {
		return c.Judge()
	}
	return &Sequential{}
}

// drained reports whether no live VM has calls left at other versions and this VM has no
// order for weights in transit. The caller holds c.mu.
func (c *Controller) drained(l *Ledger, revision objectapi.Revision) bool {
	for _, vm := range c.LiveVMs() {
		if !l.Drained(vm, revision) {
			return false
		}
	}
	return c.WeightsSettled == nil || c.WeightsSettled()
}

// stableGone reports whether the version in service has had no target for stableGoneTimeout.
// missing says whether it has none now.
func (s *serviceState) stableGone(missing bool, now time.Time) bool {
	switch {
	case !missing:
		s.stableGoneSince = time.Time{}
	case s.stableGoneSince.IsZero():
		s.stableGoneSince = now
	}
	return missing && now.Sub(s.stableGoneSince) >= stableGoneTimeout
}

// orderElapsed returns how much of the order's time has passed: the value in the record plus
// the time since this VM applied the record.
func (s *serviceState) orderElapsed(r *Record, sinceApplied time.Duration, now time.Time) time.Duration {
	if !s.order.Same(r.Order) {
		s.order, s.elapsed, s.at = r.Order, r.Elapsed+sinceApplied, now
	}
	return s.elapsed + now.Sub(s.at)
}

// logVerdict logs each change of the verdict on a canary.
func (c *Controller) logVerdict(service string, r *Record, f *Facts) {
	c.mu.Lock()
	s := c.services[service]
	changed := r.Canary != "" && s.loggedVerdict != f.Finding.Verdict
	s.loggedVerdict = f.Finding.Verdict
	c.mu.Unlock()
	if !changed {
		return
	}
	c.Log.State("canary-verdict").Str("service", service).Str("canary", string(r.Canary)).Str("verdict", f.Finding.Verdict.String()).
		Uint32("route_hash", f.Finding.Route).Float64("failed", f.Finding.Failed).Float64("slow", f.Finding.Slow).
		Uint32("answers", f.Finding.Calls).Int64("elapsed_ms", f.Elapsed.Milliseconds()).Str("stage", string(r.Stage)).Send()
}

// era returns the store's era as far as this VM knows it: that of the record that a write is to replace,
// or, if the store has none, that of the orders.
func (c *Controller) era(replaced objectapi.Revision) objectapi.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(replaced.Era(), c.ordersEra)
}

// write writes a record on condition that the store still holds the given revision of it;
// revision 0 creates the record. It writes nothing if this VM has lost the lease.
func (c *Controller) write(ctx context.Context, r Record, revision objectapi.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.writes++
	r.Write, r.Era = c.writes, c.era(revision)
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode canary record")
	}
	isOwnWrite := func(stored []byte) bool { return slices.Equal(stored, value) }
	if !c.Held() {
		return nil
	}
	var o objectapi.Object
	if revision == 0 {
		o, err = objectapi.ResolveCreate(ctx, c.Store, Prefix+r.Service, value, isOwnWrite)
	} else {
		o, err = objectapi.ResolveUpdate(ctx, c.Store, Prefix+r.Service, value, revision, isOwnWrite)
	}
	if err == nil {
		c.Gate.Apply(r, o.Version)
		return nil
	}
	if o.Version > revision { // a record of another VM that this VM has not seen yet
		c.Gate.applyObjects([]objectapi.Object{o})
	}
	return eris.Wrapf(err, "write canary record of %s", r.Service)
}

// report writes the status of an order, on condition that the order is unchanged. It writes
// nothing if this VM has lost the lease.
func (c *Controller) report(ctx context.Context, o *Order, end End) error {
	if !c.Held() || o.HasStatus && o.Reported == end {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	status, err := c.EncodeStatus(o.Target, end)
	if err != nil {
		return err
	}
	revision, err := c.Store.UpdateStatus(ctx, o.Key, status, o.Version)
	if err != nil {
		c.reread(ctx, o.Key) // the order has changed, or the store's response was lost
		return eris.Wrapf(err, "write status of order %s", o.Key)
	}
	c.Log.State("canary-status").Str("service", o.Service).Str("target", string(o.Target)).Str("end", cmp.Or(string(end), "running")).
		Uint64("revision", uint64(revision)).Send()
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.orders[o.Key]; known.Version == o.Version {
		known.Version, known.Reported, known.HasStatus = revision, end, true
		c.orders[o.Key] = known
	}
	return nil
}

// reread reads an order from the store and applies it.
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
