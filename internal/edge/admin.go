package edge

import (
	"expvar"
	"runtime"
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Status is the admin interface's answer about this VM.
type Status struct {
	VM            ids.VM                    `json:"vm"`
	FailureDomain ids.FailureDomain         `json:"failure_domain"`
	Ready         bool                      `json:"ready"`
	Reason        string                    `json:"reason,omitempty"`
	Catalog       uint64                    `json:"catalog"`
	StoreSource   string                    `json:"store_source"` // "store", or the VM that this one reads from
	ProofAge      string                    `json:"proof_age"`
	Fence         uint64                    `json:"fence,omitempty"` // while this VM gives orders
	InFlight      int64                     `json:"in_flight"`
	Targets       []membership.TargetStatus `json:"targets"`
	Limits        []ratelimit.Status        `json:"limits,omitempty"` // rates that targets named
	Canaries      []canary.Record           `json:"canaries,omitempty"`
}

// Status returns this VM's state at this moment.
func (d *Daemon) Status() Status {
	now := clock.Now()
	ready, reason := d.ready.Ready()
	s := Status{
		VM: d.Settings.VM, FailureDomain: d.Settings.FailureDomain, Ready: ready, Reason: reason, StoreSource: d.reader.Source(),
		ProofAge: d.Catalog.ProofAge(now).String(), InFlight: d.Forward.InFlight(), Targets: d.Fleet.Members.Targets(now),
		Limits: d.Fleet.Members.Limits.Status(), Canaries: d.Forward.Software.Records(),
	}
	if c := d.Catalog.Get(); c != nil {
		s.Catalog = c.Version
	}
	if token, ok := d.Lease.Held(); ok {
		s.Fence = token.Fence
	}
	return s
}

// Metrics are this VM's counters, published as "threadwall" by expvar.
// docs/OPERATIONS.md explains each.
type Metrics struct {
	Requests    int64                     `json:"requests"`
	Refused     int64                     `json:"refused"`
	Shed        int64                     `json:"shed"` // of those refused, because engines were too busy
	Failed      int64                     `json:"failed"`
	Broken      int64                     `json:"streams_broken"`
	InFlight    int64                     `json:"in_flight"`
	Attempts    int64                     `json:"attempts"`
	Retries     int64                     `json:"retries"`
	BudgetEmpty int64                     `json:"retry_budget_empty"`
	Unread      int64                     `json:"unread"`       // calls that were cut off since their callers did not read
	AnswerBytes int64                     `json:"answer_bytes"` // held by answers that are read whole
	Withdrawn   int64                     `json:"withdrawn"`    // sends that had not begun when their target's weights became too old
	Events      int64                     `json:"stream_events"`
	Fetches     int64                     `json:"kv_fetches"`
	Saves       int64                     `json:"kv_saves"`
	Dials       int64                     `json:"target_dials"`
	Reuses      int64                     `json:"target_conn_reuses"`
	Strays      int64                     `json:"stray_answers"`
	ProofAgeMs  int64                     `json:"proof_age_ms"`
	Latency     *forward.Histogram        `json:"latency"`
	Prediction  *forward.PredictionErrors `json:"prediction"`
	Rollout     RolloutMetrics            `json:"rollout"`
	Late        *forward.LateCounts       `json:"late"`     // answers, by why they were late
	Refusals    *forward.RefusalCounts    `json:"refusals"` // and failures, by code and step
	Crashes     CrashMetrics              `json:"crashes"`
	Allowances  []allowance.Status        `json:"allowances"`
	Bytes       *traffic.Meter            `json:"bytes"`       // exchanged, by purpose
	StoreCalls  *objectapi.CountingStore  `json:"store_calls"` // by method and kind
	News        NewsMetrics               `json:"news"`
	HeapBytes   int64                     `json:"heap_bytes"`
	Goroutines  int                       `json:"goroutines"`
}

// CrashMetrics tell of replicas that crashed while they ran requests.
type CrashMetrics struct {
	Seen        int64 `json:"seen"`        // by this VM
	Requests    int   `json:"requests"`    // that are remembered for it, by this VM or a peer
	Quarantined int   `json:"quarantined"` // of these, not sent to replicas any more
}

func (d *Daemon) crashMetrics() CrashMetrics {
	cases, quarantined := d.crashes.Counts()
	return CrashMetrics{Seen: d.crashes.Crashes.Load(), Requests: cases, Quarantined: quarantined}
}

// NewsMetrics count the datagrams between VMs, and tell this VM's place in the tree.
type NewsMetrics struct {
	Sent     int64  `json:"sent"`
	PassedOn int64  `json:"passed_on"` // of another domain's VM, to this domain
	Heard    int64  `json:"heard"`
	Rejected int64  `json:"rejected"`         // neither understood nor sent
	Untold   int64  `json:"untold"`           // changes of caches that were too many to tell
	Parent   ids.VM `json:"parent,omitempty"` // in the tree; empty: this VM is a root, or there is no tree
	Children int    `json:"children"`
}

func (d *Daemon) newsMetrics() NewsMetrics {
	x := d.news
	parent, children := x.TreePosition()
	return NewsMetrics{
		Sent: x.Sent.Load(), PassedOn: x.Forwarded.Load(), Heard: x.Received.Load(), Rejected: x.Rejected.Load(), Untold: x.Dropped.Load(),
		Parent: parent, Children: children,
	}
}

// RolloutMetrics show how far the engines are behind the weights that operators name.
// All VMs show the first three; orders are counted by the VM that gives them.
type RolloutMetrics struct {
	Behind     int    `json:"behind"`
	BehindDown int    `json:"behind_down"` // of these, engines that answer nothing
	LeftMs     int64  `json:"left_ms"`     // until the oldest weights in use may no longer be used; zero: all are new
	Fence      uint64 `json:"fence"`       // while this VM gives orders
	Orders     int64  `json:"orders"`
	Done       int64  `json:"orders_done"`
	Failed     int64  `json:"orders_failed"`
	DrainMs    int64  `json:"orders_drain_ms"`
	TotalMs    int64  `json:"orders_total_ms"` // draining included
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

// Metrics returns the counters at this moment.
func (d *Daemon) Metrics() Metrics {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	f, s := d.Forward, &d.Forward.Stats
	return Metrics{
		Requests: s.Requests.Load(), Refused: s.Refused.Load(), Shed: s.Shed.Load(), Failed: s.Failed.Load(), Broken: s.Broken.Load(),
		InFlight: f.InFlight(), Attempts: s.Attempts.Load(), Retries: s.Retries.Load(), BudgetEmpty: s.BudgetEmpty.Load(), Withdrawn: s.Withdrawn.Load(),
		Unread: s.Unread.Load(), AnswerBytes: f.ResponseBytes(),
		Events: s.Events.Load(), Fetches: s.Fetches.Load(), Saves: s.Saves.Load(),
		Dials: f.Upstream.Dials.Load(), Reuses: f.Upstream.Reuses.Load(), Strays: f.Upstream.Strays.Load(),
		ProofAgeMs: d.Catalog.ProofAge(clock.Now()).Milliseconds(), Latency: &f.Latency, Prediction: &f.Prediction, Rollout: d.rolloutMetrics(),
		Late: &f.Late, Refusals: &f.Refusals, Crashes: d.crashMetrics(), Allowances: d.allowed.Status(), Bytes: d.adapter.Meter, StoreCalls: d.store, News: d.newsMetrics(),
		HeapBytes: int64(mem.HeapAlloc), Goroutines: runtime.NumGoroutine(),
	}
}

// published is the daemon whose metrics expvar shows; a later one in the same
// process (tests) replaces an earlier one.
var published atomic.Pointer[Daemon]

func publish(d *Daemon) {
	if published.Swap(d) != nil || expvar.Get("threadwall") != nil {
		return
	}
	expvar.Publish("threadwall", expvar.Func(func() any { return published.Load().Metrics() }))
}
