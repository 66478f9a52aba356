// Package membership combines three sources into one state per VM and target:
// the platform's list (which lags, and may be unreachable), reports and
// heartbeats within the failure domain, and this VM's own experience.
//
// Rules:
//
//   - No source alone declares a target dead. One source against it makes it
//     suspect: it gets work only if no better target is available. Two make it
//     dead. Later evidence from the same source that the target is up reverses
//     this.
//   - Leaving is accepted from any source and holds for that incarnation: a
//     target that was asked to leave must get no new work, also while the platform
//     cannot be reached.
//   - A larger incarnation means that the target has restarted: it begins as
//     joining, without the load and failures of the previous incarnation.
//   - Whether a VM is live follows from the counter in its heartbeats. The
//     platform's list says which VMs to expect and which are leaving; it cannot
//     make a VM live that sends no heartbeats.
//
// Table is a plain state machine; it starts no goroutine. Callers pass the current
// time, except to MarkLeaving.
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/routing"
)

// Tuning holds the delays of the state machine.
type Tuning struct {
	// SuspectAfter is the time without a heartbeat after which a VM is suspect, or dead if the
	// platform does not list it. Default 3s.
	SuspectAfter time.Duration
	// DeadAfter is the time without a heartbeat after which a VM is dead. Default 10s.
	DeadAfter time.Duration
	// SlowStart is how long a new incarnation of a target is joining. Default 10s.
	SlowStart time.Duration
	// Failures is how many consecutive failures open a target's breaker. Default 3.
	Failures int
	// BreakerOpen is how long a failing target gets no work from this VM before
	// one trial request is allowed. It doubles with each further failure. Default 2s.
	BreakerOpen time.Duration
	// Grace is how long a listed VM is joining before its first heartbeat, and how long a
	// target without a report is not suspect. Default 5s.
	Grace time.Duration
}

// DefaultTuning suits heartbeats and probes at intervals of one second.
var DefaultTuning = Tuning{
	SuspectAfter: 3 * time.Second, DeadAfter: 10 * time.Second, SlowStart: 10 * time.Second,
	Failures: 3, BreakerOpen: 2 * time.Second, Grace: 5 * time.Second,
}

// Report is the result of one probe of a target.
type Report struct {
	Incarnation  ids.Incarnation
	Seq          uint64 // orders reports of one incarnation
	QueuedTokens int
	Running      int     // requests in progress
	Slots        int     // most requests in progress at the same time; zero: not known
	PrefillRate  float64 // tokens/s
	Leaving      bool
	Silent       bool // the prober got no response to several consecutive probes
	Weights      ids.WeightsVersion
}

// target is all evidence about one target.
type target struct {
	record       platform.Record
	listed       bool
	report       Report
	reportAt     time.Time // when this VM received it
	startedAt    time.Time
	leaving      bool
	firstSeen    time.Time
	fails        int       // consecutive failures, for the breaker
	lastFail     time.Time // when the latest failure or trial was
	failRate     failRate
	seenAt       time.Time            // when this VM last received an event, a response or its feed
	unreachable  bool                 // a long-lived call of this VM to it has failed
	suspectUntil time.Time            // until then it is not known whether it answers
	lostBy       map[ids.VM]time.Time // peers whose long-lived call to it has failed, and when they last reported it
	busyUntil    time.Time            // it refused work and gets none before this time
	restUntil    time.Time            // it asked this VM to send nothing until then
	brittle      Brittle
	answered     bool // this incarnation has answered a request of this VM
	incarnation  ids.Incarnation
	weights      ids.WeightsVersion
}

// peer is all evidence about one entry VM.
type peer struct {
	record      platform.Record
	listed      bool
	firstSeen   time.Time
	incarnation ids.Incarnation
	counter     uint64
	advancedAt  time.Time // when this VM received counter
	leaving     bool
	revision    uint64 // of its configuration
}

// Table holds all targets and entry VMs. It is safe for concurrent use.
type Table struct {
	// Limits are the rate limits that targets announce.
	Limits *ratelimit.Limiter

	self   ids.VM
	tuning Tuning

	mu      sync.RWMutex
	targets map[ids.Target]*target
	signals map[ids.Target]*signalState
	peers   map[ids.VM]*peer
	version uint64       // see Version
	brittle atomic.Int64 // number of targets that are brittle, at least
}

// New returns an empty table for this VM.
func New(self ids.VM, tuning Tuning) *Table {
	return &Table{Limits: ratelimit.New(nil), self: self, tuning: tuning, targets: map[ids.Target]*target{}, signals: map[ids.Target]*signalState{}, peers: map[ids.VM]*peer{}}
}

// ApplyPlatform applies the platform's complete list. Targets and VMs that are missing from it
// become unlisted, which counts as one source against a target.
func (t *Table) ApplyPlatform(records []platform.Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.targets {
		m.listed = false
	}
	for _, p := range t.peers {
		p.listed = false
	}
	for _, r := range records {
		if r.Role == platform.RoleEntry {
			t.listPeer(r, now)
		} else {
			t.listTarget(r, now)
		}
	}
	t.version++
}

func (t *Table) listPeer(r platform.Record, now time.Time) {
	p := t.peer(ids.VM(r.ID), now)
	p.record, p.listed = r, true
	p.leaving = p.leaving || r.State == platform.StateLeaving && r.Incarnation >= p.incarnation
}

func (t *Table) listTarget(r platform.Record, now time.Time) {
	m := t.targets[ids.Target(r.ID)]
	if m == nil {
		m = &target{firstSeen: now, incarnation: r.Incarnation, weights: r.Weights}
		t.targets[ids.Target(r.ID)] = m
	}
	m.record, m.listed = r, true
	m.restart(r.Incarnation, r.Weights, now)
	if r.State == platform.StateLeaving && r.Incarnation >= m.incarnation {
		m.leaving = true
		t.signalsOf(ids.Target(r.ID), r.Incarnation, now).leave()
	}
	m.applySignals(t.signals[ids.Target(r.ID)])
}

// restart begins a new incarnation if inc is larger than the known one. If inc is the known one,
// it only sets the weights, unless w is empty.
func (m *target) restart(inc ids.Incarnation, w ids.WeightsVersion, now time.Time) {
	if inc == m.incarnation && w != "" {
		m.weights = w
	}
	if inc <= m.incarnation {
		return
	}
	*m = target{
		record: m.record, listed: m.listed, firstSeen: now, startedAt: now,
		incarnation: inc, weights: w, report: Report{Incarnation: inc},
	}
}

// Incarnation returns the latest known incarnation of a target, or zero if there is none.
func (t *Table) Incarnation(id ids.Target) ids.Incarnation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if m := t.targets[id]; m != nil {
		return m.incarnation
	}
	return 0
}

func (t *Table) peer(id ids.VM, now time.Time) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{firstSeen: now}
		t.peers[id] = p
	}
	return p
}

// Heartbeat applies a VM's heartbeat, received directly or forwarded. It ignores a heartbeat of
// an earlier incarnation, or of the latest one if its counter has not advanced: a late copy is no
// evidence that the VM is alive. It returns whether the heartbeat was new.
func (t *Table) Heartbeat(id ids.VM, inc ids.Incarnation, counter, revision uint64, leaving bool, now time.Time) bool {
	if id == t.self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(id, now)
	if inc < p.incarnation || inc == p.incarnation && counter <= p.counter {
		return false
	}
	if inc > p.incarnation {
		p.leaving = false
	}
	p.incarnation, p.counter, p.advancedAt = inc, counter, now
	p.leaving = p.leaving || leaving
	p.revision = max(p.revision, revision)
	return true
}

// ApplyReport applies a report on a target, from this VM's probe or from a peer. It returns
// whether the report was new and the target known.
func (t *Table) ApplyReport(id ids.Target, r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	if m == nil || r.Incarnation < m.incarnation {
		return false
	}
	if r.Incarnation == m.incarnation && r.Seq <= m.report.Seq {
		return false
	}
	if r.Incarnation > m.incarnation || r.Weights != m.weights && !r.Silent {
		t.version++
	}
	if r.Silent {
		m.report.Silent, m.report.Seq, m.reportAt = true, r.Seq, now
		return true
	}
	m.restart(r.Incarnation, r.Weights, now)
	m.report, m.reportAt = r, now
	if r.Leaving {
		m.leaving = true
		t.signalsOf(id, r.Incarnation, now).leave()
	}
	return true
}

// Succeeded records that the target answered a request of this VM.
func (t *Table) Succeeded(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.fails = 0
		m.failRate.add(0)
	}
}

// Failed records that an attempt on the target failed through the target's fault.
func (t *Table) Failed(id ids.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.fails++
		m.lastFail = now
		m.failRate.add(1)
		m.failRate.at = now
	}
}

// FailedCall records that the target answered a request of this VM with a failure that was
// returned to the caller. The target is alive and may be healthy, so this raises its failure rate
// but closes its breaker.
func (t *Table) FailedCall(id ids.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.fails = 0
		m.failRate.addCall(now)
	}
}

// Remove drops a target that is known to be gone. Its signals stay.
func (t *Table) Remove(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.targets, id)
	t.version++
}

// Busy records that the target takes no work before the given time. An earlier time than the
// recorded one changes nothing: a refusal by a target that is known to be busy for longer
// carries no new information.
func (t *Table) Busy(id ids.Target, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil && until.After(m.busyUntil) {
		m.busyUntil = until
	}
}

// Ready records that the target takes work again.
func (t *Table) Ready(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.busyUntil = time.Time{}
	}
}

// MarkLeaving records that an incarnation of the target is leaving or has ended, as a response of
// the target or of another one at its address has shown.
func (t *Table) MarkLeaving(id ids.Target, inc ids.Incarnation) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.signalsOf(id, inc, now)
	k.leave()
	if m := t.targets[id]; m != nil {
		m.applySignals(k)
	}
}

// Trying records that a request is sent to the target. If the target has failed Tuning.Failures
// times in a row, the request is a trial: the breaker stays open for other requests until the
// trial succeeds or the time of the breaker has passed again. It returns whether the request is a
// trial.
func (t *Table) Trying(id ids.Target, now time.Time) (trial bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	if m == nil || m.fails < t.tuning.Failures {
		return false
	}
	m.lastFail = now
	return true
}

// maxBreakerDoublings bounds the time for which a breaker is open to 16 times BreakerOpen.
const maxBreakerDoublings = 4

// breakerOpen reports whether the target gets no work from this VM for now, because it is busy
// or has failed. The time after a failure doubles with each failure beyond the one that opened
// the breaker.
func (m *target) breakerOpen(tu Tuning, now time.Time) bool {
	if now.Before(m.busyUntil) {
		return true
	}
	if m.fails < tu.Failures {
		return false
	}
	return now.Sub(m.lastFail) < tu.BreakerOpen<<min(m.fails-tu.Failures, maxBreakerDoublings)
}

// state derives a target's state from the evidence about it.
func (m *target) state(tu Tuning, now time.Time) routing.State {
	if m.leaving {
		return routing.Leaving
	}
	against := 0
	if !m.listed {
		against++
	}
	if m.unresponsive(tu, now) {
		against++
	}
	if m.breakerOpen(tu, now) {
		against++
	}
	switch {
	case against >= 2:
		return routing.Dead
	case against == 1:
		return routing.Suspect
	case now.Sub(m.startedAt) < tu.SlowStart:
		return routing.Joining
	default:
		return routing.Live
	}
}

// unresponsive reports whether the target counts as unresponsive. The age of its latest report does
// not matter: the VM that probes a target sends a report when the target stops answering, so that
// a hundred healthy targets cost no messages.
func (m *target) unresponsive(tu Tuning, now time.Time) bool {
	if m.unreachable || m.lostByPeers(now) || m.suspected(now) {
		return true
	}
	if m.reportAt.IsZero() {
		return now.Sub(m.firstSeen) > tu.Grace
	}
	return m.report.Silent
}

// state derives a VM's state from its heartbeats and the platform's list.
func (p *peer) state(tu Tuning, now time.Time) routing.State {
	if p.advancedAt.IsZero() {
		if p.leaving {
			return routing.Leaving
		}
		if now.Sub(p.firstSeen) < tu.Grace {
			return routing.Joining
		}
		return routing.Dead
	}
	sinceHeartbeat := now.Sub(p.advancedAt)
	switch {
	case sinceHeartbeat > tu.DeadAfter || sinceHeartbeat > tu.SuspectAfter && !p.listed:
		return routing.Dead
	case p.leaving:
		return routing.Leaving
	case sinceHeartbeat > tu.SuspectAfter:
		return routing.Suspect
	default:
		return routing.Live
	}
}
