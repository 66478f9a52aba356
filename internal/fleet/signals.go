package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/routing"
)

// ApplySignals applies the signals in a target's response to a request sent at the given
// time, and returns what they changed. An incarnation of zero stands for the known one.
func (f *Fleet) ApplySignals(id ids.Target, inc ids.Incarnation, s membership.Signals, sent time.Time) membership.SignalChange {
	if inc == 0 {
		inc = f.Members.Incarnation(id)
	}
	change := f.Members.ApplySignals(id, inc, s, sent, f.now())
	if change.Any() {
		f.MarkDirty()
	}
	return change
}

// ApplyPeerLimit applies a peer's report of a target's rate limit, and returns whether the
// limit changed. It ignores a report for an incarnation other than the known one: if the
// incarnation were corrupted and too high, the limiter would then ignore all of the target's
// own signals.
func (f *Fleet) ApplyPeerLimit(w ratelimit.Report) (changed bool) {
	return w.Incarnation == f.Members.Incarnation(w.Target) && f.Members.Limits.ApplyReport(w)
}

// expectedRate estimates how many requests per second a target gets from all VMs, assuming
// that each target of its service gets the same number.
func (f *Fleet) expectedRate(id ids.Target) float64 {
	s := f.snap.Load()
	service := ""
	s.withIndex(id, func(i int) { service = s.View.Targets[i].Service })
	n := 0
	for i := range s.View.Targets {
		if s.View.Targets[i].Service == service && s.base[i].State > routing.Leaving {
			n++
		}
	}
	return f.transit.ratePerTarget(service, n, f.now()) * f.knownFraction(service)
}

// maxRetryAfter bounds the Retry-After of a refused request: other VMs may have capacity
// sooner.
const maxRetryAfter = 3 * time.Second

// RetryAfter returns after what delay a caller should retry a request for which Decide found
// no target; snap and sc are those of Decide. If each target that serves the request was passed
// over because of its rate limit or requested pause, the delay ends when the first of them takes
// a request from this VM again. A random part of the interval at which that target takes
// requests is added, since it takes only one per interval; least and maxRetryAfter bound the
// sum. In all other cases the result is least.
func (f *Fleet) RetryAfter(r *routing.Request, snap *Snapshot, sc *Scratch, least time.Duration) time.Duration {
	wait, interval, known := f.limitWait(r, snap, sc)
	if !known {
		return least
	}
	if interval > 0 {
		wait += rand.N(interval)
	}
	return max(min(wait, maxRetryAfter), least)
}

// limitWait returns how long this VM must wait until the first target that Decide passed over
// because of its rate limit or requested pause takes a request. interval is the time between
// two requests that the target's rate limit allows this VM; zero means that there is no limit.
// known is false if this VM may send to no such target, or if a target was passed over for a
// reason that may end sooner, such as an open breaker or an earlier attempt of this request.
func (f *Fleet) limitWait(r *routing.Request, snap *Snapshot, sc *Scratch) (wait, interval time.Duration, known bool) {
	for i := range sc.Inputs {
		in := &sc.Inputs[i]
		if in.State <= routing.Leaving || (routing.ServesFilter{}).Check(r, &snap.View.Targets[i], in) != routing.Passed {
			continue
		}
		if !in.RateLimited && !in.Resting {
			return 0, 0, false
		}
		if in.RateLimited {
			f.Members.Limits.Lacked(snap.View.Targets[i].ID)
		}
		w, between, ok := f.Members.Limits.Wait(snap.View.Targets[i].ID)
		w = max(w, snap.restLeft(i, f.now()))
		if ok && (!known || w < wait) {
			wait, interval, known = w, between, true
		}
	}
	return wait, interval, known
}
