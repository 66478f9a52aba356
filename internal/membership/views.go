package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TargetStatus is one target as membership sees it at one moment.
type TargetStatus struct {
	ID          ids.Target         `json:"id"`
	Record      platform.Record    `json:"record"`
	State       routing.State      `json:"-"`
	StateName   string             `json:"state"`
	Incarnation ids.Incarnation    `json:"incarnation"`
	Weights     ids.WeightsVersion `json:"weights,omitempty"`
	Report      Report             `json:"report"`
	ReportAge   time.Duration      `json:"report_age_ns"`
	BreakerOpen bool               `json:"breaker_open"`
	Rest        time.Duration      `json:"rest_ns,omitempty"` // how long this VM must still send it nothing
	SlowStart   float32            `json:"slow_start"`
	FailRate    float32            `json:"fail_rate"`
}

// PeerStatus is one entry VM as membership sees it at one moment.
type PeerStatus struct {
	ID             ids.VM            `json:"id"`
	State          routing.State     `json:"-"`
	StateName      string            `json:"state"`
	Incarnation    ids.Incarnation   `json:"incarnation"`
	Counter        uint64            `json:"counter"`
	ConfigRevision uint64            `json:"config_revision"`
	PeerAddr       string            `json:"peer_addr"`
	AdminAddr      string            `json:"admin_addr"`
	FailureDomain  ids.FailureDomain `json:"failure_domain"`
	Leaving        bool              `json:"leaving"`
}

// Version returns a number that increases whenever the set of targets, or the record, incarnation
// or weights of a target, may have changed.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Targets returns all targets, ordered by id.
func (t *Table) Targets(now time.Time) []TargetStatus {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]TargetStatus, 0, len(t.targets))
	for id, m := range t.targets {
		out = append(out, m.status(id, t.tuning, now))
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// maxReportAge bounds ReportAge. Without it, the age of a report that never arrived, which is the
// difference to the zero time, would be the largest duration, and any sum with it would overflow to
// a negative value.
const maxReportAge = time.Hour

func (m *target) status(id ids.Target, tu Tuning, now time.Time) TargetStatus {
	s := TargetStatus{
		ID: id, Record: m.record, State: m.state(tu, now),
		Incarnation: m.incarnation, Weights: m.weights,
		Report: m.report, ReportAge: min(now.Sub(m.reportAt), maxReportAge),
		BreakerOpen: m.breakerOpen(tu, now), SlowStart: 1, FailRate: m.failRate.now(now),
		Rest: max(m.restUntil.Sub(now), 0),
	}
	s.StateName = s.State.String()
	if s.State == routing.Joining {
		s.SlowStart = float32(now.Sub(m.startedAt)) / float32(tu.SlowStart)
	}
	return s
}

// Peers returns all other entry VMs, ordered by id.
func (t *Table) Peers(now time.Time) []PeerStatus {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]PeerStatus, 0, len(t.peers))
	for id, p := range t.peers {
		if id == t.self {
			continue
		}
		s := PeerStatus{
			ID: id, State: p.state(t.tuning, now), Incarnation: p.incarnation, Counter: p.counter,
			ConfigRevision: p.revision, PeerAddr: p.record.PeerAddr, AdminAddr: p.record.AdminAddr,
			FailureDomain: p.record.FailureDomain, Leaving: p.leaving,
		}
		s.StateName = s.State.String()
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b PeerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Forget drops unlisted targets that are unresponsive, and unlisted VMs, after six times
// Tuning.DeadAfter without a report or a heartbeat. It returns how many it dropped.
func (t *Table) Forget(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.targets) + len(t.peers)
	for id, m := range t.targets {
		if !m.listed && m.unresponsive(t.tuning, now) && now.Sub(m.reportAt) > 6*t.tuning.DeadAfter {
			delete(t.targets, id)
			t.version++
		}
	}
	for id, p := range t.peers {
		if !p.listed && now.Sub(p.advancedAt) > 6*t.tuning.DeadAfter && now.Sub(p.firstSeen) > 6*t.tuning.DeadAfter {
			delete(t.peers, id)
		}
	}
	return n - len(t.targets) - len(t.peers)
}

// State returns the state of one target, or Dead if it is unknown.
func (t *Table) State(id ids.Target, now time.Time) routing.State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.targets[id]
	if m == nil {
		return routing.Dead
	}
	return m.state(t.tuning, now)
}
