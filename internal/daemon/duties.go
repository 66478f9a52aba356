package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/claims"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/timing"
)

// Intervals of background tasks that have no setting.
const (
	refreshInterval        = 50 * time.Millisecond
	urgentDelay            = 10 * time.Millisecond
	watcherCheckInterval   = 500 * time.Millisecond // between checks whether this VM has become a watcher
	watchBackoff           = 500 * time.Millisecond
	watchMaxBackoff        = 10 * time.Second
	forgetInterval         = 10 * time.Second
	bootstrapRetryInterval = 300 * time.Millisecond
)

// backgroundTasks returns every background task by name. Each runs in a goroutine of its own
// until its context ends.
func (d *Daemon) backgroundTasks() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"bootstrap":      d.bootstrap,
		"watch-config":   func(ctx context.Context) { d.watch(ctx, peerpb.KeySpace_CONFIG, config.Prefix) },
		"watch-platform": func(ctx context.Context) { d.watch(ctx, peerpb.KeySpace_PLATFORM, platform.Prefix) },
		"announce":       d.announce,
		"fetch-wanted":   d.Node.FetchWanted,
		"gossip":         d.gossip,
		"cross-domains":  d.exchangeCrossDomain,
		"probe":          d.probeLoop,
		"feed":           d.readFeeds,
		"refresh":        d.refresh,
		"allowances":     d.sweepAllowances,
		"settle":         d.Settler.Run,
		"forget":         d.forgetExpired,
		"orders":         d.orders,
		"sweep-claims":   d.sweepClaims,
		"connections":    d.logConnections,
	}
}

// bootstrap fetches state from peers, or else from the store, until this VM may serve.
// Until then, readiness reports what is missing.
func (d *Daemon) bootstrap(ctx context.Context) {
	for _, addr := range d.Settings.Peers {
		call, cancel := context.WithTimeout(ctx, d.Settings.StoreTimeout.D())
		err := d.Node.FetchState(call, addr)
		cancel()
		if err == nil {
			d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Peer: addr, Text: "state fetched"}, nil)
			break
		}
		d.Log.Info().Err(err).Str("step", "bootstrap").Str("peer", addr).Msg("could not fetch state from peer")
	}
	for {
		reason := d.notReadyReason()
		if reason == "" {
			break
		}
		d.ready.set(false, reason)
		if d.Node.Config.Revision() == 0 {
			d.list(ctx, peerpb.KeySpace_CONFIG, config.Prefix)
		}
		if d.Node.Platform.Revision() == 0 {
			d.list(ctx, peerpb.KeySpace_PLATFORM, platform.Prefix)
		}
		// Try a peer again, since it may have started in the meantime.
		if len(d.Settings.Peers) > 0 && d.notReadyReason() != "" {
			call, cancel := context.WithTimeout(ctx, d.Settings.StoreTimeout.D())
			_ = d.Node.FetchState(call, d.Settings.Peers[rand.IntN(len(d.Settings.Peers))])
			cancel()
		}
		if !timing.Sleep(ctx, bootstrapRetryInterval/2+rand.N(bootstrapRetryInterval)) {
			return
		}
	}
	d.probeRound(ctx) // gives the first routing decisions the targets' load
	d.Fleet.Refresh()
	d.ready.set(true, "")
	d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Text: "ready"}, nil)
	d.Log.Info().Str("step", "bootstrap").Uint64("config_revision", uint64(d.Node.Config.Revision())).Msg("ready")
}

// notReadyReason returns what this VM still needs before it may serve, or "" if nothing.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.Node.Config.Revision() == 0:
		return "no configuration: neither a peer nor the object API could be reached"
	case !d.Node.Config.ReachedFloor():
		return "the local configuration is older than the newest revision that peers reported"
	case d.Node.Platform.Revision() == 0:
		return "no list of targets: neither a peer nor the object API could be reached"
	default:
		return ""
	}
}

// list reads a complete key space from the store and adopts it.
func (d *Daemon) list(ctx context.Context, space peerpb.KeySpace, prefix string) (objectapi.Revision, error) {
	objects, rev, err := d.Store.List(ctx, prefix)
	if err != nil {
		d.Log.Info().Err(err).Str("step", "list "+prefix).Str("peer", d.Settings.Store).Msg("listing objects from the object API failed")
		return 0, err
	}
	d.Node.Adopt(space, confsync.Snapshot{Revision: max(rev, 1), Objects: objects}, "store")
	return rev, nil
}

// watch follows a key space at the store while this VM is one of its domain's watchers. It
// retries with backoff while the store is unavailable.
func (d *Daemon) watch(ctx context.Context, space peerpb.KeySpace, prefix string) {
	var after objectapi.Revision // zero means list first
	backoff := watchBackoff
	for ctx.Err() == nil {
		if !d.Node.IsWatcher(clock.Now()) {
			after = 0
			timing.Sleep(ctx, watcherCheckInterval)
			continue
		}
		next, err := d.watchStep(ctx, space, prefix, after)
		after = next
		if err == nil {
			backoff = watchBackoff
			continue
		}
		timing.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, watchMaxBackoff)
	}
}

// watchStep lists the key space or waits for one batch of changes. It returns the revision
// after which to continue; zero means list again.
func (d *Daemon) watchStep(ctx context.Context, space peerpb.KeySpace, prefix string, after objectapi.Revision) (objectapi.Revision, error) {
	if after == 0 {
		return d.list(ctx, space, prefix)
	}
	events, rev, err := d.Store.Watch(ctx, prefix, after)
	if errors.Is(err, objectapi.ErrCompacted) {
		return 0, nil
	}
	if err != nil {
		return after, err
	}
	if len(events) == 0 {
		return max(rev, after), nil
	}
	local := d.Node.Config
	if space == peerpb.KeySpace_PLATFORM {
		local = d.Node.Platform
	}
	// Skips changes that this VM has already adopted from peers.
	base := local.Revision()
	events = slices.DeleteFunc(events, func(o objectapi.Object) bool { return o.Version <= base })
	d.Node.Adopt(space, local.Delta(base, events, rev), "store")
	return rev, nil
}

// announce notifies peers as soon as a new revision of the configuration or of the
// platform's list is in force.
func (d *Daemon) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Node.Config.Changed():
		case <-d.Node.Platform.Changed():
		}
		d.Node.Broadcast(ctx, true)
		d.Node.ExchangeCrossDomain(ctx)
	}
}

// gossip sends this VM's updates to the peers of its domain: at each heartbeat, and between
// heartbeats at the update interval if any are pending. An urgent update ends the wait for the
// interval. Jitter desynchronizes VMs that started together.
func (d *Daemon) gossip(ctx context.Context) {
	var last time.Time
	heartbeat := d.Settings.Heartbeat.D()
	for {
		heartbeatDue := clock.Since(last) >= heartbeat
		if heartbeatDue {
			d.Node.AdvanceHeartbeat()
			last = clock.Now()
		}
		if d.Node.CollectDispatches() || heartbeatDue {
			d.Node.Broadcast(ctx, false)
		}
		pause := d.Node.UpdateInterval(d.Settings.News.D(), heartbeat)
		select {
		case <-ctx.Done():
			return
		case <-d.Node.Urgent():
			timing.Sleep(ctx, urgentDelay) // coalesces updates that have the same cause
		case <-time.After(pause*9/10 + rand.N(pause/5+1)):
		}
	}
}

// exchangeCrossDomain exchanges summaries with other failure domains once per heartbeat interval.
func (d *Daemon) exchangeCrossDomain(ctx context.Context) {
	for timing.Sleep(ctx, d.Settings.Heartbeat.D()) {
		d.Node.ExchangeCrossDomain(ctx)
	}
}

// refresh rebuilds the snapshot that routing decisions read.
func (d *Daemon) refresh(ctx context.Context) {
	for timing.Sleep(ctx, refreshInterval) {
		d.Fleet.Refresh()
	}
}

// sweepAllowances detects VMs that no longer report how much they admit.
func (d *Daemon) sweepAllowances(ctx context.Context) {
	for timing.Sleep(ctx, allowance.SweepEvery) {
		d.allowances.Sweep()
	}
}

// forgetExpired drops quarantine cases without recent activity, and dead members that the
// platform no longer lists.
func (d *Daemon) forgetExpired(ctx context.Context) {
	for timing.Sleep(ctx, forgetInterval) {
		d.crashes.Sweep()
		if n := d.Fleet.Members.Forget(clock.Now()); n > 0 {
			d.Events.Record(timeline.Event{Kind: timeline.KindMember, Text: "removed dead members that are no longer listed"}, nil)
		}
	}
}

// ordersInterval is the time between attempts to get the lease and reconcile intents.
const ordersInterval = 2 * time.Second

// orders tries to acquire the domain's lease if this VM is a watcher, and reconciles engines
// with the state that operators desire while it holds the lease.
func (d *Daemon) orders(ctx context.Context) {
	held := false
	for timing.Sleep(ctx, ordersInterval*9/10+rand.N(ordersInterval/5)) {
		if !d.Node.IsWatcher(clock.Now()) {
			continue
		}
		err := d.Lease.Try(ctx)
		token, now := d.Lease.Held()
		if now != held {
			held = now
			d.Events.Record(timeline.Event{Kind: timeline.KindLease, Text: leaseText(now)}, token)
		}
		if err == nil {
			err = d.Orders.Reconcile(ctx)
		}
		if err != nil && ctx.Err() == nil {
			d.Log.Debug().Err(err).Str("step", "orders").Str("peer", d.Settings.Store).Msg("orders delayed: object API failed")
		}
	}
}

func leaseText(held bool) string {
	if held {
		return "orders lease acquired"
	}
	return "orders lease lost"
}

// Engines implements orders.Engines. It returns the known state of this domain's engines.
func (d *Daemon) Engines() []orders.EngineStatus {
	var out []orders.EngineStatus
	for _, t := range d.Fleet.Members.Targets(clock.Now()) {
		if t.Record.Role == platform.RoleEngine && t.Record.FailureDomain == d.Settings.FailureDomain {
			out = append(out, orders.EngineStatus{
				Target: t.ID, Model: t.Record.Model, Addr: t.Record.Addr, State: t.State, Weights: t.Weights,
				Drained: t.Report.Leaving,
			})
		}
	}
	return out
}

// Deletion of expired claims.
const (
	claimSweepInterval = 10 * time.Minute
	claimSweepLimit    = 200 // claims deleted per workspace and sweep
)

// sweepClaims deletes claims that no call can refer to any more. Only the holder of the
// domain's lease does so. Sweeps by several domains at the same time are harmless.
func (d *Daemon) sweepClaims(ctx context.Context) {
	for timing.Sleep(ctx, claimSweepInterval*9/10+rand.N(claimSweepInterval/5)) {
		if _, held := d.Lease.Held(); !held {
			continue
		}
		cfg := d.Config.Get()
		for ws := range cfg.Workspaces {
			n, err := claims.Sweep(ctx, d.Store, claims.Prefix+string(ws)+"/", clock.Now(), cfg.LongestRetention(), claimSweepLimit)
			if err != nil {
				d.Log.Info().Err(err).Str("step", "sweep claims").Str("peer", d.Settings.Store).Msg("deleting expired claims failed; retrying at the next sweep")
				break
			}
			if n > 0 {
				d.Events.Record(timeline.Event{Kind: timeline.KindClaim, Text: "expired claims deleted"}, n)
			}
		}
	}
}
