package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/timing"
)

// Intervals of duties that have no setting.
const (
	refreshEvery = 100 * time.Millisecond
	trimEvery    = time.Second
	logEvery     = time.Second
	forgetEvery  = 10 * time.Second
	// retryShareEvery is how often a VM checks whether its part of the retry burst has changed.
	retryShareEvery = 200 * time.Millisecond
	// holderEvery is how often the lease holder renews the lease; otherEvery is the mean interval
	// at which other VMs read it.
	holderEvery = 700 * time.Millisecond
	otherEvery  = 1400 * time.Millisecond
	// candidates is the number of top-ranked VMs that read the lease every otherEvery, so that
	// one of them takes over soon. The others read it every lowRankEvery, in case all
	// candidates are gone.
	candidates   = 5
	lowRankEvery = 20 * time.Second
	// roundEvery is how often the lease holder compares the actual state of all engines with the
	// desired one, in one round; otherRoundEvery is how often other VMs check whether they hold
	// the lease. The pause after a round is at least roundIdleFactor times the round's duration,
	// so that rounds take at most 1/(roundIdleFactor+1) of the time.
	roundEvery      = 100 * time.Millisecond
	otherRoundEvery = 400 * time.Millisecond
	roundIdleFactor = 9
)

// leaseTuning returns the timing of the lease for orders, such that at least handover passes
// between the last order of one holder and the first order of the next. An order is sent only if
// it arrives before the holder stops (package rollout); Margin and WaitOut separate that from the
// start of the next holder.
func leaseTuning(handover time.Duration) lease.Tuning {
	const margin = 600 * time.Millisecond
	return lease.Tuning{
		Duration: 2200 * time.Millisecond, Margin: margin, WaitOut: handover - margin + handoverMargin,
		HandoverDelay: handover + handoverMargin, ReclaimOwn: true,
	}
}

// handoverMargin allows for late timers and for the drift between the clocks of VMs during one
// handover.
const handoverMargin = 200 * time.Millisecond

// dutyTable returns all duties, the daemon's background tasks, by the names in the log. Each runs in
// its own goroutine until its context ends.
func (d *Daemon) dutyTable() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"read-store":    d.reader.Run,
		"register":      d.register,
		"reload":        d.watchReload,
		"readiness":     d.watchReadiness,
		"trim":          every(trimEvery, func() { d.Forward.Upstream.Trim(clock.Now()) }),
		"sweep":         d.Replicas.Run,
		"clock":         func(ctx context.Context) { clock.Watch(ctx, d.onSuspension) },
		"pauses":        d.Weights.Pauses.Run,
		"allowances":    every(allowance.SweepEvery, d.allowances.Sweep),
		"forget":        every(forgetEvery, func() { d.crashes.Sweep(); d.badParts.Sweep() }),
		"memory":        every(memoryInterval, d.divideMemory()),
		"log":           every(logEvery, d.Log.ReportDropped),
		"connections":   every(logEvery, d.connectionLog()),
		"usage":         every(usageEvery, d.logUsage),
		"retry-share":   every(retryShareEvery, d.retryShareLog()),
		"paces":         every(paceLogEvery, d.paceLog()),
		"demand":        d.watchDemand,
		"feeds":         d.feeds.Run,
		"retell":        d.resendCaches,
		"watch":         every(checkReadersEvery, d.checkReaders),
		"hear-news":     d.news.Receive,
		"tell-news":     d.news.SendLoads,
		"tell-kv":       d.news.SendCacheChanges,
		"lease":         d.keepLease,
		"orders":        d.sendOrders,
		"links":         d.links.Run,
		"streams":       d.streams.Run,
		"archive":       d.archive.Run,
		"versions":      d.versions.Run,
		"canaries":      d.runCanaries,
		"tell-canaries": d.sendCanaryReports,
	}
}

// onSuspension ends the calls that may not go on after a suspension of this VM. Proofs, the lease
// and all ages use package clock, which counts suspensions, and have expired by themselves.
func (d *Daemon) onSuspension(length time.Duration) {
	ended := d.Forward.AfterSuspension()
	d.Log.State("suspended").Int64("ms", length.Milliseconds()).Int("calls_over", ended).
		Int64("proof_age_ms", d.Catalog.ProofAge(clock.Now()).Milliseconds()).Send()
}

// every returns a duty that calls f repeatedly, with a pause of period before each call.
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
		if err := d.tryLease(ctx); err != nil && held {
			d.Log.State("lease-not-renewed").Str("error", err.Error()).Send()
		}
		token, holds := d.Lease.Held()
		if holds != held {
			held = holds
			d.Log.State("lease").Bool("held", holds).Uint64("fence", token.Fence).Send()
		}
		d.leaseSleep(ctx, d.leasePause(holds))
	}
}

// errCutOff is why a VM does not renew the lease for orders.
var errCutOff = eris.New("this VM has lost its links to the targets")

// tryLease acquires, renews or watches the lease, unless this VM has lost its links: it could not send orders.
// A lease that it holds lapses, and a peer takes over. Orders never go through a peer: targets would take them
// for those of two holders.
func (d *Daemon) tryLease(ctx context.Context) error {
	if d.links.CutOff() {
		return errCutOff
	}
	return d.Lease.Try(ctx)
}

// leasePause returns the time until this VM reads the lease again. If a takeover becomes possible
// before the next regular read, the pause ends shortly after that moment: each second without a
// holder shortens the time in which engines must load new weights.
func (d *Daemon) leasePause(holds bool) time.Duration {
	switch {
	case holds:
		return holderEvery
	case d.vms.rank(leaseName) >= candidates:
		return lowRankEvery/2 + rand.N(lowRankEvery)
	}
	pause := otherEvery/2 + rand.N(otherEvery)
	if due, ok := d.Lease.Takeover(); ok && due > 0 {
		return min(pause, due+takeoverSpread/4+rand.N(takeoverSpread))
	}
	return pause
}

// leaseSleep waits for pause. If the holder reports meanwhile that it has stopped sending orders,
// leaseSleep waits until the lease may be taken over instead.
func (d *Daemon) leaseSleep(ctx context.Context, pause time.Duration) {
	wait, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	select {
	case <-wait.Done():
	case <-d.leaseWakeUp:
		due, _ := d.Lease.Takeover()
		timing.Sleep(ctx, due+rand.N(takeoverSpread))
	}
}

// leaseLapse returns the notice to peers that this VM could not renew the lease for orders, or nil.
// Without the notice, when only the holder was partitioned from the store, engines received no
// orders for 4.8 s and then all at once.
func (d *Daemon) leaseLapse() *news.LeaseLapse {
	n, lapsed := d.Lease.Lapsed()
	since, idle := d.Rollout.IdleSince(d.started)
	if !lapsed || !idle {
		return nil
	}
	return &news.LeaseLapse{Instance: n.Instance, Fence: n.Fence, Renewal: n.Renewal, Era: n.Era, SinceLastOrderMs: clock.Since(since).Milliseconds()}
}

// onLeaseLapse applies the notice that a peer has stopped sending orders.
func (d *Daemon) onLeaseLapse(l news.LeaseLapse) {
	n := lease.Notice{Instance: l.Instance, Fence: l.Fence, Renewal: l.Renewal, Era: l.Era, IdleFor: time.Duration(l.SinceLastOrderMs) * time.Millisecond}
	if !d.Lease.ReceiveNotice(n) {
		return
	}
	if d.vms.rank(leaseName) >= candidates {
		return // the candidates take over: when all 195 VMs read the lease, that made 195 calls
	}
	d.Log.State("lease-lapsed").Uint64("fence", l.Fence).Uint64("renewal", l.Renewal).Int64("quiet_ms", l.SinceLastOrderMs).Send()
	select {
	case d.leaseWakeUp <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// takeoverSpread is the range of the random delay before a takeover. Without the delay, VMs that
// read the same renewal try to take over at the same time, which costs each of them a write.
const takeoverSpread = 200 * time.Millisecond

// leaseName is the name of the lease for orders, in the store and for rendezvous hashing.
const leaseName = "orders"

// sendOrders brings engines to their desired state while this VM holds the lease.
func (d *Daemon) sendOrders(ctx context.Context) {
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
			d.Log.State("order-round-failed").Str("error", err.Error()).Send()
		}
		pause = max(roundEvery, roundIdleFactor*clock.Since(began)) // a round visits all engines
	}
	d.Orders.Wait()
}

// orderTime is how long a replica is assumed to accept no requests after an order. If the order
// takes longer, the notice to the VMs is repeated.
const orderTime = 1500 * time.Millisecond

// onOwnOrder records that a replica carries out an order of this VM, or has completed it, and
// notifies the peers.
func (d *Daemon) onOwnOrder(id ids.Target, w ids.WeightsVersion, done bool) {
	o := news.Order{Target: id, Weights: w, Done: done, Incarnation: d.Fleet.Members.Incarnation(id)}
	d.onOrder(o)
	d.news.SendOrder(o)
}

// onOrder records that a replica carries out an order, or has completed it.
func (d *Daemon) onOrder(o news.Order) {
	if o.Incarnation != 0 && o.Incarnation < d.Fleet.Members.Incarnation(o.Target) {
		return // the replica has restarted since
	}
	if o.Done {
		d.Replicas.SetWeights(o.Target, o.Weights, "news")
		d.Fleet.Members.Ready(o.Target)
	} else {
		d.Fleet.Members.Busy(o.Target, clock.Now().Add(orderTime))
	}
	d.Fleet.MarkDirty()
}

// recentWeights returns the versions of weights to report to peers.
func (d *Daemon) recentWeights() []news.RecentWeights {
	var out []news.RecentWeights
	for _, a := range d.Weights.Recent(clock.Now()) {
		out = append(out, news.RecentWeights{Model: a.Model, Version: a.Version, AgeMs: a.Age.Milliseconds()})
	}
	return out
}
