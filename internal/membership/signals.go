package membership

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// Signals are what a target reports about itself in a response.
type Signals struct {
	Leaving bool            // it takes no new work for the rest of its incarnation
	Rest    time.Duration   // how long this VM must send it nothing; zero: not given
	Limit   ratelimit.Limit // the rate limit for all VMs together
	Brittle Brittle
}

// Brittle is the announcement of a target that it falls over if it has to refuse too many requests.
type Brittle struct {
	Announced bool
	// Refusals is how many requests the target can refuse within a second, of all VMs together.
	Refusals float64
}

// signalState holds the latest signals of one incarnation of a target. It outlives the
// target's entry in the platform's list, which may be missing for a while and then be stale.
type signalState struct {
	incarnation ids.Incarnation
	leaving     bool
	restUntil   time.Time
	at          time.Time // of the latest use, see signalsOf
}

// SignalChange says which signals of a target a response has changed.
type SignalChange struct{ Leaving, Rest, Limit, Brittle bool }

// Any reports whether anything changed.
func (c SignalChange) Any() bool { return c.Leaving || c.Rest || c.Limit || c.Brittle }

// applyBrittle applies whether a response announces that its target is brittle; a brittle target does so in each.
func (t *Table) applyBrittle(id ids.Target, inc ids.Incarnation, b Brittle) (changed bool) {
	if !b.Announced && t.brittle.Load() == 0 && t.hasAnswered(id) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	if m == nil || inc < m.incarnation {
		return false
	}
	m.answered = true
	if m.brittle == b {
		return false
	}
	m.brittle = b
	n := 0
	for _, other := range t.targets {
		if other.brittle.Announced {
			n++
		}
	}
	t.brittle.Store(int64(n))
	return true
}

// BrittleTarget is a target that has announced that it is brittle.
type BrittleTarget struct {
	ID ids.Target
	Brittle
}

func (t *Table) hasAnswered(id ids.Target) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.targets[id]
	return m != nil && m.answered
}

// BrittleTargets returns the targets that have announced that they are brittle, and those of the same services that
// have not answered this VM yet: the replicas of a service are usually alike, and one that is back after a fall would
// otherwise fall again before its first answer.
func (t *Table) BrittleTargets() (out []BrittleTarget) {
	if t.brittle.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	services := map[string]Brittle{}
	for _, m := range t.targets {
		if old, known := services[m.record.Service]; m.brittle.Announced && (!known || m.brittle.Refusals < old.Refusals) {
			services[m.record.Service] = m.brittle
		}
	}
	for id, m := range t.targets {
		b := m.brittle
		if !m.answered {
			b = services[m.record.Service]
		}
		if b.Announced {
			out = append(out, BrittleTarget{id, b})
		}
	}
	return out
}

// BrittleOf returns what a target has announced.
func (t *Table) BrittleOf(id ids.Target) Brittle {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if m := t.targets[id]; m != nil {
		return m.brittle
	}
	return Brittle{}
}

// HoldBack records that this VM sends a target nothing before the given time, as if it had asked for a rest.
func (t *Table) HoldBack(id ids.Target, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil && until.After(m.restUntil) {
		m.restUntil = until
	}
}

// ApplySignals applies the signals in a response that was received at now, to a request that
// was sent at sent, and returns what they changed.
func (t *Table) ApplySignals(id ids.Target, inc ids.Incarnation, s Signals, sent, now time.Time) SignalChange {
	change := SignalChange{Limit: t.Limits.ObserveResponse(id, inc, s.Limit, sent), Brittle: t.applyBrittle(id, inc, s.Brittle)}
	if !s.Leaving && s.Rest <= 0 {
		return change
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.signalsOf(id, inc, now)
	if k == nil {
		return change
	}
	change.Leaving = s.Leaving && !k.leaving
	k.leaving = k.leaving || s.Leaving
	if until := now.Add(s.Rest); s.Rest > 0 && until.After(k.restUntil) {
		k.restUntil, change.Rest = until, true
	}
	if m := t.targets[id]; m != nil {
		m.applySignals(k)
	}
	return change
}

// Declines reports whether a target takes nothing from this VM now, because it is
// leaving or has asked for a rest.
func (t *Table) Declines(id ids.Target, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.targets[id]
	return m != nil && (m.leaving || now.Before(m.restUntil))
}

const (
	// maxSignals is how many targets' signals are kept before old ones are dropped.
	maxSignals = 256
	// signalsTTL is how long the signals of a target that is not listed are kept.
	signalsTTL = 10 * time.Minute
)

// signalsOf returns the signals of an incarnation, or nil if a later incarnation is known. If none
// are stored, it stores and returns empty ones. The caller holds the lock.
func (t *Table) signalsOf(id ids.Target, inc ids.Incarnation, now time.Time) *signalState {
	k := t.signals[id]
	if k != nil && inc < k.incarnation {
		return nil
	}
	if k == nil || inc > k.incarnation {
		if len(t.signals) >= maxSignals {
			t.expireSignals(now)
		}
		k = &signalState{incarnation: inc}
		t.signals[id] = k
	}
	k.at = now
	return k
}

// leave records that the target leaves. A nil receiver stands for an incarnation that has ended.
func (k *signalState) leave() {
	if k != nil {
		k.leaving = true
	}
}

// expireSignals drops the signals of targets that have long been gone. The caller holds the lock.
func (t *Table) expireSignals(now time.Time) {
	for id, k := range t.signals {
		if t.targets[id] == nil && now.Sub(k.at) > signalsTTL {
			delete(t.signals, id)
		}
	}
}

// applySignals applies stored signals unless the target has restarted since.
func (m *target) applySignals(k *signalState) {
	if k == nil || k.incarnation < m.incarnation {
		return
	}
	m.leaving = m.leaving || k.leaving
	if k.restUntil.After(m.restUntil) {
		m.restUntil = k.restUntil
	}
}
