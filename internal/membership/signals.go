package membership

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// Signals are what a target says of itself with an answer.
type Signals struct {
	Leaving bool            // it takes no new work for the rest of its incarnation
	Rest    time.Duration   // it wants nothing from this VM for so long; zero: it does not say
	Limit   ratelimit.Limit // what it takes from all VMs together
}

// signaled is the latest that one incarnation of a target said of itself. It outlives the
// target's entry, which may be gone for a while and then say what is no longer so.
type signaled struct {
	incarnation ids.Incarnation
	leaving     bool
	restUntil   time.Time
	at          time.Time
}

// SignalChange names what an answer changed in what a target is known to say of itself.
type SignalChange struct{ Leaving, Rest, Limit bool }

// Any tells whether anything changed.
func (c SignalChange) Any() bool { return c.Leaving || c.Rest || c.Limit }

// ApplySignals takes in what a target said of itself in an answer that came now, to a request
// that was sent at a time, and returns what of it is news.
func (t *Table) ApplySignals(id ids.Target, inc ids.Incarnation, s Signals, sent, now time.Time) SignalChange {
	change := SignalChange{Limit: t.Limits.Answered(id, inc, s.Limit, sent)}
	if !s.Leaving && s.Rest <= 0 {
		return change
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.signaledOf(id, inc, now)
	if k == nil {
		return change
	}
	change.Leaving = s.Leaving && !k.leaving
	k.leaving = k.leaving || s.Leaving
	if until := now.Add(s.Rest); s.Rest > 0 && until.After(k.restUntil) {
		k.restUntil, change.Rest = until, true
	}
	if m := t.targets[id]; m != nil {
		m.recall(k)
	}
	return change
}

// Declines tells whether a target takes nothing from this VM now: it leaves, or rests.
func (t *Table) Declines(id ids.Target, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.targets[id]
	return m != nil && (m.leaving || now.Before(m.restUntil))
}

const (
	// signalsKept is how many targets' signals are kept before old ones are forgotten.
	signalsKept = 256
	// signalsFor is for how long signals are kept of a target that is not listed.
	signalsFor = 10 * time.Minute
)

// signaledOf returns where an incarnation's signals are kept; nil: it has ended. The lock is
// held.
func (t *Table) signaledOf(id ids.Target, inc ids.Incarnation, now time.Time) *signaled {
	k := t.signals[id]
	if k != nil && inc < k.incarnation {
		return nil
	}
	if k == nil || inc > k.incarnation {
		if len(t.signals) >= signalsKept {
			t.forgetSignals(now)
		}
		k = &signaled{incarnation: inc}
		t.signals[id] = k
	}
	k.at = now
	return k
}

// leave notes that the target leaves; one that has ended is not concerned.
func (k *signaled) leave() {
	if k != nil {
		k.leaving = true
	}
}

// forgetSignals drops what targets said that are long gone. The lock is held.
func (t *Table) forgetSignals(now time.Time) {
	for id, k := range t.signals {
		if t.targets[id] == nil && now.Sub(k.at) > signalsFor {
			delete(t.signals, id)
		}
	}
}

// recall takes in what the target said of itself, unless it has started again since.
func (m *target) recall(k *signaled) {
	if k == nil || k.incarnation < m.incarnation {
		return
	}
	m.leaving = m.leaving || k.leaving
	if k.restUntil.After(m.restUntil) {
		m.restUntil = k.restUntil
	}
}
