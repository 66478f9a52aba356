package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/timing"
)

// Rhythms of duties that no setting governs.
const (
	refreshEvery = 100 * time.Millisecond
	trimEvery    = time.Second
	logEvery     = time.Second
	sweepEvery   = 250 * time.Millisecond
	forgetEvery  = 10 * time.Second
	// holderEvery is how often the lease's holder renews, and others look.
	holderEvery = 700 * time.Millisecond
	otherEvery  = 1400 * time.Millisecond
	// candidates is how many VMs look often, so that one takes over soon; farEvery is
	// how often the rest does, for the case that all of them are gone.
	candidates = 5
	farEvery   = 20 * time.Second
	// roundEvery is how often the holder compares what is and what is wanted, and otherRoundEvery
	// how often others look whether they hold the lease. A round takes one part in roundRest + 1
	// of the time at most.
	roundEvery      = 100 * time.Millisecond
	otherRoundEvery = 400 * time.Millisecond
	roundRest       = 9
)

// leaseTuning gives the lease's times, so that the last order of one holder and the
// first of the next are at least turn apart. An order leaves only if it arrives before
// the holder stops (package rollout); margin and wait-out lie between that and the next.
func leaseTuning(turn time.Duration) lease.Tuning {
	const margin = 600 * time.Millisecond
	return lease.Tuning{
		Duration: 2200 * time.Millisecond, Margin: margin, WaitOut: turn - margin + turnMargin,
		HandoverDelay: turn + turnMargin, ReclaimOwn: true,
	}
}

// turnMargin covers how late timers fire and how clocks of VMs drift apart in one turn.
const turnMargin = 200 * time.Millisecond

// dutyTable names every duty. Each runs in a goroutine of its own until its
// context ends.
func (d *Daemon) dutyTable() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"read-store":    d.reader.Run,
		"register":      d.register,
		"reload":        d.reloads,
		"readiness":     d.judge,
		"trim":          every(trimEvery, func() { d.Forward.Upstream.Trim(clock.Now()) }),
		"sweep":         every(sweepEvery, d.Replicas.Sweep),
		"clock":         func(ctx context.Context) { clock.Watch(ctx, d.woke) },
		"allowances":    every(allowance.SweepEvery, d.allowed.Sweep),
		"forget":        every(forgetEvery, d.crashes.Sweep),
		"log":           every(logEvery, d.Log.Tell),
		"usage":         every(usageEvery, d.tellUsage),
		"feeds":         d.feeds.Run,
		"retell":        d.retellCaches,
		"watch":         every(watchEvery, d.watchReaders),
		"hear-news":     d.news.Receive,
		"tell-news":     d.news.SendLoads,
		"tell-kv":       d.news.SendCacheChanges,
		"lease":         d.keepLease,
		"orders":        d.giveOrders,
		"canaries":      d.runCanaries,
		"tell-canaries": d.tellCanaries,
	}
}

// woke puts an end to what a suspension of this VM has outlived. Proofs, the lease and all
// ages go by package clock and have run out by themselves.
func (d *Daemon) woke(length time.Duration) {
	ended := d.Forward.AfterSuspension()
	d.Log.Belief("suspended").Int64("ms", length.Milliseconds()).Int("calls_over", ended).
		Int64("proof_age_ms", d.Catalog.ProofAge(clock.Now()).Milliseconds()).Send()
}

func every(period time.Duration, f func()) func(context.Context) {
	return func(ctx context.Context) {
		for timing.Sleep(ctx, period) {
			f()
		}
	}
}

// keepLease acquires, renews or watches the lease for orders.
func (d *Daemon) keepLease(ctx context.Context) {
	held := false
	timing.Sleep(ctx, rand.N(otherEvery))
	for ctx.Err() == nil {
		if err := d.Lease.Try(ctx); err != nil && held {
			d.Log.Belief("lease-not-renewed").Str("error", err.Error()).Send()
		}
		token, holds := d.Lease.Held()
		if holds != held {
			held = holds
			d.Log.Belief("lease").Bool("held", holds).Uint64("fence", token.Fence).Send()
		}
		d.leaseSleep(ctx, d.leasePause(holds))
	}
}

// leasePause is the time until this VM looks at the lease again. One that may take it
// over before its next look wakes for that: each second without a holder is one less to
// bring engines to new weights.
func (d *Daemon) leasePause(holds bool) time.Duration {
	switch {
	case holds:
		return holderEvery
	case d.vms.rank(leaseName) >= candidates:
		return farEvery/2 + rand.N(farEvery)
	}
	pause := otherEvery/2 + rand.N(otherEvery)
	if due, ok := d.Lease.Takeover(); ok && due > 0 {
		return min(pause, due+takeoverSpread/4+rand.N(takeoverSpread))
	}
	return pause
}

// leaseSleep waits for so long, or until a holder says that it has stopped.
func (d *Daemon) leaseSleep(ctx context.Context, pause time.Duration) {
	wait, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-wait.Done():
	case <-d.leaseNews:
		due, _ := d.Lease.Takeover()
		timing.Sleep(ctx, due+rand.N(takeoverSpread))
	}
}

// lapsed returns what peers are to know of a lease for orders that this VM could not renew.
// Where only the holder was cut off from the store, engines got no orders for 4.8 s, and
// then all at once.
func (d *Daemon) lapsed() *news.LeaseLapse {
	n, lapsed := d.Lease.Lapsed()
	since, quiet := d.Rollout.IdleSince(d.started)
	if !lapsed || !quiet {
		return nil
	}
	return &news.LeaseLapse{Instance: n.Instance, Fence: n.Fence, Renewal: n.Renewal, SinceLastOrderMs: clock.Since(since).Milliseconds()}
}

// heardLapsed takes in that a peer has stopped giving orders.
func (d *Daemon) heardLapsed(l news.LeaseLapse) {
	n := lease.Notice{Instance: l.Instance, Fence: l.Fence, Renewal: l.Renewal, IdleFor: time.Duration(l.SinceLastOrderMs) * time.Millisecond}
	if !d.Lease.ReceiveNotice(n) {
		return
	}
	if d.vms.rank(leaseName) >= candidates {
		return // the few that look often take it over: 195 VMs that all looked made 195 calls
	}
	d.Log.Belief("lease-lapsed").Uint64("fence", l.Fence).Uint64("renewal", l.Renewal).Int64("quiet_ms", l.SinceLastOrderMs).Send()
	select {
	case d.leaseNews <- struct{}{}:
	default: // it is awake
	}
}

// takeoverSpread keeps VMs that saw the same renewal from taking the lease over at the
// same time, which costs each of them a write.
const takeoverSpread = 200 * time.Millisecond

// leaseName names the lease for orders, in the store and for rendezvous.
const leaseName = "orders"

// giveOrders compares what is with what is wanted while this VM holds the lease.
func (d *Daemon) giveOrders(ctx context.Context) {
	for pause := roundEvery; timing.Sleep(ctx, pause); {
		if _, held := d.Lease.Held(); !held {
			pause = otherRoundEvery
			continue
		}
		pause = roundEvery
		if !d.Rollout.Behind() {
			continue
		}
		began := clock.Now()
		if err := d.Orders.Reconcile(ctx); err != nil {
			d.Log.Belief("order-round-failed").Str("error", err.Error()).Send()
		}
		pause = max(roundEvery, roundRest*clock.Since(began)) // a round goes over all engines
	}
	d.Orders.Wait()
}

// orderTime is how long a replica that got an order is expected to take no work; while
// it lasts longer, the VMs are told again.
const orderTime = 1500 * time.Millisecond

// ordering notes that a replica carries out an order, or has done so, and tells
// the peers.
func (d *Daemon) ordering(id ids.Target, w ids.WeightsVersion, done bool) {
	o := news.Order{Target: id, Weights: w, Done: done, Incarnation: d.Fleet.Members.Incarnation(id)}
	d.ordered(o)
	d.news.SendOrder(o)
}

// ordered takes in that a replica carries out an order, or has done so.
func (d *Daemon) ordered(o news.Order) {
	if o.Incarnation != 0 && o.Incarnation < d.Fleet.Members.Incarnation(o.Target) {
		return // the engine has started again since
	}
	if o.Done {
		d.Replicas.SetWeights(o.Target, o.Weights, "news")
		d.Fleet.Members.Ready(o.Target)
	} else {
		d.Fleet.Members.Busy(o.Target, clock.Now().Add(orderTime))
	}
	d.Fleet.MarkDirty()
}

// named returns the weights that peers are told of.
func (d *Daemon) named() []news.RecentWeights {
	var out []news.RecentWeights
	for _, a := range d.Weights.Recent(clock.Now()) {
		out = append(out, news.RecentWeights{Model: a.Model, Version: a.Version, AgeMs: a.Age.Milliseconds()})
	}
	return out
}
