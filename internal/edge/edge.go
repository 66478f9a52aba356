// Package edge is the daemon of a VM that serves opaque requests for a platform:
// it follows the platform's store, forwards calls (package forward) and, while it
// holds the lease, brings engines to the weights that operators name (package
// rollout).
//
// # What a VM knows and from whom
//
// In a small fleet each VM follows the store by itself: configuration, replicas,
// weights, and the list of entry VMs. In a large one a VM of each failure domain does,
// and the others read from it (package mirror), so that the calls grow with the number
// of domains. A VM falls back to the store when no peer serves, so none needs another,
// a domain that is cut off goes on with what it has, and a VM that starts needs the
// store alone.
//
// # Readiness
//
// A VM is ready when it has a configuration, the replicas and the weights, and can
// prove that its configuration is the newest. Until then it refuses calls as not
// run.
package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvfeed"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/mirror"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/rollout"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/settings"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/traffic"
	"github.com/threadwall/threadwall/internal/upstream"
)

// Adapter is how a platform is spoken to.
type Adapter struct {
	Store   objectapi.Store
	Dialect forward.Dialect
	Engines rollout.EngineClient
	Feeds   kvfeed.Reader
	// Meter counts the bytes of Engines and Feeds, and of all else that this VM
	// exchanges with targets and peers. Nil: nothing does.
	Meter *traffic.Meter

	DecodeConfig  func(value []byte) (catalog.Declaration, error)
	DecodeReplica func(o objectapi.Object) (platform.Record, error)
	DecodeWeights func(value []byte) (follow.DesiredWeights, error)

	// DecodeOrder reads an operator's order for a version of a service's software, and
	// EncodeOrderStatus renders what becomes of it.
	DecodeOrder       func(o objectapi.Object) (canary.Order, error)
	EncodeOrderStatus func(target ids.SoftwareVersion, end canary.End) ([]byte, error)

	// Where things lie in the store.
	PrefixConfig, KeyConfig, PrefixReplicas, PrefixWeights, PrefixOrders string
}

// Options are what the process is run with.
type Options struct {
	Adapter Adapter
	LogTo   io.Writer
	// Hangup delivers the signals at which Reload reads the settings again. Nil: none.
	Hangup <-chan os.Signal
	Reload func() (settings.Settings, error)
}

// Daemon is one VM's daemon.
type Daemon struct {
	Settings settings.Settings
	Log      *eventlog.Log
	Catalog  *catalog.Current
	Fleet    *fleet.Fleet
	Replicas *follow.Replicas
	Weights  *follow.Weights
	Forward  *forward.Forwarder
	Lease    *lease.Lease
	Orders   *orders.Reconciler
	Rollout  *rollout.Rollout

	adapter Adapter
	options Options
	current settings.Settings // as last read; Settings are those of the start
	store   *objectapi.Counted
	feeds   *kvfeed.Feeds
	budgets *retry.Services
	crashes *quarantine.Ledger
	allowed *allowance.Limiter
	// canaries is nil where operators order no versions of software.
	canaries *canary.Controller
	news     *news.Exchange
	vms      vmList
	reader   *mirror.Reader
	mirrors  *mirror.Server
	ready    readiness
	servers  []*http.Server
	// peerServer serves entry VMs.
	peerServer *grpc.Server
	cancel     context.CancelFunc
	duties     sync.WaitGroup
	failed     func()
	started    time.Time
	// leaseNews wakes the duty that keeps the lease: a holder has said that it stopped.
	leaseNews chan struct{}
}

// Module wires a daemon for fx. Settings and options must be supplied.
var Module = fx.Module("threadwalld-edge",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, d *Daemon, sd fx.Shutdowner) {
		d.failed = func() { _ = sd.Shutdown(fx.ExitCode(1)) }
		lc.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
	}),
)

// Sizes and bounds.
const (
	// beliefCapacity is how many cache beliefs a VM holds, at 16 bytes each.
	beliefCapacity = 64 << 10
	// fetchRate is how fast engines move KV cache to each other, in tokens/s, with
	// what a move risks: moving 3,800 tokens takes 1 to 50 ms, and now and then their
	// holder has just dropped them, so that they are computed once more.
	fetchRate = 40_000
	// prefillRate is assumed of engines, in tokens/s: about what the engines that
	// threadwall is built for do.
	prefillRate = 50_000
	// bodyShare is the part of the memory that callers' bodies may take.
	bodyShare = 0.25
	// answersOfOne is the part of the memory for answers that one workspace may take.
	answersOfOne = 0.5
	// callerBuffer is the kernel's write buffer of a caller's connection, in bytes: what a caller
	// leaves unread counts as the VM's memory.
	callerBuffer = 32 << 10
	// keyMargin is taken off the age that a proof may have, for the way from here to
	// the replica.
	keyMargin = 300 * time.Millisecond
	// weightsMargin is taken off the time in which older weights may be used.
	weightsMargin = time.Second
	// hurryShare is the part of the time in which older weights may be used after
	// which a rollout no longer takes one engine at a time.
	hurryShare = 0.3
	// returnGrace is how long after the store's return entries that had lapsed
	// meanwhile may come back.
	returnGrace = 2 * time.Second
	// neverSilent keeps membership from counting silence: no target is probed here.
	neverSilent = 10_000 * time.Hour
)

var errNoEdge = eris.New("the settings have no section edge")

// New builds a daemon. Nothing runs before Start.
func New(s settings.Settings, o Options) (*Daemon, error) {
	if s.Edge == nil {
		return nil, errNoEdge
	}
	tuning := membership.DefaultTuning
	tuning.Grace = neverSilent
	tuning.SlowStart = 0 // a replica that starts again is as good as one that is new
	policy := routing.NewFetching()
	if s.Policy == "round-robin" {
		policy = routing.NewRoundRobin()
	}
	d := &Daemon{
		Settings: s, adapter: o.Adapter, options: o, current: s, Catalog: &catalog.Current{}, leaseNews: make(chan struct{}, 1),
		Log: eventlog.New(o.LogTo, map[string]string{"vm": string(s.VM)}),
		Fleet: fleet.New(membership.New(s.VM, tuning), cacheview.New(beliefCapacity, nil),
			loadview.New(), policy, nil),
		store:   &objectapi.Counted{Store: o.Adapter.Store},
		budgets: retry.NewServices(s.Edge.RetryRatio*budgetUse, s.Edge.RetryBurst*budgetUse, s.Edge.RetryWindow.D()),
	}
	d.Fleet.SetDefaultPrefillRate(prefillRate)
	d.Fleet.SetFirstSeed(xxh3.HashString(string(s.VM)))
	d.build()
	return d, nil
}

// budgetUse is the part of the retry budget that is used: arrivals that this VM
// takes for failed dials may have reached their replica.
const budgetUse = 0.8

func (d *Daemon) build() {
	s, edge := d.Settings, d.Settings.Edge
	client := upstream.NewClient(s.DialTimeout.D())
	client.Meter = d.adapter.Meter
	if d.adapter.Meter != nil {
		d.adapter.Meter.CrossDomain = d.far
	}
	d.Replicas = &follow.Replicas{
		Fleet: d.Fleet, Decode: d.adapter.DecodeReplica, OnGone: d.gone(client), Configured: d.namesService, ReturnGrace: returnGrace, Log: d.Log,
		Subset: follow.Subset{VM: s.VM, Domain: s.FailureDomain, Max: edge.Subset},
	}
	d.Fleet.KnownFraction = d.Replicas.KnownFraction
	d.Fleet.MaxSnapshotAge = refreshEvery
	d.Weights = &follow.Weights{Decode: d.adapter.DecodeWeights, Clock: &follow.Clock{}, Log: d.Log}
	d.Weights.SetWithin(edge.WeightsWithin.D() - weightsMargin)
	planner := &forward.Planner{Cache: d.Fleet.Cache, FetchRate: fetchRate}
	d.Forward = &forward.Forwarder{
		VM: s.VM, Domain: s.FailureDomain, Catalog: d.Catalog, Fleet: d.Fleet, Upstream: client,
		Dialect: d.adapter.Dialect, Budgets: d.budgets, KV: planner, Weights: d.Weights, Log: d.Log,
		AddRendezvousTargets: d.Replicas.AddRendezvousTargets,
		ObserveWeights:       func(id ids.Target, w ids.WeightsVersion) { d.Replicas.SetWeights(id, w, "answer") },
		Tuning: forward.Tuning{
			MaxBodyMemory:     int64(float64(edge.MemoryMB<<20) * bodyShare),
			MaxInFlight:       int64(s.MaxInFlight),
			MaxResponseMemory: edge.AnswerMB << 20, MaxResponseMemoryPerWorkspace: int64(float64(edge.AnswerMB<<20) * answersOfOne),
			ReaderTimeout: edge.ReaderTimeout.D(),
		},
	}
	d.crashes = quarantine.NewLedger(d.Log, nil)
	d.Forward.Guard = &quarantine.Guard{Rank: d.vms.rank, Detector: &quarantine.Detector{
		Ledger: d.crashes,
		Check: func(ctx context.Context, t ids.Target, addr string) quarantine.Liveness {
			return client.Check(ctx, upstream.Replica{ID: t, Addr: addr})
		},
	}}
	d.allowed = allowance.New(s.VM, nil)
	d.Forward.Allowances = d.allowed
	d.Forward.KeyTTL.Store(keyAge(edge.KeyTTL.D()))
	d.feeds = &kvfeed.Feeds{
		Reader: d.adapter.Feeds, Cache: d.Fleet.Cache, KV: planner, Sources: d.feedSources, ReportsToPeers: d.tells, Contact: d.contact, Log: d.Log,
		Restarted: func(id ids.Target, inc ids.Incarnation) { d.Replicas.Restarted(id, inc, "feed") },
	}
	d.Lease = lease.New(d.store, leaseName, s.VM, leaseTuning(edge.OrderTurn.D()), nil)
	d.Rollout = &rollout.Rollout{
		VM: s.VM, Lease: d.Lease, Replicas: d.Replicas, Weights: d.Weights, Client: d.adapter.Engines, Targets: d.Fleet, Log: d.Log, OnOrder: d.ordering,
		ThrottleFor: time.Duration(float64(edge.WeightsWithin.D()) * hurryShare), OnGone: d.ended,
		LoadGrace: max(edge.WeightsAllWithin.D()-edge.WeightsWithin.D(), 1), // zero would mean no bound
	}
	d.Orders = &orders.Reconciler{
		Desired: d.Rollout, Sender: d.Rollout, Lease: d.Lease, Engines: d.Rollout,
		Events: timeline.NewLog(s.VM, hlc.New(nil), s.TimelineEvents), MaxUnavailable: d.Rollout.MaxUnavailable,
	}
	d.news = &news.Exchange{
		VM: s.VM, FailureDomain: s.FailureDomain, Listen: s.PeerListen, TreeFrom: s.Edge.TreeFleet, Load: d.Fleet.Load, OnOrder: d.ordered, Meter: d.adapter.Meter,
		Unresponsive: d.feeds.Unresponsive, RecentWeights: d.named,
		OnRecentWeights: func(n news.RecentWeights) {
			d.Weights.ApplyPeerAge(follow.VersionAge{Model: n.Model, Version: n.Version, Age: time.Duration(n.AgeMs) * time.Millisecond}, clock.Now())
		},
		OnUnresponsive: func(peer ids.VM, silent []ids.Target) {
			d.Fleet.Members.SetLostByPeer(peer, silent, clock.Now())
		},
		OnStoreDown: func(addr string) { d.Forward.KV.StoreDown(addr, true, clock.Now()) },
		LeaseLapse:  d.lapsed, OnLeaseLapse: d.heardLapsed, Crashes: d.crashes, Allowances: d.allowed,
		Limits: d.Fleet.Members.Limits.Told, OnLimit: d.heardLimit,
		Resolve: d.resolve, CacheChanges: d.cacheChanges, OnCacheChange: d.Fleet.Cache.ApplyPeerChange,
	}
	d.vms.d = d
	d.buildCanaries()
	d.Fleet.Members.Limits.Standing = d.standing
	d.buildReader()
	d.ready.set(false, "starting")
}

// gone forgets what is kept of a replica that has ended or started again.
func (d *Daemon) gone(client *upstream.Client) func(ids.Target) {
	return func(id ids.Target) {
		client.Drop(id)
		d.Fleet.Load.Forget(id)
		d.Rollout.Forget(id)
	}
}

// namesService tells whether the configuration names a service. A VM without one has
// nothing to send anywhere.
func (d *Daemon) namesService(name string) bool {
	c := d.Catalog.Get()
	return c == nil || c.Service(name) != nil
}

// contact notes whether a replica or a store answers the calls that read its cache feed.
// Of a store that doesn't the peers are told, since few VMs read its feed.
func (d *Daemon) contact(s kvfeed.Source, alive bool) {
	now := clock.Now()
	if !s.Store {
		d.Fleet.Members.SetReachable(s.ID, alive, now)
		return
	}
	d.Forward.KV.StoreDown(s.Addr, !alive, now)
	if !alive {
		d.news.SendStoreDown(s.Addr)
	}
}

// ended notes that an incarnation of a replica has ended, though its entry is still listed.
// One that has started again at another address meanwhile is not concerned.
func (d *Daemon) ended(id ids.Target, inc ids.Incarnation) {
	if inc < d.Fleet.Members.Incarnation(id) {
		return
	}
	d.Fleet.Members.MarkLeaving(id, inc)
	d.Forward.Upstream.Drop(id)
	d.Fleet.MarkDirty()
	d.Log.Belief("replica-ended").Str("target", string(id)).Str("reason", "another incarnation answers at its address").Send()
}

// Start listens and starts all duties.
func (d *Daemon) Start(context.Context) error {
	d.started = clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, l := range []struct {
		addr   string
		server *http.Server
	}{
		{d.Settings.Listen, d.callerServer()},
		{d.Settings.Edge.ReadyListen, &http.Server{Handler: d.readyHandler(), ReadHeaderTimeout: headerTimeout}},
		{d.Settings.AdminListen, &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: headerTimeout}},
	} {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			cancel()
			return eris.Wrapf(err, "listen on %s", l.addr)
		}
		if l.addr == d.Settings.Listen {
			listener = sockets.Bounded(listener, callerBuffer)
		}
		d.servers = append(d.servers, l.server)
		d.run(l.addr, func() error { return l.server.Serve(listener) })
	}
	if err := d.news.Start(); err != nil {
		cancel()
		return err
	}
	if err := d.serveMirrors(); err != nil {
		cancel()
		return err
	}
	for name, duty := range d.dutyTable() {
		d.run(name, func() error { duty(ctx); return nil })
	}
	if err := clock.CheckSupport(); err != nil {
		d.Log.Belief("no-suspension-clock").Str("error", err.Error()).
			Str("consequence", "after a suspension of this VM, what was proven before it is trusted for as long as it lasted").Send()
	}
	d.Log.Belief("start").Str("listen", d.Settings.Listen).Str("failure_domain", string(d.Settings.FailureDomain)).
		Str("policy", d.Fleet.PolicyName()).Send()
	return nil
}

// run starts a duty. One that fails ends the daemon: a VM that lacks a duty must
// not look healthy.
func (d *Daemon) run(name string, f func() error) {
	d.duties.Go(func() {
		err := f()
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return
		}
		d.Log.Belief("duty-failed").Str("duty", name).Str("error", err.Error()).Send()
		if d.failed != nil {
			d.failed()
		}
	})
}

// Times of a shutdown.
const (
	// readyNotice is how long the balancer needs to notice that a VM takes no new
	// connections: two misses, asked once a second.
	readyNotice = 2300 * time.Millisecond
	// killMargin is left between the end of the drain and the kill.
	killMargin = 500 * time.Millisecond
	// releaseTimeout bounds giving the lease up.
	releaseTimeout = 300 * time.Millisecond
)

// Stop shuts down gracefully: not ready, answers close their connections; when the
// balancer has noticed, no new connections; the calls at hand are finished.
func (d *Daemon) Stop(ctx context.Context) error {
	began := clock.Now()
	d.Forward.Draining.Store(true)
	d.ready.set(false, "shutting down")
	d.Log.Belief("stop").Int64("in_flight", d.Forward.InFlight()).Send()
	d.Rollout.Quiesce()
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := d.Lease.Release(release); err != nil {
		d.Log.Belief("lease-not-released").Str("error", err.Error()).Send()
	}
	cancel()
	timer := time.NewTimer(min(readyNotice, d.Settings.Edge.Grace.D()/2))
	<-timer.C
	drain, cancel := context.WithTimeout(ctx, d.Settings.Edge.Grace.D()-killMargin-clock.Since(began))
	defer cancel()
	err := d.servers[0].Shutdown(drain)
	if err != nil {
		d.Log.Belief("drain-ended").Int64("in_flight", d.Forward.InFlight()).Str("error", err.Error()).Send()
	}
	d.cancel()
	d.peerServer.Stop()
	for _, s := range d.servers {
		_ = s.Close() // the process ends
	}
	d.Log.Belief("stopped").Int64("after_ms", clock.Since(began).Milliseconds()).Send()
	d.Log.Close()
	return nil
}

// Kill ends the daemon at once, as a kill of its process would.
func (d *Daemon) Kill() {
	d.cancel()
	d.peerServer.Stop()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.duties.Wait()
	d.Log.Close()
}
