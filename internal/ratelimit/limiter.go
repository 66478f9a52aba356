package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// countWindow is the time over which targets count requests, including those that they
	// received just before they announced a limit.
	countWindow = 4 * time.Second
	// positionMaxAge is how long a Position is used before it is read again.
	positionMaxAge = 200 * time.Millisecond
	// reportEndFor is how long the end of a limit is reported to peers.
	reportEndFor = 5 * time.Second
	// maxTransit bounds the time that a report is in transit, which its age does not include. If a
	// peer reports the end of a limit, the end counts only if the peer observed it more than
	// maxTransit after the last confirmation of the limit.
	maxTransit = 100 * time.Millisecond
	// staleAfter is the time without any report or response after which a limit may have ended.
	staleAfter = 10 * time.Second
	// staleRequests extends staleAfter, for low limits, to the time in which all VMs together
	// may send this many requests.
	staleRequests = 5
	// forgetAfter is the time without any report or response after which a limit is dropped.
	forgetAfter = 10 * time.Minute
)

// Report is what one VM reports to its peers on a target's limit.
type Report struct {
	Target      ids.Target
	Incarnation ids.Incarnation
	Limit       Limit         // not announced: it has ended
	Age         time.Duration // since a response confirmed the limit or its end
}

// Limiter keeps the limits that targets announce, on one VM. It is safe for concurrent use.
type Limiter struct {
	// Position returns this VM's position among those that may send to a target. If it is nil, this
	// VM is the only one. Position and RecentRate must be set before the first use. They are called
	// with the limiter's lock held and must not call its methods.
	Position func(id ids.Target) Position
	// RecentRate returns the approximate recent rate of requests of all VMs to a target, in
	// requests/s. If it is nil, the rate is unknown.
	RecentRate func(id ids.Target) float64

	now       func() time.Time
	announced atomic.Int32 // number of limits in force
	mu        sync.Mutex
	targets   map[ids.Target]*targetLimit
}

// New returns a limiter without limits. If now is nil, clock.Now is used.
func New(now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{now: now, targets: map[ids.Target]*targetLimit{}}
}

// targetLimit is the limit of one target, or its end.
type targetLimit struct {
	incarnation ids.Incarnation
	limit       Limit     // not malformed; not announced: it has ended
	confirmedAt time.Time // last confirmation of limit
	endedAt     time.Time // when this VM first observed the end
	firsthand   bool      // the last confirmation came from the target rather than a peer

	position   Position
	positionAt time.Time
	share      float64 // requests/s
	credit     float64 // requests that may be sent
	creditAt   time.Time
	tookAt     time.Time // when this VM last used credit
	lackedAt   time.Time // when it last refused a call for want of credit
	loans      []loan
}

// ObserveResponse records the limit that a target's response announces, or that it announces none.
// The response was received now from incarnation inc, for a request sent at sent. ObserveResponse
// ignores malformed limits and responses of earlier incarnations, and reports whether the known
// limit has changed.
func (l *Limiter) ObserveResponse(id ids.Target, inc ids.Incarnation, limit Limit, sent time.Time) (changed bool) {
	if !limit.Announced && l.announced.Load() == 0 {
		return false
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[id]
	switch {
	case e != nil && inc < e.incarnation, limit.Malformed:
		return false // keep the known limit
	case limit.Announced:
		changed = l.announce(id, inc, limit, now, now)
		l.targets[id].firsthand = true
	case e == nil, inc == e.incarnation && !sent.After(e.confirmedAt):
		return false // the response that announced the limit may have been in transit when the request was sent
	default:
		changed = l.end(e, inc, sent, now)
		e.firsthand = true
	}
	return changed
}

// ApplyReport records the report of a peer, unless it is older than what is known. It reports
// whether the known limit has changed.
func (l *Limiter) ApplyReport(r Report) (changed bool) {
	if !r.Limit.Announced && l.announced.Load() == 0 {
		return false
	}
	now := l.now()
	at := now.Add(-max(r.Age, 0))
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[r.Target]
	same := e != nil && r.Incarnation == e.incarnation
	switch {
	case r.Limit.Malformed, e != nil && r.Incarnation < e.incarnation, same && !at.After(e.confirmedAt):
		return false
	case r.Limit.Announced:
		changed = l.announce(r.Target, r.Incarnation, r.Limit, at, now)
	case e == nil, same && e.limit.Announced && !at.After(e.confirmedAt.Add(maxTransit)):
		return false
	default:
		changed = l.end(e, r.Incarnation, at, now)
	}
	l.targets[r.Target].firsthand = false // the peer's confirmation is the latest, so the peer reports it
	return changed
}

// announce puts a limit into force that was confirmed at time at. The caller holds the lock.
func (l *Limiter) announce(id ids.Target, inc ids.Incarnation, limit Limit, at, now time.Time) (changed bool) {
	e := l.targets[id]
	if e == nil || !e.limit.Announced || inc != e.incarnation {
		if e == nil || !e.limit.Announced {
			l.announced.Add(1)
		}
		e = &targetLimit{incarnation: inc, creditAt: now}
		l.targets[id] = e
		e.limit, e.confirmedAt = limit, at
		l.updatePosition(id, e, now)
		e.credit = l.initialCredit(id, e)
		return true
	}
	l.advance(id, e, now)
	changed = e.limit != limit
	e.limit, e.confirmedAt = limit, at
	if changed {
		l.updatePosition(id, e, now)
	}
	return changed
}

// initialCredit returns a credit that spreads the first requests of all senders evenly, as the
// rate spreads the later ones. If the target received more than its limit, or the recent rate is
// unknown, the first requests wait until countWindow has passed. The caller holds the lock.
func (l *Limiter) initialCredit(id ids.Target, e *targetLimit) float64 {
	if e.share == 0 {
		return 0
	}
	credit := 1 - float64(e.position.Rank)/float64(e.position.senders(e.limit.rate()))
	if l.RecentRate == nil || l.RecentRate(id) > e.limit.rate() {
		credit -= e.share * countWindow.Seconds()
	}
	return credit
}

// end records that a target no longer announces a limit. The caller holds the lock.
func (l *Limiter) end(e *targetLimit, inc ids.Incarnation, at, now time.Time) (changed bool) {
	changed = e.limit.Announced
	if changed {
		l.announced.Add(-1)
		e.endedAt = now
	}
	e.incarnation, e.limit, e.confirmedAt = inc, Limit{}, at
	return changed
}

// updatePosition reads this VM's position again. A VM that becomes a sender starts without
// credit, since the sender that it replaces may have used its own. The caller holds the lock.
func (l *Limiter) updatePosition(id ids.Target, e *targetLimit, now time.Time) {
	p := Position{Live: 1, Listed: 1}
	if l.Position != nil {
		p = l.Position(id)
	}
	e.position, e.positionAt = p, now
	share := p.share(e.limit.rate())
	if now.Sub(e.confirmedAt) > staleTime(e.limit) {
		share = max(share, p.equalShare(e.limit.rate()))
	}
	if e.share == 0 || share == 0 {
		e.credit = min(e.credit, 0)
	}
	e.share = share
}

// staleTime returns the time without any report or response after which a limit may have ended.
func staleTime(limit Limit) time.Duration {
	return max(staleAfter, time.Duration(staleRequests/limit.rate()*float64(time.Second)))
}

// advance updates the credit to now. The caller holds the lock.
func (l *Limiter) advance(id ids.Target, e *targetLimit, now time.Time) {
	if dt := now.Sub(e.creditAt).Seconds(); dt > 0 {
		e.credit = min(e.credit+e.share*dt, e.bucket(now))
		e.creditAt = now
	}
	if now.Sub(e.positionAt) >= positionMaxAge {
		l.updatePosition(id, e, now)
	}
}

// LimitedTarget is a target that announces a limit.
type LimitedTarget struct {
	Target  ids.Target
	Allowed bool // this VM may send a request now
}

// LimitedTargets returns the targets that announce a limit, in no particular order.
func (l *Limiter) LimitedTargets() []LimitedTarget {
	if l.announced.Load() == 0 {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []LimitedTarget
	for id, e := range l.targets {
		if !e.limit.Announced {
			continue
		}
		l.advance(id, e, now)
		out = append(out, LimitedTarget{id, e.credit >= 1})
	}
	return out
}

// Take reports whether a request may be sent to a target now, and if so counts it.
func (l *Limiter) Take(id ids.Target) bool {
	if l.announced.Load() == 0 {
		return true
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[id]
	if e == nil || !e.limit.Announced {
		return true
	}
	if l.advance(id, e, now); e.credit < 1 {
		return false
	}
	e.credit--
	e.tookAt = now
	return true
}

// Return gives back the credit that Take used for a request of which nothing was sent.
func (l *Limiter) Return(id ids.Target) {
	if l.announced.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.targets[id]; e != nil && e.share > 0 {
		e.credit++ // advance bounds it
	}
}

// Wait returns the time until this VM may send its next request to a target, and the time from
// that request to the one after it; both are zero if the target announces no limit. known is false
// if only other VMs send to the target.
func (l *Limiter) Wait(id ids.Target) (wait, between time.Duration, known bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[id]
	if e == nil || !e.limit.Announced {
		return 0, 0, true
	}
	l.advance(id, e, now)
	if e.share == 0 {
		return 0, 0, false
	}
	second := float64(time.Second)
	return time.Duration(max(1-e.credit, 0) / e.share * second), time.Duration(second / e.share), true
}

// Reports returns the limits, and ends of limits, to report to peers: those that this VM has from
// the target itself. It also drops limits that were last confirmed more than forgetAfter ago, and
// ends of limits after reportEndFor.
func (l *Limiter) Reports() []Report {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for id, e := range l.targets {
		switch ended := !e.limit.Announced; {
		case ended && now.Sub(e.endedAt) > reportEndFor, now.Sub(e.confirmedAt) > forgetAfter:
			l.forget(id, e)
		case e.firsthand:
			out = append(out, Report{Target: id, Incarnation: e.incarnation, Limit: e.limit, Age: now.Sub(e.confirmedAt)})
		}
	}
	return out
}

// forget drops the entry of a target. The caller holds the lock.
func (l *Limiter) forget(id ids.Target, e *targetLimit) {
	if e.limit.Announced {
		l.announced.Add(-1)
	}
	delete(l.targets, id)
}

// Status is a limit as this VM knows it.
type Status struct {
	Target      ids.Target      `json:"target"`
	Incarnation ids.Incarnation `json:"incarnation"`
	PerSecond   float64         `json:"per_second"` // for all VMs together
	Share       float64         `json:"share"`      // this VM's share of it
	Credit      float64         `json:"credit"`     // requests; from 1 on this VM may send
	AgeMs       int64           `json:"age_ms"`     // since the last known confirmation by the target
	Own         bool            `json:"own"`        // confirmed to this VM by the target itself
}

// Status returns the limits in force, in no particular order.
func (l *Limiter) Status() []Status {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Status{}
	for id, e := range l.targets {
		if !e.limit.Announced {
			continue
		}
		l.advance(id, e, now)
		out = append(out, Status{
			Target: id, Incarnation: e.incarnation, PerSecond: e.limit.PerSecond, Share: e.share, Credit: e.credit,
			AgeMs: now.Sub(e.confirmedAt).Milliseconds(), Own: e.firsthand,
		})
	}
	return out
}
