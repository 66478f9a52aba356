package daemon

import (
	"expvar"
	"net/http"
	"net/http/pprof"
	"runtime"
	"sync"

	"github.com/gin-gonic/gin"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/membership"
)

// Status is one VM's state, as the admin interface returns it at /status.
type Status struct {
	VM             ids.VM                    `json:"vm"`
	FailureDomain  ids.FailureDomain         `json:"failure_domain"`
	Incarnation    ids.Incarnation           `json:"incarnation"`
	Ready          bool                      `json:"ready"`
	Reason         string                    `json:"reason,omitempty"`
	ConfigRevision uint64                    `json:"config_revision"`
	ConfigFloor    uint64                    `json:"config_floor"`
	Rejected       map[string]string         `json:"rejected,omitempty"`
	Watcher        bool                      `json:"watcher"`
	InFlight       int                       `json:"in_flight"`
	PendingClaims  int                       `json:"pending_claims"`
	Peers          []membership.PeerStatus   `json:"peers"`
	Targets        []membership.TargetStatus `json:"targets"`
	CacheStats     cacheview.Stats           `json:"beliefs"`
}

// Status returns a snapshot of this VM's state. Safe for concurrent use.
func (d *Daemon) Status() Status {
	now := clock.Now()
	ready, reason := d.ready.Ready()
	return Status{
		VM: d.Settings.VM, FailureDomain: d.Settings.FailureDomain, Incarnation: d.Node.Incarnation,
		Ready: ready, Reason: reason,
		ConfigRevision: uint64(d.Node.Config.Revision()), ConfigFloor: uint64(d.Node.Config.Floor()),
		Rejected: d.Config.Get().Rejected, Watcher: d.Node.IsWatcher(now),
		InFlight: d.Limiter.InFlight(), PendingClaims: d.Settler.Pending(),
		Peers: d.Fleet.Members.Peers(now), Targets: d.Fleet.Members.Targets(now), CacheStats: d.Fleet.Cache.Stats(),
	}
}

// adminHandler returns the handler of the admin interface: status, timeline, metrics and profiles.
func (d *Daemon) adminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	publish(d)
	e.GET("/debug/vars", gin.WrapH(expvar.Handler()))
	e.GET("/debug/pprof/*name", gin.WrapF(profile))
	e.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, d.Status()) })
	e.GET("/timeline", func(c *gin.Context) {
		c.JSON(http.StatusOK, d.Events.Events(ids.Request(c.Query("request"))))
	})
	return e
}

// profile serves the runtime's pprof profiles.
func profile(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/debug/pprof/profile":
		pprof.Profile(w, r)
	default:
		pprof.Index(w, r)
	}
}

// Metrics are this VM's counters, published under "threadwall/VM" by expvar.
// docs/OPERATIONS.md explains each.
type Metrics struct {
	Requests       int64 `json:"requests"`
	Refused        int64 `json:"refused"`
	StreamsBroken  int64 `json:"streams_broken"`
	InFlight       int   `json:"in_flight"`
	Attempts       int64 `json:"attempts"`
	Retries        int64 `json:"retries"`
	Resumes        int64 `json:"resumes"`
	BudgetEmpty    int64 `json:"retry_budget_empty"`
	PromptTokens   int64 `json:"prompt_tokens"`
	CachedTokens   int64 `json:"cached_tokens"`
	OutputTokens   int64 `json:"output_tokens"`
	StreamEvents   int64 `json:"stream_events"`
	PeerBytesOut   int64 `json:"peer_bytes_out"`
	PeerBytesIn    int64 `json:"peer_bytes_in"`
	PeerMessages   int64 `json:"peer_messages"`
	PeerFailures   int64 `json:"peer_failures"`
	UpdatesDropped int64 `json:"news_dropped"`
	ClaimsPending  int   `json:"claims_pending"`
	ClaimsDropped  int64 `json:"claims_dropped"`
	ConfigRevision int64 `json:"config_revision"`
	// Connections are those of callers and operators, by listener; PeerConns are those of peers that are open, and PeerConnsClosed
	// those that made room for others.
	Connections     map[string]ingress.Stats `json:"connections"`
	PeerConns       int                      `json:"peer_connections"`
	PeerConnsClosed int64                    `json:"peer_connections_closed"`
	HeapBytes       int64                    `json:"heap_bytes"`
	Goroutines      int                      `json:"goroutines"`
}

// Metrics returns a snapshot of the counters. Safe for concurrent use.
func (d *Daemon) Metrics() Metrics {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	s := d.Gateway.Dispatcher.Stats
	return Metrics{
		Requests: d.Gateway.Requests.Load(), Refused: d.Gateway.Refused.Load(), StreamsBroken: d.Gateway.Broken.Load(),
		InFlight: d.Limiter.InFlight(), Attempts: s.Attempts.Load(), Retries: s.Retries.Load(), Resumes: s.Resumes.Load(),
		BudgetEmpty: s.BudgetEmpty.Load(), PromptTokens: s.PromptTokens.Load(), CachedTokens: s.CachedTokens.Load(),
		OutputTokens: s.OutputTokens.Load(), StreamEvents: s.Events.Load(),
		PeerBytesOut: d.Node.BytesOut.Load(), PeerBytesIn: d.Node.BytesIn.Load(), PeerMessages: d.Node.Messages.Load(),
		PeerFailures: d.Node.Failures.Load(), UpdatesDropped: int64(d.Node.DroppedUpdates()),
		ClaimsPending: d.Settler.Pending(), ClaimsDropped: int64(d.Settler.Dropped()),
		ConfigRevision: int64(d.Node.Config.Revision()),
		Connections:    map[string]ingress.Stats{d.callers.Name(): d.callers.Stats(), d.operators.Name(): d.operators.Stats()},
		PeerConns:      d.peers.Open(), PeerConnsClosed: d.peers.Closed(), HeapBytes: int64(mem.HeapAlloc), Goroutines: runtime.NumGoroutine(),
	}
}

var publishMu sync.Mutex

// publish registers the daemon's metrics with expvar. If the process already published
// metrics for the same VM, as the lab does after a restart, they now come from d.
func publish(d *Daemon) {
	publishMu.Lock()
	defer publishMu.Unlock()
	name := "threadwall/" + string(d.Settings.VM)
	current, ok := expvar.Get(name).(*metricsVar)
	if !ok {
		current = &metricsVar{}
		expvar.Publish(name, current)
	}
	current.set(d)
}

// metricsVar is an expvar.Var whose daemon can be replaced, since expvar can't unregister a name.
type metricsVar struct {
	mu sync.Mutex
	d  *Daemon
}

func (v *metricsVar) set(d *Daemon) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.d = d
}

// String implements expvar.Var.
func (v *metricsVar) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return expvar.Func(func() any { return v.d.Metrics() }).String()
}
