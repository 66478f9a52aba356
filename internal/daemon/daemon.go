// Package daemon assembles threadwalld. It builds the components from the settings, runs
// each background task in a goroutine of its own, and starts and stops everything in order.
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
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/intake"
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

// cacheViewCapacity is the number of entries in a VM's cache view. The table takes 2 MB and
// has room for the 94,000 (prefix, replica) pairs of a failure domain at full size.
const cacheViewCapacity = 128 << 10

// Daemon is one threadwalld instance, created by New.
type Daemon struct {
	Settings   settings.Settings
	Log        zerolog.Logger
	Store      objectapi.Store
	Config     *confsync.Current
	Events     *timeline.Log
	Fleet      *fleet.Fleet
	Node       *peers.Node
	Engine     *engine.Client
	Settler    *claims.Settler
	Limiter    *admission.Limiter
	allowances *allowance.Limiter
	Gateway    *gateway.Gateway
	Lease      *lease.Lease
	Orders     *orders.Reconciler

	eventLog  *eventlog.Log // log of decisions about requests that crash targets
	crashes   *quarantine.Ledger
	ready     readiness
	probes    probeState
	callers   *ingress.Listener
	operators *ingress.Listener
	peers     *ingress.PeerListener
	callerSrv *http.Server
	adminSrv  *http.Server
	peerSrv   *grpc.Server
	cancel    context.CancelFunc
	taskGroup sync.WaitGroup
	shutdown  func()
}

// Options are dependencies that tests and the lab replace.
type Options struct {
	LogTo io.Writer // receives the log; nil discards it
}

// Module provides a Daemon to fx and ties it to the application's lifecycle. The application
// must supply settings.Settings and Options.
var Module = fx.Module("threadwalld",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, d *Daemon, sd fx.Shutdowner) {
		d.shutdown = func() { _ = sd.Shutdown(fx.ExitCode(1)) }
		lc.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
	}),
)

// New builds a daemon. It opens no listener and starts no background task; Start does. The only
// goroutine that it starts is the writer of the event log, which Stop ends.
func New(s settings.Settings, o Options) (*Daemon, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
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
			cacheview.New(cacheViewCapacity, nil), loadview.New(), policy, nil),
		Engine:   engine.NewClient(s.DialTimeout.D()),
		Settler:  claims.NewSettler(store),
		eventLog: eventlog.New(cmp.Or[io.Writer](o.LogTo, io.Discard), map[string]string{"vm": string(s.VM)}),
	}
	d.crashes = quarantine.NewLedger(d.eventLog, nil)
	d.build()
	return d, nil
}

func (d *Daemon) build() {
	s := d.Settings
	d.allowances = allowance.New(s.VM, nil)
	tuning := admission.DefaultTuning
	tuning.MaxInFlight = s.MaxInFlight
	d.Limiter = admission.New(tuning, d.allowances, nil)
	d.Node = &peers.Node{
		VM: s.VM, Domain: s.FailureDomain, Incarnation: ids.Incarnation(time.Now().UnixMilli()),
		Fleet: d.Fleet, Allowances: d.allowances, Events: d.Events,
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
	d.Engine.Memory = intake.NewAccount(int64(float64(s.MemoryMB<<20) * intakeShare))
	runner := &services.Runner{
		Memory: d.Engine.Memory,
		Fleet:  d.Fleet, Ledger: claims.NewLedger(d.Store, s.VM, d.Settler, nil), Events: d.Events,
		Budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst, retry.DefaultWindow, nil), Domain: s.FailureDomain, Guard: guard,
	}
	runner.Init(s.DialTimeout.D())
	d.Gateway = &gateway.Gateway{
		VM: s.VM, Config: d.Config, Limiter: d.Limiter, Services: runner, Events: d.Events,
		Readiness: &d.ready, MaxBody: s.MaxBodyBytes, Bodies: ingress.NewBudget(int64(float64(s.MemoryMB<<20) * bodyShare)), Log: d.Log,
		Dispatcher: &dispatch.Dispatcher{
			Fleet: d.Fleet, Engine: d.Engine, Events: d.Events, Gate: d.Limiter,
			Budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst, retry.DefaultWindow, nil),
			Guard:  guard, VM: s.VM, Domain: s.FailureDomain, IdleTimeout: s.IdleTimeout.D(), Stats: &dispatch.Stats{},
		},
	}
	d.Lease = lease.New(d.Store, "orders/"+string(s.FailureDomain), s.VM, lease.DefaultTuning, nil)
	d.Orders = orders.NewReconciler(d.Store, d.Lease, d, d.Events, s.WeightLoadsPerMinute)
	d.probes = probeState{last: map[ids.Target]probeResult{}}
	d.ready.set(false, "starting")
}

// adopt applies a revision of the configuration, including the workspaces' limits.
func (d *Daemon) adopt(rev objectapi.Revision, objects []objectapi.Object) {
	d.Config.Adopt(rev, objects)
	limits := map[ids.Workspace]allowance.Limit{}
	for ws, w := range d.Config.Get().Workspaces {
		limits[ws] = admission.AllowanceOf(w.Limits)
	}
	d.allowances.SetLimits(limits)
}

// Start opens the listeners and starts the servers and all background tasks. It returns an
// error if it can't listen on one of the addresses, and then starts nothing.
func (d *Daemon) Start(context.Context) error {
	listeners, err := listen(d.Settings.Listen, d.Settings.PeerListen, d.Settings.AdminListen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.buildServers(listeners)
	peerpb.RegisterPeerServer(d.peerSrv, &peers.Server{Node: d.Node})

	d.runTask("callers", func() error { return d.callerSrv.Serve(d.callers) })
	d.runTask("peers", func() error { return d.peerSrv.Serve(d.Node.CountTraffic(d.peers)) })
	d.runTask("admin", func() error { return d.adminSrv.Serve(d.operators) })
	for name, task := range d.backgroundTasks() {
		d.runTask(name, func() error { task(ctx); return nil })
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

// runTask runs f in a goroutine of its own. If f fails, runTask shuts the daemon down: a VM
// that lacks a background task must not look healthy.
func (d *Daemon) runTask(name string, f func() error) {
	d.taskGroup.Go(func() {
		err := f()
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
			return
		}
		d.Log.Error().Err(err).Str("step", name).Msg("background task failed; shutting down")
		if d.shutdown != nil {
			d.shutdown()
		}
	})
}

// Stop shuts down gracefully. It reports "not ready" and notifies peers, and gives the load
// balancer time to notice. From then on it takes only calls that end before the drain does. It
// closes the listener for callers, waits for requests in flight up to the drain timeout and for
// pending claims up to settleTimeout, and then ends the background tasks. It always returns nil.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ready.leave()
	d.Gateway.Drain(clock.Now().Add(d.Settings.ReadyNotice.D() + d.Settings.DrainTimeout.D() - writeMargin))
	d.Node.Leaving.Store(true)
	d.Events.Record(timeline.Event{Kind: timeline.KindLifecycle, Text: "leaving"}, nil)
	d.Log.Info().Str("step", "stop").Int("in_flight", d.Limiter.InFlight()).Msg("shutting down; reporting not ready")
	d.Node.Broadcast(ctx, true)
	timing.Sleep(ctx, d.Settings.ReadyNotice.D())
	drainCtx, cancel := context.WithTimeout(ctx, d.Settings.DrainTimeout.D())
	defer cancel()
	if err := d.callers.Drain(drainCtx); err != nil {
		d.Log.Warn().Err(err).Str("step", "drain").Int("in_flight", d.Limiter.InFlight()).Msg("drain timeout reached; closing connections of requests in flight")
	}
	_ = d.callerSrv.Close()
	d.awaitSettled(ctx)
	d.cancel()
	d.Orders.Wait()
	d.peerSrv.Stop()
	_ = d.adminSrv.Close()
	d.taskGroup.Wait()
	d.Node.Close()
	d.Log.Info().Str("step", "stop").Msg("threadwalld stopped")
	d.eventLog.Close()
	return nil
}

// writeMargin is the time for writing the responses of the calls that end last in a shutdown.
const writeMargin = 200 * time.Millisecond

// settleTimeout limits how long a shutdown waits for pending claims to be settled.
const settleTimeout = 5 * time.Second

func (d *Daemon) awaitSettled(ctx context.Context) {
	end := clock.Now().Add(settleTimeout)
	for d.Settler.Pending() > 0 && clock.Now().Before(end) && ctx.Err() == nil {
		timing.Sleep(ctx, 20*time.Millisecond)
	}
}

// readiness records whether this VM is ready for requests, and the reason if it is not.
type readiness struct {
	mu       sync.Mutex
	ok       bool
	wasReady bool // whether the VM has ever been ready
	leaving  bool // the VM shuts down, and is never ready again
	reason   string
}

var _ gateway.Readiness = (*readiness)(nil)

func (r *readiness) set(ok bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leaving {
		r.ok, r.reason, r.wasReady = ok, reason, r.wasReady || ok
	}
}

// leave sets the readiness of a VM that shuts down, for good.
func (r *readiness) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ok, r.reason, r.leaving = false, "shutting down", true
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
	return r.wasReady
}
