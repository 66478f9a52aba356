package forward

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/outcome"
)

// A VM that shuts down takes a call only if the call ends before its drain does:
//
//   - One that may not be repeated must end for certain: by its deadline.
//   - Another one is expected to end, as the longest ones of its route did lately.
//
// Any other call is refused as not run, so that its caller turns to another VM. A call that is at work at the end of the drain, and of
// whose response no part was passed on, fails then, so that its caller gets a response.

// stepDrain is the step of what the shutdown of the VM refuses or ends.
const stepDrain = "drain"

// errDrainEnded is the cause of the end of a call that was at work at the end of the drain.
var errDrainEnded = errors.New("this VM shuts down, and the call has not ended in time")

// drain is the state of a shutdown. Safe for concurrent use; the zero value is that of a VM that does not shut down.
type drain struct {
	ends  atomic.Pointer[time.Time] // when the last response must begin, and the last call that was taken must end; nil: no shutdown
	once  sync.Once
	ended chan struct{} // closed then
}

// end returns the channel that is closed at the end of the drain.
func (d *drain) end() chan struct{} {
	d.once.Do(func() { d.ended = make(chan struct{}) })
	return d.ended
}

// Drain begins the shutdown: from now on calls are taken only if they end by the given time, and calls without a response fail
// then. Call it once.
func (f *Forwarder) Drain(ends time.Time) {
	f.drain.ends.Store(&ends)
	time.AfterFunc(clock.Until(ends), func() { close(f.drain.end()) })
}

// Draining reports whether the VM shuts down. Responses then ask callers to use another connection.
func (f *Forwarder) Draining() bool { return f.drain.ends.Load() != nil }

// EndsInDrain reports whether a call ends in what is left of a drain. latest is when it ends at the latest, and usual how long such
// calls take; zero: unknown. again states that it may be repeated.
func EndsInDrain(left, latest, usual time.Duration, again bool) bool {
	return latest <= left || again && usual > 0 && usual <= left
}

// refuseInDrain refuses a call that would not end in the drain.
func (r *run) refuseInDrain() *outcome.Error {
	ends := r.f.drain.ends.Load()
	if ends == nil || EndsInDrain(clock.Until(*ends), clock.Until(r.ends), r.f.durations.usual(r.route.Name, clock.Now()), r.route.Repeatable()) {
		return nil
	}
	return notInDrain()
}

// recheckDrain refuses a send of a call that may not be repeated, and would not end for certain. Others are at work already, and a
// send may still help them.
func (r *run) recheckDrain() *outcome.Error {
	ends := r.f.drain.ends.Load()
	if ends == nil || r.route.Repeatable() || EndsInDrain(clock.Until(*ends), clock.Until(r.ends), 0, false) {
		return nil
	}
	return notInDrain()
}

func notInDrain() *outcome.Error {
	return outcome.Wrap(errNotAllowed, outcome.NotRun, outcome.CodeNotReady, stepDrain, "",
		"this VM shuts down, and the call may take longer than that").After(vmRetryAfter)
}

// drainEnded returns the error of a call that was at work at the end of the drain.
func (r *run) drainEnded() *outcome.Error {
	return outcome.Wrap(errDrainEnded, outcome.Unknown, outcome.CodeUpstream, stepDrain, r.lastTarget(), errDrainEnded.Error())
}

// closeIfDraining asks the caller to use another connection next time, unless a further request has come on this one.
func (r *run) closeIfDraining() {
	if r.f.Draining() && !ingress.Followed(r.req.Context()) {
		r.w.Header().Set("Connection", "close")
	}
}

const (
	// durationWindow is the time in which durations are collected. The longest one counts for one to two windows.
	durationWindow = 30 * time.Second
	// durationMargin is by which fraction of the longest call lately the next ones may take longer, if many calls are known.
	durationMargin = 0.25
	// fewDurations divided by the number of known calls is the margin if few are known.
	fewDurations = 10
	// maxDurationRoutes is the number of routes at which all durations are dropped.
	maxDurationRoutes = 4096
)

// durations holds how long calls took lately, by route. Safe for concurrent use; the zero value is empty.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDurations // by name
}

// routeDurations holds the calls of one route that ended in the current window and in the one before it.
type routeDurations struct {
	began         time.Time // of the current window
	current, last durationPeak
}

type durationPeak struct {
	longest time.Duration
	calls   int
}

// advance begins a new window if the current one is over.
func (d *routeDurations) advance(now time.Time) {
	age := now.Sub(d.began)
	if age < durationWindow {
		return
	}
	if d.last = d.current; age >= 2*durationWindow {
		d.last = durationPeak{}
	}
	d.began, d.current = now, durationPeak{}
}

// observe records a call that was served.
func (d *durations) observe(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := d.routes[route]
	if of == nil {
		if d.routes == nil || len(d.routes) >= maxDurationRoutes {
			d.routes = map[string]*routeDurations{}
		}
		of = &routeDurations{began: now}
		d.routes[route] = of
	}
	of.advance(now)
	of.current.longest = max(of.current.longest, took)
	of.current.calls++
}

// usual returns a time in which nearly all calls of a route end, as far as is known from the latest ones; zero: there were none.
func (d *durations) usual(route string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := d.routes[route]
	if of == nil {
		return 0
	}
	of.advance(now)
	calls := of.current.calls + of.last.calls
	if calls == 0 {
		return 0
	}
	margin := max(durationMargin, fewDurations/float64(calls))
	return time.Duration(float64(max(of.current.longest, of.last.longest)) * (1 + margin))
}
