// Package edge is the daemon of an entry VM: a VM that serves opaque requests for a platform, that
// is, requests whose bodies it passes through unchanged. It follows the platform's store, forwards
// calls (package forward) and, while it holds the lease, brings engines to the weights that
// operators set (package rollout).
//
// # Sources of data
//
// In a small fleet each VM follows the store itself: configuration, replicas, weights, and the
// list of entry VMs. In a large fleet one VM follows it, one VM of each other failure domain reads
// from that VM, and the others read from the VM of their domain (package mirror), so that calls
// between domains grow with the number of domains only. A VM falls back to the store when no peer
// responds. No VM therefore depends on another, a partitioned failure domain continues with the
// data it has, and a starting VM needs only the store.
//
// # Readiness
//
// A VM is ready when it has a configuration and the list of replicas. If the setting KeyTTL limits
// the age of proofs and the configuration requires API keys, it must also be able to prove that its
// configuration is the newest. A VM refuses the calls that it can't serve for lack of one of these,
// and tells the caller that the call has not run.
package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
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
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/intake"
	"github.com/threadwall/threadwall/internal/kvfeed"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/links"
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
	"github.com/threadwall/threadwall/internal/streams"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/traffic"
	"github.com/threadwall/threadwall/internal/tunnel"
	"github.com/threadwall/threadwall/internal/upstream"
	"github.com/threadwall/threadwall/internal/versionlog"
)

// Adapter connects the daemon to a platform.
type Adapter struct {
	Store   objectapi.Store
	Dialect forward.Dialect
	Engines rollout.EngineClient
	Feeds   kvfeed.Reader
	// SetFeedDial and SetOrderDial replace the functions by which Feeds and Engines connect to an address. Nil: they can't
	// be replaced.
	SetFeedDial, SetOrderDial func(dial func(ctx context.Context, addr string) (net.Conn, error))
	// SetMemory gives Feeds and Engines the account for what they read. Nil: they have none.
	SetMemory func(*intake.Account)
	// Meter counts the bytes of Engines and Feeds, and of all other traffic with targets and
	// peers. Nil disables counting.
	Meter *traffic.Meter

	DecodeConfig  func(value []byte) (catalog.Declaration, error)
	DecodeReplica func(o objectapi.Object) (platform.Record, error)
	DecodeWeights func(value []byte) (follow.DesiredWeights, error)

	// DecodeOrder decodes an operator's order for a version of a service's software, and
	// EncodeOrderStatus encodes its result.
	DecodeOrder       func(o objectapi.Object) (canary.Order, error)
	EncodeOrderStatus func(target ids.SoftwareVersion, end canary.End) ([]byte, error)

	// Keys and key prefixes in the store.
	PrefixConfig, KeyConfig, PrefixReplicas, PrefixWeights, PrefixOrders string
}

// Options holds the dependencies of a daemon that come from its process.
type Options struct {
	Adapter Adapter
	LogTo   io.Writer
	// Hangup delivers one signal per reload of the settings; the daemon then reads them with
	// Reload. Nil: no reloads.
	Hangup <-chan os.Signal
	Reload func() (settings.Settings, error)
	// RuntimeMemory returns the memory that the runtime has mapped and not given back, in bytes. Nil: it is read from the runtime.
	RuntimeMemory func() int64
	// LimitHeap sets the runtime's memory limit, in bytes. Nil: it is left as it is.
	LimitHeap func(bytes int64)
}

// Daemon is the daemon of one VM. The caller calls Start once, and then either Stop or Kill once.
// Status and Metrics are safe for concurrent use.
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

	adapter    Adapter
	options    Options
	current    settings.Settings // as last reloaded; Settings holds those at the start
	store      *objectapi.CountingStore
	feeds      *kvfeed.Feeds
	budgets    *retry.ServiceBudgets
	crashes    *quarantine.Ledger
	badParts   *quarantine.Ledger // parts of prompts under which replicas crashed
	allowances *allowance.Limiter
	streams    *streams.Directory
	archive    *streams.Archive
	versions   *versionlog.Log // of the software at which streams may have begun
	keeperList keeperList
	demand     *demand.Tracker
	// canaries is nil if the settings disable canary releases.
	canaries *canary.Controller
	news     *news.Exchange
	vms      vmList
	reader   *mirror.Reader
	catalogs *follow.Catalogs
	mirrors  *mirror.Server
	// storeAnswered is the time from the start to the store's latest answer about the configuration, in
	// nanoseconds.
	storeAnswered atomic.Int64
	links         *links.Table
	tunnels       *tunnel.Server
	ready         readiness
	connections   *ingress.Budget     // of callers
	listeners     []*ingress.Listener // the first is for callers
	servers       []*http.Server      // of listeners
	peerListener  *ingress.PeerListener
	// peerServer serves reads of the store, and tunnels to targets, to other entry VMs.
	peerServer *grpc.Server
	cancel     context.CancelFunc
	duties     sync.WaitGroup
	failed     func()
	started    time.Time
	// leaseWakeUp wakes up keepLease when the holder has reported that it stopped sending orders.
	leaseWakeUp chan struct{}
}

// Module provides a Daemon to fx. The application must supply settings.Settings and Options.
var Module = fx.Module("threadwalld-edge",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, d *Daemon, sd fx.Shutdowner) {
		d.failed = func() { _ = sd.Shutdown(fx.ExitCode(1)) }
		lc.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
	}),
)

// Sizes and bounds.
const (
	// cacheViewCapacity is the number of entries in the cache view, at 16 bytes each.
	cacheViewCapacity = 64 << 10
	// fetchRate is the rate at which engines fetch KV cache from each other, in tokens/s. It
	// allows for failed transfers: fetching 3,800 tokens takes 1 to 50 ms, and sometimes the
	// engine that had them has just evicted them, so that they are computed again.
	fetchRate = 40_000
	// prefillRate is the assumed prefill rate of engines, in tokens/s. It is close to that of
	// the engines that threadwall is built for.
	prefillRate = 50_000
	// workspaceResponseShare is the fraction of the memory for responses that one workspace may
	// take.
	workspaceResponseShare = 0.5
	// callerWriteBuffer is the size of the kernel's send buffer of a caller's connection, in
	// bytes. Data that a caller does not read counts towards the VM's memory.
	callerWriteBuffer = 32 << 10
	// keyMargin is subtracted from the maximum age of a proof, for the network delay to the
	// replica.
	keyMargin = 300 * time.Millisecond
	// weightsMargin is subtracted from the time in which older weights may be used, for the
	// network delay to the replica.
	weightsMargin = time.Second
	// throttleShare is a fraction of the time in which older weights may be used, counted from its
	// start. During this fraction a rollout in a fully loaded fleet takes the fewest engines out of
	// service at a time.
	throttleShare = 0.3
	// returnGrace is how long after the return of the store a replica whose entry expired during its
	// outage, or is missing in the copy from which it came back, may take to register again, and
	// operators to write again what the copy lacks.
	returnGrace = 2 * time.Second
	// noProbeGrace keeps membership from treating targets as unresponsive: this daemon does not
	// probe targets.
	noProbeGrace = 10_000 * time.Hour
)

var errNoEdge = eris.New("the settings have no section edge")

// New builds a daemon. Nothing runs before Start. It returns an error if the settings have no
// section edge.
func New(s settings.Settings, o Options) (*Daemon, error) {
	if s.Edge == nil {
		return nil, errNoEdge
	}
	tuning := membership.DefaultTuning
	tuning.Grace = noProbeGrace
	tuning.SlowStart = 0 // a restarted replica is treated like a new one
	policy := routing.NewFetching()
	if s.Policy == "round-robin" {
		policy = routing.NewRoundRobin()
	}
	d := &Daemon{
		Settings: s, adapter: o.Adapter, options: o, current: s, Catalog: &catalog.Current{}, leaseWakeUp: make(chan struct{}, 1),
		Log: eventlog.New(o.LogTo, map[string]string{"vm": string(s.VM)}),
		Fleet: fleet.New(membership.New(s.VM, tuning), cacheview.New(cacheViewCapacity, nil),
			loadview.New(), policy, nil),
		connections: ingress.NewBudget(int64(float64(s.Edge.MemoryMB<<20) * leastShare)),
		store:       &objectapi.CountingStore{Store: o.Adapter.Store},
		budgets:     retry.NewServiceBudgets(s.VM, s.Edge.RetryRatio*budgetUse, s.Edge.RetryBurst*budgetUse, s.Edge.RetryWindow.D(), vmListTTL, nil),
	}
	if n, ok := o.Adapter.Store.(objectapi.EraNotifier); ok {
		n.NotifyEra(func(era objectapi.Era) { d.Log.State("store-era").Uint64("era", uint64(era)).Send() })
	}
	d.Fleet.SetDefaultPrefillRate(prefillRate)
	d.Fleet.Load.SetFailureDomain(s.FailureDomain)
	d.Fleet.SetFirstSeed(xxh3.HashString(string(s.VM)))
	d.build()
	return d, nil
}

// vmListTTL is the largest age of the list of VMs by which this VM spends of the fleet's retry burst. The age of a
// list reaches twice the wait of its watch.
const vmListTTL = 2*watchWait + 2*time.Second

// budgetUse is the fraction of the retry budget that is used, since attempts that this VM counts
// as failed dials may have reached their replica.
const budgetUse = 0.8

// build creates the components of the daemon and connects them.
func (d *Daemon) build() {
	s, edge := d.Settings, d.Settings.Edge
	client := upstream.NewClient(s.DialTimeout.D())
	client.Meter = d.adapter.Meter
	client.Memory = intake.NewAccount(int64(float64(edge.MemoryMB<<20) * intakeShare))
	if d.adapter.SetMemory != nil {
		d.adapter.SetMemory(client.Memory)
	}
	client.Buffers = sockets.NewBuffers(int64(float64(edge.MemoryMB<<20) * replicaKernelShare))
	d.buildLinks(client)
	if d.adapter.Meter != nil {
		d.adapter.Meter.CrossDomain = d.crossDomain
	}
	d.Replicas = &follow.Replicas{
		Fleet: d.Fleet, Decode: d.adapter.DecodeReplica, OnGone: d.forgetReplica(client), Configured: d.hasService, ReturnGrace: returnGrace, Heartbeat: edge.ReplicaHeartbeat.D(), Log: d.Log,
		Subset: follow.Subset{VM: s.VM, Domain: s.FailureDomain, Max: edge.Subset},
	}
	d.Fleet.KnownFraction = d.Replicas.KnownFraction
	d.Fleet.MaxSnapshotAge = refreshEvery
	d.Weights = &follow.Weights{Decode: d.adapter.DecodeWeights, Clock: &follow.Clock{}, Pauses: &clock.Pauses{}, OneReader: d.vms.oneReader, SettleTime: returnGrace, UnknownUse: edge.StartGrace.D() - weightsMargin, Log: d.Log}
	d.Weights.SetWithin(edge.WeightsWithin.D() - weightsMargin)
	planner := &forward.Planner{Cache: d.Fleet.Cache, FetchRate: fetchRate}
	d.Forward = &forward.Forwarder{
		VM: s.VM, Domain: s.FailureDomain, Catalog: d.Catalog, Fleet: d.Fleet, Upstream: client,
		Dialect: d.adapter.Dialect, Budgets: d.budgets, KV: planner, Weights: d.Weights, Log: d.Log,
		AddRendezvousTargets: d.Replicas.AddRendezvousTargets,
		Versions:             d.Replicas,
		ObserveWeights:       func(id ids.Target, w ids.WeightsVersion) { d.Replicas.SetWeights(id, w, "answer") },
		Tuning: forward.Tuning{
			MaxInFlight:       int64(s.MaxInFlight),
			MaxResponseMemory: edge.AnswerMB << 20, MaxResponseMemoryPerWorkspace: int64(float64(edge.AnswerMB<<20) * workspaceResponseShare),
			ReaderTimeout: edge.ReaderTimeout.D(),
		},
	}
	d.crashes, d.badParts = quarantine.NewLedger(d.Log, nil), quarantine.NewPartLedger(d.Log, nil)
	d.crashes.ExplainedElsewhere = d.badParts.Explains
	d.Forward.Guard = &quarantine.Guard{Rank: d.vms.rank, Detector: &quarantine.Detector{
		Ledger: d.crashes, Parts: d.badParts,
		Check: func(ctx context.Context, t ids.Target, addr string) quarantine.Liveness {
			return client.Check(ctx, upstream.Replica{ID: t, Addr: addr})
		},
	}}
	d.buildStreams()
	d.Forward.Streams = d.streams
	d.demand = demand.New(nil)
	d.Forward.Demand, d.Forward.FairShares = d.demand, edge.FairShares
	d.Fleet.UsePools(d.demand, d.logPools)
	d.Fleet.UsualPrefill = d.usualPrefill
	d.allowances = allowance.New(s.VM, nil)
	d.Forward.Allowances = d.allowances
	d.Forward.KeyTTL.Store(maxProofAge(edge.KeyTTL.D()))
	d.feeds = &kvfeed.Feeds{
		Reader: d.adapter.Feeds, Cache: d.Fleet.Cache, KV: planner, Sources: d.feedSources, ReportsToPeers: d.reportsFeed, Contact: d.onContact, LinkLost: d.feedLinkLost, Log: d.Log,
		Restarted: func(id ids.Target, inc ids.Incarnation) { d.Replicas.Restarted(id, inc, "feed") },
	}
	d.Lease = lease.New(d.store, leaseName, s.VM, leaseTuning(edge.OrderTurn.D()), nil)
	d.Rollout = &rollout.Rollout{
		VM: s.VM, Lease: d.Lease, Replicas: d.Replicas, Weights: d.Weights, Client: d.adapter.Engines, Targets: d.Fleet, Log: d.Log, OnOrder: d.onOwnOrder,
		ThrottleFor: time.Duration(float64(edge.WeightsWithin.D()) * throttleShare), OnGone: d.onReplicaEnded,
		LoadGrace: max(edge.WeightsAllWithin.D()-edge.WeightsWithin.D(), 1), // zero would mean no bound
	}
	d.Orders = &orders.Reconciler{
		Desired: d.Rollout, Sender: d.Rollout, Lease: d.Lease, Engines: d.Rollout,
		Events: timeline.NewLog(s.VM, hlc.New(nil), s.TimelineEvents), MaxUnavailable: d.Rollout.MaxUnavailable,
	}
	d.news = &news.Exchange{
		VM: s.VM, FailureDomain: s.FailureDomain, Listen: s.PeerListen, TreeFrom: s.Edge.TreeFleet, Load: d.Fleet.Load, OnOrder: d.onOrder, Meter: d.adapter.Meter,
		Unresponsive: d.feeds.Unresponsive, RecentWeights: d.recentWeights,
		OnRecentWeights: func(n news.RecentWeights) {
			d.Weights.ApplyPeerAge(follow.VersionAge{Model: n.Model, Version: n.Version, Age: time.Duration(n.AgeMs) * time.Millisecond}, clock.Now())
		},
		OnUnresponsive: func(peer ids.VM, unresponsive []ids.Target) {
			d.Fleet.Members.SetLostByPeer(peer, unresponsive, clock.Now())
		},
		OnStoreDown: func(addr string) { d.Forward.KV.StoreDown(addr, true, clock.Now()) },
		PrefillRate: prefillRate,
		LeaseLapse:  d.leaseLapse, OnLeaseLapse: d.onLeaseLapse, Crashes: d.crashes, Parts: d.badParts, Allowances: d.allowances, Streams: d.streams, Demand: d.demand, Budgets: d.budgets,
		Limits: d.Fleet.Members.Limits.Reports, OnLimit: d.onLimit, Credit: d.Fleet.Members.Limits,
		Resolve: d.resolve, CacheChanges: d.cacheChanges, OnCacheChange: d.Fleet.Cache.ApplyPeerChange,
	}
	d.budgets.Lenders = retry.Lenders{Pick: d.vms.retryLenders, Send: d.sendLoan}
	d.crashes.Settle, d.badParts.Settle = d.news.SettleTime, d.news.SettleTime
	d.vms.d = d
	d.buildCanaries()
	d.Fleet.Members.Limits.Position = d.limitPosition
	d.buildReader()
	d.ready.set(false, "starting")
}

// forgetReplica returns a function that drops the state of a replica that has ended or restarted.
func (d *Daemon) forgetReplica(client *upstream.Client) func(ids.Target) {
	return func(id ids.Target) {
		client.Drop(id)
		d.links.Forget(id)
		d.Fleet.Load.Forget(id)
		d.Rollout.Forget(id)
	}
}

// hasService reports whether the configuration contains a service. Without a configuration it
// reports true; the VM then sends no calls in any case.
func (d *Daemon) hasService(name string) bool {
	c := d.Catalog.Get()
	return c == nil || c.Service(name) != nil
}

// onContact records whether a replica or a KV store answers the calls that read its cache feed. If
// a KV store does not, onContact notifies the peers, since few VMs read its feed.
func (d *Daemon) onContact(s kvfeed.Source, alive bool) {
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

// onReplicaEnded records that an incarnation of a replica has ended although its entry is still
// listed. It has no effect on a newer incarnation, which may have started at another address.
func (d *Daemon) onReplicaEnded(id ids.Target, inc ids.Incarnation) {
	if inc < d.Fleet.Members.Incarnation(id) {
		return
	}
	d.Fleet.Members.MarkLeaving(id, inc)
	d.Forward.Upstream.Drop(id)
	d.Fleet.MarkDirty()
	d.Log.State("replica-ended").Str("target", string(id)).Str("reason", "another incarnation answers at its address").Send()
}

// Start opens the listeners and starts all duties, which run until Stop or Kill. It returns an error
// if a listener can't be opened. It does not use its context.
func (d *Daemon) Start(context.Context) error {
	d.started = clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.news.Start(); err != nil {
		cancel()
		return err
	}
	if err := d.servePeers(); err != nil {
		cancel()
		return err
	}
	if err := d.serveHTTP(); err != nil {
		cancel()
		return err
	}
	for name, duty := range d.dutyTable() {
		d.run(name, func() error { duty(ctx); return nil })
	}
	if err := clock.CheckSupport(); err != nil {
		d.Log.State("no-suspension-clock").Str("error", err.Error()).
			Str("consequence", "after a suspension of this VM, earlier proofs stay trusted for the duration of the suspension").Send()
	}
	d.Log.State("start").Str("listen", d.Settings.Listen).Str("failure_domain", string(d.Settings.FailureDomain)).
		Str("policy", d.Fleet.PolicyName()).Send()
	return nil
}

// run starts a duty. If the duty fails, the daemon shuts down: a VM without one of its duties must
// not appear healthy.
func (d *Daemon) run(name string, f func() error) {
	d.duties.Go(func() {
		err := f()
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return
		}
		d.Log.State("duty-failed").Str("duty", name).Str("error", err.Error()).Send()
		if d.failed != nil {
			d.failed()
		}
	})
}
