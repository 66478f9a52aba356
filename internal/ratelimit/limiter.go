package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// window is the time in which targets count. What they got right before they named a
	// limit counts, too.
	window = 4 * time.Second
	// standingFor is how long a look at the living VMs is used.
	standingFor = 200 * time.Millisecond
	// tellEnd is for how long peers are told that a target names no limit any more.
	tellEnd = 5 * time.Second
	// crossing is how much later than a limit its end must have been seen by a peer: ages
	// don't count the way of the message.
	crossing = 100 * time.Millisecond
	// staleAfter is after how long without a word of anybody a limit may be over.
	staleAfter = 10 * time.Second
	// staleRequests is the same in requests that all VMs may send meanwhile.
	staleRequests = 5
	// forgetAfter is after how long without a word a limit is forgotten.
	forgetAfter = 10 * time.Minute
)

// Report is what one VM knows of a target's limit, for its peers.
type Report struct {
	Target      ids.Target
	Incarnation ids.Incarnation
	Limit       Limit         // none: it has ended
	Age         time.Duration // since it was so
}

// Limiter keeps the limits that targets name on one VM. Safe for concurrent use. It is empty
// at first.
type Limiter struct {
	// Position returns this VM's place among those that send to a target. Nil: it is the only
	// one. Both are set before the first use.
	Position func(id ids.Target) Position
	// RecentRate returns what a target got lately from all VMs together, about, in requests/s. Nil:
	// it is not known.
	RecentRate func(id ids.Target) float64

	now     func() time.Time
	count   atomic.Int32 // limits in force
	mu      sync.Mutex
	targets map[ids.Target]*limited
}

// New returns a limiter. now is nil for that of package clock.
func New(now func() time.Time) *Limiter {
	if now == nil {
		now = clock.Now
	}
	return &Limiter{now: now, targets: map[ids.Target]*limited{}}
}

// limited is one target's limit, or that it has ended.
type limited struct {
	incarnation ids.Incarnation
	limit       Limit     // not garbled; none: it has ended
	at          time.Time // it was so then, and nobody has said otherwise since
	endedAt     time.Time // the first word of the end
	own         bool      // this VM has it from the target

	standing   Position
	standingAt time.Time
	share      float64 // requests/s
	credit     float64 // requests that may be sent
	creditAt   time.Time
}

// ObserveResponse takes in what an answer says, to a request that was sent at a time and is
// answered now. It returns whether what is known of the limit has changed.
func (l *Limiter) ObserveResponse(id ids.Target, inc ids.Incarnation, limit Limit, sent time.Time) (changed bool) {
	if !limit.Announced && l.count.Load() == 0 {
		return false
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[id]
	switch {
	case e != nil && inc < e.incarnation, limit.Malformed:
		return false // what was known is kept
	case limit.Announced:
		changed = l.name(id, inc, limit, now, now)
		l.targets[id].own = true
	case e == nil, inc == e.incarnation && !sent.After(e.at):
		return false // the request may have crossed the answer that named the limit
	default:
		changed = l.end(e, inc, sent, now)
		e.own = true
	}
	return changed
}

// ApplyReport takes in what a peer knows. It returns whether what is known has changed.
func (l *Limiter) ApplyReport(w Report) (changed bool) {
	if !w.Limit.Announced && l.count.Load() == 0 {
		return false
	}
	now := l.now()
	at := now.Add(-max(w.Age, 0))
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[w.Target]
	same := e != nil && w.Incarnation == e.incarnation
	switch {
	case w.Limit.Malformed, e != nil && w.Incarnation < e.incarnation, same && !at.After(e.at):
		return false
	case w.Limit.Announced:
		changed = l.name(w.Target, w.Incarnation, w.Limit, at, now)
	case e == nil, same && e.limit.Announced && !at.After(e.at.Add(crossing)):
		return false
	default:
		changed = l.end(e, w.Incarnation, at, now)
	}
	l.targets[w.Target].own = false // the peer's is the latest, so the peer tells it
	return changed
}

// name puts a limit in force, as it was at a time. The lock is held.
func (l *Limiter) name(id ids.Target, inc ids.Incarnation, limit Limit, at, now time.Time) (changed bool) {
	e := l.targets[id]
	if e == nil || !e.limit.Announced || inc != e.incarnation {
		if e == nil || !e.limit.Announced {
			l.count.Add(1)
		}
		e = &limited{incarnation: inc, creditAt: now}
		l.targets[id] = e
		e.limit, e.at = limit, at
		l.stand(id, e, now)
		e.credit = l.firstCredit(id, e)
		return true
	}
	l.advance(id, e, now)
	changed = e.limit != limit
	e.limit, e.at = limit, at
	if changed {
		l.stand(id, e, now)
	}
	return changed
}

// firstCredit spreads the first requests of all senders evenly, as the rate will spread the
// later ones. If the target got more than its limit, they begin when that lies so far back
// that it does not count any more.
func (l *Limiter) firstCredit(id ids.Target, e *limited) float64 {
	if e.share == 0 {
		return 0
	}
	credit := 1 - float64(e.standing.Rank)/float64(e.standing.senders(e.limit.rate()))
	if l.RecentRate == nil || l.RecentRate(id) > e.limit.rate() {
		credit -= e.share * window.Seconds()
	}
	return credit
}

// end notes that a target names no limit any more. The lock is held.
func (l *Limiter) end(e *limited, inc ids.Incarnation, at, now time.Time) (changed bool) {
	changed = e.limit.Announced
	if changed {
		l.count.Add(-1)
		e.endedAt = now
	}
	e.incarnation, e.limit, e.at = inc, Limit{}, at
	return changed
}

// stand looks at this VM's place anew. A VM that comes to be a sender has no credit yet, since
// the one in whose place it comes may have used its own. The lock is held.
func (l *Limiter) stand(id ids.Target, e *limited, now time.Time) {
	s := Position{Live: 1, Listed: 1}
	if l.Position != nil {
		s = l.Position(id)
	}
	e.standing, e.standingAt = s, now
	share := s.share(e.limit.rate())
	if now.Sub(e.at) > staleTime(e.limit) {
		share = max(share, s.equalShare(e.limit.rate()))
	}
	if e.share == 0 || share == 0 {
		e.credit = min(e.credit, 0)
	}
	e.share = share
}

// staleTime is after how long without a word a limit may be over.
func staleTime(limit Limit) time.Duration {
	return max(staleAfter, time.Duration(staleRequests/limit.rate()*float64(time.Second)))
}

// advance brings the credit up to now. The lock is held.
func (l *Limiter) advance(id ids.Target, e *limited, now time.Time) {
	if dt := now.Sub(e.creditAt).Seconds(); dt > 0 {
		e.credit = min(e.credit+e.share*dt, 1+e.share*saved.Seconds())
		e.creditAt = now
	}
	if now.Sub(e.standingAt) >= standingFor {
		l.stand(id, e, now)
	}
}

// LimitedTarget tells whether this VM may send a request to a target that names a limit.
type LimitedTarget struct {
	Target  ids.Target
	Allowed bool
}

// LimitedTargets returns the targets that name a limit.
func (l *Limiter) LimitedTargets() []LimitedTarget {
	if l.count.Load() == 0 {
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

// Take counts a request to a target, if it may be sent.
func (l *Limiter) Take(id ids.Target) bool {
	if l.count.Load() == 0 {
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
	return true
}

// Return gives back what Take counted for a request of which nothing was sent.
func (l *Limiter) Return(id ids.Target) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.targets[id]; e != nil && e.share > 0 {
		e.credit++ // advance bounds it
	}
}

// Wait returns how long it is until this VM may send a target its next request, and the time
// from that to the one after it. known is false where others send to the target.
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

// Reports returns what this VM knows later than its peers, for them.
func (l *Limiter) Reports() []Report {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for id, e := range l.targets {
		switch ended := !e.limit.Announced; {
		case ended && now.Sub(e.endedAt) > tellEnd, now.Sub(e.at) > forgetAfter:
			l.forget(id, e)
		case e.own:
			out = append(out, Report{Target: id, Incarnation: e.incarnation, Limit: e.limit, Age: now.Sub(e.at)})
		}
	}
	return out
}

// forget drops what is known of a target. The lock is held.
func (l *Limiter) forget(id ids.Target, e *limited) {
	if e.limit.Announced {
		l.count.Add(-1)
	}
	delete(l.targets, id)
}

// Status is one limit as this VM knows it.
type Status struct {
	Target      ids.Target      `json:"target"`
	Incarnation ids.Incarnation `json:"incarnation"`
	PerSecond   float64         `json:"per_second"` // that all VMs may send
	Share       float64         `json:"share"`      // of that, this VM's
	Credit      float64         `json:"credit"`     // requests; it sends one from 1 on
	AgeMs       int64           `json:"age_ms"`     // since the target last named it, as far as known
	Own         bool            `json:"own"`        // this VM was told by the target
}

// Status returns the limits in force.
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
			AgeMs: now.Sub(e.at).Milliseconds(), Own: e.own,
		})
	}
	return out
}
