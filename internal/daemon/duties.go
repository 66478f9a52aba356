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

// Rhythms of duties that no setting governs.
const (
	refreshEvery   = 50 * time.Millisecond
	urgentGap      = 10 * time.Millisecond
	watchIdle      = 500 * time.Millisecond // a VM that is no watcher looks again
	watchBackoff   = 500 * time.Millisecond
	watchMaxWait   = 10 * time.Second
	forgetEvery    = 10 * time.Second
	bootstrapRetry = 300 * time.Millisecond
)

// dutyTable names every duty. Each runs in a goroutine of its own until its
// context ends.
func (d *Daemon) dutyTable() map[string]func(context.Context) {
	return map[string]func(context.Context){
		"bootstrap":      d.bootstrap,
		"watch-config":   func(ctx context.Context) { d.watch(ctx, peerpb.KeySpace_CONFIG, config.Prefix) },
		"watch-platform": func(ctx context.Context) { d.watch(ctx, peerpb.KeySpace_PLATFORM, platform.Prefix) },
		"announce":       d.announce,
		"fetch-wanted":   d.Node.FetchWanted,
		"gossip":         d.gossip,
		"cross-domains":  d.cross,
		"probe":          d.probe,
		"feed":           d.feed,
		"refresh":        d.refresh,
		"allowances":     d.sweepAllowances,
		"settle":         d.Settler.Run,
		"forget":         d.forget,
		"orders":         d.orders,
		"sweep-claims":   d.sweepClaims,
	}
}

// bootstrap fetches state from peers, else from the store, until this VM may
// serve. It says why it is not ready meanwhile.
func (d *Daemon) bootstrap(ctx context.Context) {
	for _, addr := range d.Settings.Peers {
		call, cancel := context.WithTimeout(ctx, d.Settings.StoreTimeout.D())
		err := d.Node.FetchState(call, addr)
		cancel()
		if err == nil {
			d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Peer: addr, Text: "state fetched"}, nil)
			break
		}
		d.Log.Info().Err(err).Str("step", "bootstrap").Str("peer", addr).Msg("no state from this peer")
	}
	for {
		reason := d.lacking()
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
		// Ask peers again; they may have started meanwhile.
		if len(d.Settings.Peers) > 0 && d.lacking() != "" {
			call, cancel := context.WithTimeout(ctx, d.Settings.StoreTimeout.D())
			_ = d.Node.FetchState(call, d.Settings.Peers[rand.IntN(len(d.Settings.Peers))])
			cancel()
		}
		if !timing.Sleep(ctx, bootstrapRetry/2+rand.N(bootstrapRetry)) {
			return
		}
	}
	d.probeRound(ctx) // so that the first decisions know the targets' load
	d.Fleet.Refresh()
	d.ready.set(true, "")
	d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Text: "ready"}, nil)
	d.Log.Info().Str("step", "bootstrap").Uint64("config_revision", uint64(d.Node.Config.Revision())).Msg("ready")
}

// lacking says what this VM needs before it may serve; empty: nothing.
func (d *Daemon) lacking() string {
	switch {
	case d.Node.Config.Revision() == 0:
		return "no configuration: neither a peer nor the object API could be reached"
	case !d.Node.Config.ReachedFloor():
		return "the configuration at hand is older than one that peers have heard of"
	case d.Node.Platform.Revision() == 0:
		return "no list of targets: neither a peer nor the object API could be reached"
	default:
		return ""
	}
}

// list reads a whole key space from the store.
func (d *Daemon) list(ctx context.Context, space peerpb.KeySpace, prefix string) (objectapi.Revision, error) {
	objects, rev, err := d.Store.List(ctx, prefix)
	if err != nil {
		d.Log.Info().Err(err).Str("step", "list "+prefix).Str("peer", d.Settings.Store).Msg("the object API can't be read")
		return 0, err
	}
	d.Node.Adopt(space, confsync.Snapshot{Revision: max(rev, 1), Objects: objects}, "store")
	return rev, nil
}

// watch follows a key space at the store while this VM is one of its domain's
// watchers, through outages.
func (d *Daemon) watch(ctx context.Context, space peerpb.KeySpace, prefix string) {
	var after objectapi.Revision // zero: list first
	backoff := watchBackoff
	for ctx.Err() == nil {
		if !d.Node.IsWatcher(clock.Now()) {
			after = 0
			timing.Sleep(ctx, watchIdle)
			continue
		}
		next, err := d.watchOnce(ctx, space, prefix, after)
		after = next
		if err == nil {
			backoff = watchBackoff
			continue
		}
		timing.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, watchMaxWait)
	}
}

// watchOnce lists or waits for one change, and returns where to go on.
func (d *Daemon) watchOnce(ctx context.Context, space peerpb.KeySpace, prefix string, after objectapi.Revision) (objectapi.Revision, error) {
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
	store := d.Node.Config
	if space == peerpb.KeySpace_PLATFORM {
		store = d.Node.Platform
	}
	// Peers may have brought us further than our watch; what they did is left out.
	base := store.Revision()
	events = slices.DeleteFunc(events, func(o objectapi.Object) bool { return o.Version <= base })
	d.Node.Adopt(space, store.Delta(base, events, rev), "store")
	return rev, nil
}

// announce tells peers at once when a new configuration is in force.
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

// gossip tells peers of the domain this VM's news: at each heartbeat, and between
// heartbeats when there is any, at once if it is urgent. Jitter keeps VMs that started together out of step.
func (d *Daemon) gossip(ctx context.Context) {
	var last time.Time
	heartbeat := d.Settings.Heartbeat.D()
	for {
		beat := clock.Since(last) >= heartbeat
		if beat {
			d.Node.AdvanceHeartbeat()
			last = clock.Now()
		}
		if d.Node.CollectDispatches() || beat {
			d.Node.Broadcast(ctx, false)
		}
		pause := d.Node.UpdateInterval(d.Settings.News.D(), heartbeat)
		select {
		case <-ctx.Done():
			return
		case <-d.Node.Urgent():
			timing.Sleep(ctx, urgentGap) // others of the same cause come along
		case <-time.After(pause*9/10 + rand.N(pause/5+1)):
		}
	}
}

// cross exchanges summaries with other failure domains.
func (d *Daemon) cross(ctx context.Context) {
	for timing.Sleep(ctx, d.Settings.Heartbeat.D()) {
		d.Node.ExchangeCrossDomain(ctx)
	}
}

// refresh renews the snapshot that decisions read.
func (d *Daemon) refresh(ctx context.Context) {
	for timing.Sleep(ctx, refreshEvery) {
		d.Fleet.Refresh()
	}
}

// sweepAllowances notices VMs that no longer tell what they let in.
func (d *Daemon) sweepAllowances(ctx context.Context) {
	for timing.Sleep(ctx, allowance.SweepEvery) {
		d.allowed.Sweep()
	}
}

func (d *Daemon) forget(ctx context.Context) {
	for timing.Sleep(ctx, forgetEvery) {
		d.crashes.Sweep()
		if n := d.Fleet.Members.Forget(clock.Now()); n > 0 {
			d.Events.Record(timeline.Event{Kind: timeline.KindMember, Text: "members that are gone were forgotten"}, nil)
		}
	}
}

// ordersEvery is how often the lease is tried and intents are looked at.
const ordersEvery = 2 * time.Second

// orders tries for the domain's lease, on the VMs that watch for the domain, and
// while it is held brings engines to what operators want.
func (d *Daemon) orders(ctx context.Context) {
	held := false
	for timing.Sleep(ctx, ordersEvery*9/10+rand.N(ordersEvery/5)) {
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
			d.Log.Debug().Err(err).Str("step", "orders").Str("peer", d.Settings.Store).Msg("orders wait for the object API")
		}
	}
}

func leaseText(held bool) string {
	if held {
		return "orders lease acquired"
	}
	return "orders lease lost"
}

// Engines implements orders.Engines: what is known of this domain's engines.
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

// Rhythm of the claims' expiry, and how many are deleted in one go.
const (
	sweepEvery = 10 * time.Minute
	sweepLimit = 200
)

// sweepClaims deletes claims that no call can refer to any more. The holder of
// the domain's lease does it; that several domains do is harmless.
func (d *Daemon) sweepClaims(ctx context.Context) {
	for timing.Sleep(ctx, sweepEvery*9/10+rand.N(sweepEvery/5)) {
		if _, held := d.Lease.Held(); !held {
			continue
		}
		cfg := d.Config.Get()
		for ws := range cfg.Workspaces {
			n, err := claims.Sweep(ctx, d.Store, claims.Prefix+string(ws)+"/", clock.Now(), cfg.LongestRetention(), sweepLimit)
			if err != nil {
				d.Log.Info().Err(err).Str("step", "sweep claims").Str("peer", d.Settings.Store).Msg("expired claims are kept for now")
				break
			}
			if n > 0 {
				d.Events.Record(timeline.Event{Kind: timeline.KindClaim, Text: "expired claims deleted"}, n)
			}
		}
	}
}
