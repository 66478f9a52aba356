// Package daemon puts threadwalld together: it builds the parts, runs one
// goroutine per duty, and starts and stops them in order.
package daemon

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/admission"
	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/claims"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/dispatch"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/gateway"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/peers"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/services"
	"github.com/threadwall/threadwall/internal/settings"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/upstream"
)

// beliefCapacity is how many cache beliefs a VM holds: 2 MB of table, room for
// the 94,000 (prefix, replica) pairs of a failure domain at full size.
const beliefCapacity = 128 << 10

// Daemon is one threadwalld.
type Daemon struct {
	Settings settings.Settings
	Log      zerolog.Logger
	Store    objectapi.Store
	Config   *confsync.Current
	Events   *timeline.Log
	Fleet    *fleet.Fleet
	Node     *peers.Node
	Engine   *engine.Client
	Settler  *claims.Settler
	Limiter  *admission.Limiter
	allowed  *allowance.Limiter
	Gateway  *gateway.Gateway
	Lease    *lease.Lease
	Orders   *orders.Reconciler

	events   *eventlog.Log // what is decided about requests that crash targets
	crashes  *quarantine.Ledger
	ready    readiness
	probes   probeState
	callers  *http.Server
	admin    *http.Server
	peerSrv  *grpc.Server
	cancel   context.CancelFunc
	duties   sync.WaitGroup
	shutdown func()
}

// Options are what tests and the lab replace.
type Options struct {
	LogTo io.Writer // default: standard error
}

// Module wires a daemon for fx. The settings and options must be supplied.
var Module = fx.Module("threadwalld",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, d *Daemon, sd fx.Shutdowner) {
		d.shutdown = func() { _ = sd.Shutdown(fx.ExitCode(1)) }
		lc.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
	}),
)

// New builds a daemon. Nothing runs before Start.
func New(s settings.Settings, o Options) (*Daemon, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	logger := zerolog.New(o.LogTo).Level(level).With().Timestamp().Str("vm", string(s.VM)).Logger()
	store := objectapi.NewClient(s.Store, s.StoreTimeout.D(), objectapi.Budget{
		WritesPerSecond: s.StoreWritesPerSecond, ReadsPerSecond: s.StoreReadsPerSecond,
	})
	policy := routing.NewCost()
	if s.Policy == "round-robin" {
		policy = routing.NewRoundRobin()
	}
	d := &Daemon{
		Settings: s, Log: logger, Store: store,
		Config: confsync.NewCurrent(),
		Events: timeline.NewLog(s.VM, hlc.New(nil), s.TimelineEvents),
		Fleet: fleet.New(membership.New(s.VM, membership.DefaultTuning),
			cacheview.New(beliefCapacity, nil), loadview.New(), policy, nil),
		Engine:  engine.NewClient(s.DialTimeout.D()),
		Settler: claims.NewSettler(store),
		events:  eventlog.New(cmp.Or[io.Writer](o.LogTo, io.Discard), map[string]string{"vm": string(s.VM)}),
	}
	d.crashes = quarantine.NewLedger(d.events, nil)
	d.build()
	return d, nil
}

func (d *Daemon) build() {
	s := d.Settings
	d.allowed = allowance.New(s.VM, nil)
	tuning := admission.DefaultTuning
	tuning.MaxInFlight = s.MaxInFlight
	d.Limiter = admission.New(tuning, d.allowed, nil)
	d.Node = &peers.Node{
		VM: s.VM, Domain: s.FailureDomain, Incarnation: ids.Incarnation(time.Now().UnixMilli()),
		Fleet: d.Fleet, Allowances: d.allowed, Events: d.Events,
		Config: confsync.New(d.adopt), Crashes: d.crashes,
	}
	guard := &quarantine.Guard{Rank: d.Node.FleetRank, Detector: &quarantine.Detector{
		Ledger: d.crashes,
		Check: func(ctx context.Context, _ ids.Target, addr string) quarantine.Liveness {
			return upstream.CheckAddr(ctx, s.DialTimeout.D(), addr)
		},
	}}
	d.Node.Platform = confsync.New(d.Node.AdoptPlatform)
	d.Node.Init()
	runner := &services.Runner{
		Fleet: d.Fleet, Ledger: claims.NewLedger(d.Store, s.VM, d.Settler, nil), Events: d.Events,
		Budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst, retry.DefaultWindow, nil), Domain: s.FailureDomain, Guard: guard,
	}
	runner.Init(s.DialTimeout.D())
	d.Gateway = &gateway.Gateway{
		VM: s.VM, Config: d.Config, Limiter: d.Limiter, Services: runner, Events: d.Events,
		Readiness: &d.ready, MaxBody: s.MaxBodyBytes, Log: d.Log,
		Dispatcher: &dispatch.Dispatcher{
			Fleet: d.Fleet, Engine: d.Engine, Events: d.Events, Gate: d.Limiter,
			Budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst, retry.DefaultWindow, nil),
			Guard:  guard, VM: s.VM, Domain: s.FailureDomain, IdleTimeout: s.IdleTimeout.D(), Stats: &dispatch.Stats{},
		},
	}
	d.Lease = lease.New(d.Store, "orders/"+string(s.FailureDomain), s.VM, lease.DefaultTuning, nil)
	d.Orders = orders.NewReconciler(d.Store, d.Lease, d, d.Events, s.WeightLoadsPerMinute)
	d.probes = probeState{last: map[ids.Target]probed{}}
	d.ready.set(false, "starting")
}

// adopt puts a revision of the configuration in force.
func (d *Daemon) adopt(rev objectapi.Revision, objects []objectapi.Object) {
	d.Config.Adopt(rev, objects)
	limits := map[ids.Workspace]allowance.Limit{}
	for ws, w := range d.Config.Get().Workspaces {
		limits[ws] = admission.AllowanceOf(w.Limits)
	}
	d.allowed.SetLimits(limits)
}

// headerTimeout bounds reading a request's head.
const headerTimeout = 10 * time.Second

// Start listens and starts all duties.
func (d *Daemon) Start(context.Context) error {
	listeners, err := listen(d.Settings.Listen, d.Settings.PeerListen, d.Settings.AdminListen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.callers = &http.Server{Handler: d.Gateway.Handler(), ReadHeaderTimeout: headerTimeout}
	d.admin = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: headerTimeout}
	d.peerSrv = grpc.NewServer()
	peerpb.RegisterPeerServer(d.peerSrv, &peers.Server{Node: d.Node})

	d.run("callers", func() error { return d.callers.Serve(listeners[0]) })
	d.run("peers", func() error { return d.peerSrv.Serve(d.Node.CountTraffic(listeners[1])) })
	d.run("admin", func() error { return d.admin.Serve(listeners[2]) })
	for name, duty := range d.dutyTable() {
		d.run(name, func() error { duty(ctx); return nil })
	}
	d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Text: "started"}, nil)
	d.Log.Info().Str("step", "start").Str("listen", d.Settings.Listen).Str("failure_domain", string(d.Settings.FailureDomain)).Msg("threadwalld started")
	return nil
}

func listen(addrs ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addrs {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, eris.Wrapf(err, "listen on %s", a)
		}
		out = append(out, l)
	}
	return out, nil
}

// run starts a duty. One that fails while the daemon runs ends the daemon: a VM
// that lacks a duty must not look healthy.
func (d *Daemon) run(name string, f func() error) {
	d.duties.Go(func() {
		err := f()
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
			return
		}
		d.Log.Error().Err(err).Str("step", name).Msg("duty failed, the daemon ends")
		if d.shutdown != nil {
			d.shutdown()
		}
	})
}

// Stop shuts down gracefully: say "not ready" and tell peers, give the balancer
// time to see it, take no new requests, wait for those in flight, end duties.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ready.set(false, "shutting down")
	d.Node.Leaving.Store(true)
	d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Text: "leaving"}, nil)
	d.Log.Info().Str("step", "stop").Int("in_flight", d.Limiter.InFlight()).Msg("not ready, leaving")
	d.Node.Broadcast(ctx, true)
	timing.Sleep(ctx, d.Settings.ReadyNotice.D())
	drain, cancel := context.WithTimeout(ctx, d.Settings.DrainTimeout.D())
	defer cancel()
	err := d.callers.Shutdown(drain)
	if err != nil {
		d.Log.Warn().Err(err).Str("step", "drain").Int("in_flight", d.Limiter.InFlight()).Msg("requests were cut off at the end of the drain time")
		_ = d.callers.Close()
	}
	d.settleRest(ctx)
	d.cancel()
	d.Orders.Wait()
	d.peerSrv.Stop()
	_ = d.admin.Close()
	d.duties.Wait()
	d.Node.Close()
	d.Log.Info().Str("step", "stop").Msg("threadwalld stopped")
	d.events.Close()
	return nil
}

// settleWait bounds waiting for claims that are still to be settled.
const settleWait = 5 * time.Second

func (d *Daemon) settleRest(ctx context.Context) {
	end := clock.Now().Add(settleWait)
	for d.Settler.Pending() > 0 && clock.Now().Before(end) && ctx.Err() == nil {
		timing.Sleep(ctx, 20*time.Millisecond)
	}
}

// readiness is whether this VM takes work.
type readiness struct {
	mu     sync.Mutex
	ok     bool
	once   bool // it has been ready
	reason string
}

var _ gateway.Readiness = (*readiness)(nil)

func (r *readiness) set(ok bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ok, r.reason, r.once = ok, reason, r.once || ok
}

// Ready implements gateway.Readiness.
func (r *readiness) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ok, r.reason
}

// Serves implements gateway.Readiness.
func (r *readiness) Serves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.once
}
