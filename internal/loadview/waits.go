package loadview

import (
	"math"
	"time"
)

// The waits of this VM's own calls decide whether load reports are sent early (package news) and how
// many requests in transit may choose the same target (package fleet). A VM measures them itself, so
// a VM that receives nothing from its peers has them too. The sums of package demand contain no
// waits: the measured time includes the computation and the transfer of a call's own prompt.

const (
	// waitTimeConstant is the time in which the weight of a wait decays to 1/e: the mean is that of
	// about the last second.
	waitTimeConstant = time.Second
	// waitsFrom and waitsUntil are the mean waits at which calls begin and cease to wait. An idle
	// fleet's calls vary by some 20 ms around their prediction. The strictest objectives are 400 ms; at
	// a mean of 50 ms the slowest of the calls, which wait several times that, come close to them. So
	// reports become early at half of it.
	waitsFrom  = 25 * time.Millisecond
	waitsUntil = 12 * time.Millisecond
	// maxWait bounds each measured wait: one call that a fault has delayed by seconds does not show
	// that others wait.
	maxWait = 150 * time.Millisecond
	// unwaitedCalls is the number of calls without a wait that are added to the mean. A VM whose mean
	// contains a single call then needs a wait of more than twice waitsFrom in it.
	unwaitedCalls = 1
)

// waits are decaying sums of the measured waits of this VM's calls.
type waits struct {
	seconds, calls float64
	at             time.Time
	waiting        bool // result of the last CallsWait
}

// ObserveWait records the time until the first token of a request of this VM beyond the time that an
// idle target takes.
func (t *Tracker) ObserveWait(wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits.decay(now)
	t.waits.seconds += min(max(wait, 0), maxWait).Seconds()
	t.waits.calls++
}

func (w *waits) decay(now time.Time) {
	f := math.Exp(-max(now.Sub(w.at), 0).Seconds() / waitTimeConstant.Seconds())
	w.seconds, w.calls, w.at = w.seconds*f, w.calls*f, now
}

// MeanWait returns the mean wait of this VM's calls in about the last second. It decays to zero
// without calls.
func (t *Tracker) MeanWait(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waits.mean(now)
}

func (w *waits) mean(now time.Time) time.Duration {
	w.decay(now)
	return time.Duration(w.seconds / (w.calls + unwaitedCalls) * float64(time.Second))
}

// CallsWait reports whether this VM's calls wait for their targets, with hysteresis.
func (t *Tracker) CallsWait(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := waitsFrom
	if t.waits.waiting {
		limit = waitsUntil
	}
	t.waits.waiting = t.waits.mean(now) > limit
	return t.waits.waiting
}

// Changes returns a channel that receives a value after this VM's work at a target has changed.
func (t *Tracker) Changes() <-chan struct{} { return t.changes }

// notifyChange signals a change of this VM's work. The caller may hold t.mu.
func (t *Tracker) notifyChange() {
	select {
	case t.changes <- struct{}{}:
	default: // a change is pending
	}
}
