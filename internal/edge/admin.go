package edge

import (
	"expvar"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Status is this VM's state, as the admin interface returns it at /status.
type Status struct {
	VM            ids.VM                    `json:"vm"`
	FailureDomain ids.FailureDomain         `json:"failure_domain"`
	Ready         bool                      `json:"ready"`
	Reason        string                    `json:"reason,omitempty"`
	Catalog       uint64                    `json:"catalog"`
	StoreSource   string                    `json:"store_source"`        // "store", or the VM that this VM reads the store through
	StoreEra      objectapi.Era             `json:"store_era,omitempty"` // how often the store has come back from an older copy
	ProofAge      string                    `json:"proof_age"`           // age of the proof that the configuration is the newest, as a Go duration
	Fence         uint64                    `json:"fence,omitempty"`     // fencing token, while this VM holds the lease
	InFlight      int64                     `json:"in_flight"`
	Targets       []membership.TargetStatus `json:"targets"`
	Limits        []ratelimit.Status        `json:"limits,omitempty"` // rate limits that targets announced
	Canaries      []canary.Record           `json:"canaries,omitempty"`
	LostLinks     []ids.Target              `json:"lost_links,omitempty"` // targets that this VM reaches through peers only
	Slow          []loadview.SlowTarget     `json:"slow,omitempty"`       // targets that count as slow here
	Demand        []demand.Status           `json:"demand,omitempty"`     // load of each service on all VMs
	RetryShare    retryShare                `json:"retry_share"`          // this VM's part of the fleet's retry burst
}

// retryShare is this VM's part of the retry burst.
type retryShare struct {
	VMs     int     `json:"vms"`                  // that divide the burst; zero: this VM has no part
	Retries float64 `json:"retries"`              // in each window, for each service
	Waits   string  `json:"waits,omitempty"`      // why this VM has no part
	AtMost  string  `json:"waits_most,omitempty"` // how long it still waits at most, as a Go duration; empty: until the store answers
}

// retryShareStatus returns the retry share for the status.
func (d *Daemon) retryShareStatus(now time.Time) retryShare {
	s := d.budgets.Share()
	out := retryShare{VMs: s.VMs, Retries: s.Retries, Waits: s.Wait.Reason}
	if !s.Wait.Until.IsZero() {
		out.AtMost = s.Wait.Until.Sub(now).String()
	}
	return out
}

// Status returns this VM's current state.
func (d *Daemon) Status() Status {
	now := clock.Now()
	ready, reason := d.ready.Ready()
	s := Status{
		VM: d.Settings.VM, FailureDomain: d.Settings.FailureDomain, Ready: ready, Reason: reason, StoreSource: d.reader.Source(), StoreEra: d.vms.era(),
		ProofAge: d.Catalog.ProofAge(now).String(), InFlight: d.Forward.InFlight(), Targets: d.Fleet.Members.Targets(now),
		Limits: d.Fleet.Members.Limits.Status(), Canaries: d.Forward.Software.Records(), LostLinks: d.links.LostLinks(), Slow: d.Fleet.Load.SlowTargets(now),
		Demand: d.demandStatus(), RetryShare: d.retryShareStatus(now),
	}
	if c := d.Catalog.Get(); c != nil {
		s.Catalog = c.Version
	}
	if token, ok := d.Lease.Held(); ok {
		s.Fence = token.Fence
	}
	return s
}

// PeerConnMetrics counts connections of peers: those that are open, and those that made room for others since the start.
type PeerConnMetrics struct {
	Open   int   `json:"open"`
	Closed int64 `json:"closed"`
}

// peerConnMetrics returns the counts of peers' connections.
func (d *Daemon) peerConnMetrics() PeerConnMetrics {
	if d.peerListener == nil { // not started
		return PeerConnMetrics{}
	}
	return PeerConnMetrics{Open: d.peerListener.Open(), Closed: d.peerListener.Closed()}
}

// connectionMetrics returns what each listener holds and has closed, by its name.
func (d *Daemon) connectionMetrics() map[string]ingress.Stats {
	out := map[string]ingress.Stats{}
	for _, l := range d.listeners {
		out[l.Name()] = l.Stats()
	}
	return out
}

// Metrics holds this VM's counters, which expvar publishes as "threadwall".
// docs/OPERATIONS.md explains each.
type Metrics struct {
	Requests      int64                     `json:"requests"`
	Refused       int64                     `json:"refused"`
	Shed          int64                     `json:"shed"` // of the refused ones: because engines were overloaded
	Failed        int64                     `json:"failed"`
	Broken        int64                     `json:"streams_broken"`
	InFlight      int64                     `json:"in_flight"`
	Attempts      int64                     `json:"attempts"`
	Retries       int64                     `json:"retries"`
	BudgetEmpty   int64                     `json:"retry_budget_empty"`
	Unread        int64                     `json:"unread"`       // calls aborted because their callers did not read
	ResponseBytes int64                     `json:"answer_bytes"` // memory of responses that are buffered completely
	UnusedBytes   int64                     `json:"unused_bytes"` // memory of what replicas have sent and nobody has used yet
	Evicted       int64                     `json:"evicted"`      // responses ended because others needed that memory
	BodyBytes     int64                     `json:"body_bytes"`   // memory that callers' bodies use
	BodyLimit     int64                     `json:"body_limit"`   // what they may use at present
	Connections   map[string]ingress.Stats  `json:"connections"`  // by listener
	PeerConns     PeerConnMetrics           `json:"peer_connections"`
	Withdrawn     int64                     `json:"withdrawn"`   // sends not yet started when their target's weights became too old
	LateStarts    int64                     `json:"late_starts"` // calls that began at a target whose weights had become too old
	OffPool       int64                     `json:"off_pool"`    // sends to an engine of the other pool than the route's
	Events        int64                     `json:"stream_events"`
	Fetches       int64                     `json:"kv_fetches"`
	Saves         int64                     `json:"kv_saves"`
	Dials         int64                     `json:"target_dials"`
	Reuses        int64                     `json:"target_conn_reuses"`
	Strays        int64                     `json:"stray_answers"` // responses that belong to another request than the one in progress
	ProofAgeMs    int64                     `json:"proof_age_ms"`
	Latency       *forward.Histogram        `json:"latency"`
	Prediction    *forward.PredictionErrors `json:"prediction"`
	Rollout       RolloutMetrics            `json:"rollout"`
	Late          *forward.LateCounts       `json:"late"`        // late responses, by reason
	Refusals      *forward.RefusalCounts    `json:"refusals"`    // refusals and failures, by code and step
	Cuts          *forward.CutCounts        `json:"answers_cut"` // answers that ended early, by who ended them and why nothing replaced them
	Moves         *forward.MoveCounts       `json:"moves"`       // of calls whose replica was silent, by what came of them
	Crashes       CrashMetrics              `json:"crashes"`
	Allowances    []allowance.Status        `json:"allowances"`
	Demand        []demand.Status           `json:"demand"`      // load of each service on all VMs
	Bytes         *traffic.Meter            `json:"bytes"`       // bytes exchanged, by purpose
	StoreCalls    *objectapi.CountingStore  `json:"store_calls"` // by method and kind
	News          NewsMetrics               `json:"news"`
	Links         LinkMetrics               `json:"links"`
	Streams       StreamMetrics             `json:"streams"`
	HeapBytes     int64                     `json:"heap_bytes"`
	Goroutines    int                       `json:"goroutines"`
}

// CrashMetrics counts replicas that crashed while they ran requests.
type CrashMetrics struct {
	Seen        int64 `json:"seen"`        // crashes observed by this VM
	Requests    int   `json:"requests"`    // requests on record for a crash observed by this VM or a peer
	Quarantined int   `json:"quarantined"` // of these, no longer sent to replicas
}

func (d *Daemon) crashMetrics() CrashMetrics {
	cases, quarantined := d.crashes.Counts()
	return CrashMetrics{Seen: d.crashes.Crashes.Load(), Requests: cases, Quarantined: quarantined}
}

// NewsMetrics counts the datagrams exchanged with other VMs, and holds this VM's position in the
// distribution tree.
type NewsMetrics struct {
	Sent      int64 `json:"sent"`
	Forwarded int64 `json:"passed_on"` // from VMs of other failure domains to VMs of this one
	Received  int64 `json:"heard"`
	Rejected  int64 `json:"rejected"` // could not be decoded or sent
	Dropped   int64 `json:"untold"`   // cache changes left out because there were too many
	// EarlyRounds counts this VM's early rounds of loads, and EarlyReceived the messages of those of
	// peers. MeanWaitMs is the mean wait of this VM's calls, on which early rounds depend.
	EarlyRounds   int64 `json:"early_rounds"`
	EarlyReceived int64 `json:"early_heard"`
	MeanWaitMs    int64 `json:"mean_wait_ms"`

	Parent   ids.VM `json:"parent,omitempty"` // empty: this VM is a root, or there is no tree
	Children int    `json:"children"`
}

func (d *Daemon) newsMetrics() NewsMetrics {
	n := d.news
	parent, children := n.TreePosition()
	return NewsMetrics{
		Sent: n.Sent.Load(), Forwarded: n.Forwarded.Load(), Received: n.Received.Load(), Rejected: n.Rejected.Load(), Dropped: n.Dropped.Load(),
		EarlyRounds: n.EarlyRounds.Load(), EarlyReceived: n.EarlyReceived.Load(), MeanWaitMs: d.Fleet.Load.MeanWait(clock.Now()).Milliseconds(),
		Parent: parent, Children: children,
	}
}

// RolloutMetrics shows how far engines have been updated to the weights that operators set. All VMs
// report the first three fields; only the lease holder counts orders.
type RolloutMetrics struct {
	Behind     int    `json:"behind"`      // engines without the newest weights
	BehindDown int    `json:"behind_down"` // of these, unresponsive engines
	LeftMs     int64  `json:"left_ms"`     // time until the oldest weights in use expire, negative afterwards; zero: all are new
	Fence      uint64 `json:"fence"`       // fencing token, while this VM holds the lease
	Orders     int64  `json:"orders"`
	Done       int64  `json:"orders_done"`
	Failed     int64  `json:"orders_failed"`
	DrainMs    int64  `json:"orders_drain_ms"`
	TotalMs    int64  `json:"orders_total_ms"` // includes draining
}

func (d *Daemon) rolloutMetrics() RolloutMetrics {
	s := &d.Rollout.Stats
	m := RolloutMetrics{
		Orders: s.Orders.Load(), Done: s.Done.Load(), Failed: s.Failed.Load(),
		DrainMs: s.DrainMs.Load(), TotalMs: s.TotalMs.Load(),
	}
	for _, p := range d.Rollout.Progress(clock.Now()) {
		if left := p.Left.Milliseconds(); m.Behind == 0 || left < m.LeftMs {
			m.LeftMs = left
		}
		m.Behind += p.Behind
		m.BehindDown += p.Down
	}
	if token, ok := d.Lease.Held(); ok {
		m.Fence = token.Fence
	}
	return m
}

// Metrics returns the current values of the counters.
func (d *Daemon) Metrics() Metrics {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	f, s := d.Forward, &d.Forward.Stats
	return Metrics{
		Requests: s.Requests.Load(), Refused: s.Refused.Load(), Shed: s.Shed.Load(), Failed: s.Failed.Load(), Broken: s.Broken.Load(),
		InFlight: f.InFlight(), Attempts: s.Attempts.Load(), Retries: s.Retries.Load(), BudgetEmpty: s.BudgetEmpty.Load(), Withdrawn: s.Withdrawn.Load(), LateStarts: s.LateStarts.Load(),
		Unread: s.Unread.Load(), OffPool: s.OffPool.Load(), ResponseBytes: f.ResponseBytes(), UnusedBytes: f.Upstream.Memory.Held(), Evicted: f.Upstream.Memory.Evictions(),
		BodyBytes: f.Bodies.InUse(), BodyLimit: f.Bodies.Limit(),
		Connections: d.connectionMetrics(), PeerConns: d.peerConnMetrics(),
		Events: s.Events.Load(), Fetches: s.Fetches.Load(), Saves: s.Saves.Load(),
		Dials: f.Upstream.Dials.Load(), Reuses: f.Upstream.Reuses.Load(), Strays: f.Upstream.Strays.Load(),
		ProofAgeMs: d.Catalog.ProofAge(clock.Now()).Milliseconds(), Latency: &f.Latency, Prediction: &f.Prediction, Rollout: d.rolloutMetrics(),
		Late: &f.Late, Refusals: &f.Refusals, Cuts: &f.Cuts, Moves: &f.Moves, Crashes: d.crashMetrics(), Allowances: d.allowances.Status(), Demand: d.demandStatus(), Bytes: d.adapter.Meter, StoreCalls: d.store, News: d.newsMetrics(), Links: d.linkMetrics(), Streams: d.streamMetrics(),
		HeapBytes: int64(mem.HeapAlloc), Goroutines: runtime.NumGoroutine(),
	}
}

// published is the daemon whose metrics expvar shows. In tests, a later daemon of the process
// replaces an earlier one.
var published atomic.Pointer[Daemon]

// publish exposes the metrics of d through expvar.
func publish(d *Daemon) {
	if published.Swap(d) != nil || expvar.Get("threadwall") != nil {
		return
	}
	expvar.Publish("threadwall", expvar.Func(func() any { return published.Load().Metrics() }))
}
