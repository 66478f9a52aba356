package forward

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
)

const streamKind = catalog.Stream

// Timeouts for a replica that sends nothing, as multiples of the route's objectives. After a timeout
// the call may be sent to another replica as well (move.go).
const (
	// firstEventFactor times the objective is the wait for the first event: a response that
	// takes longer is worth little more than one that another replica gives from the start.
	firstEventFactor = 1.5
	// eventGapFactor times the route's longest allowed gap between events is the wait for the next
	// event.
	eventGapFactor = 2
	// minFirstEventTimeout is the shortest wait for the first event, for routes with short
	// objectives.
	minFirstEventTimeout = 150 * time.Millisecond
	// defaultObjective is the objective of routes that set none.
	defaultObjective = 2 * time.Second
	// defaultMaxEventGap is the longest allowed gap between events on routes that set none.
	defaultMaxEventGap = 2 * time.Second
)

// firstEventTimeout returns how long to wait for the replica's first event, or its response. It
// includes the predicted wait: under load all replicas are late, and moving a call to another one
// would only add work.
func (t *attempt) firstEventTimeout() time.Duration {
	objective := t.r.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return max(time.Duration(float64(objective+t.c.wait)*firstEventFactor), minFirstEventTimeout)
}

// nextEventTimeout returns how long to wait for the replica's next event.
func (t *attempt) nextEventTimeout() time.Duration {
	gap := t.r.route.MaxEventGap
	if gap <= 0 {
		gap = defaultMaxEventGap
	}
	return gap * eventGapFactor
}

// stallTimer calls a function when its time has passed, unless it is restarted, paused or stopped
// before. Safe for concurrent use; the methods wait for a call of the function to end.
type stallTimer struct {
	mu sync.Mutex
	// fire is called with the time since the last start. It returns the time until the next call;
	// zero: the timer stops for good.
	fire    func(elapsed time.Duration) time.Duration
	timer   *time.Timer
	started time.Time
	due     time.Time // zero: paused
	done    bool
}

func newStallTimer(fire func(elapsed time.Duration) time.Duration) *stallTimer {
	return &stallTimer{fire: fire}
}

// start starts or restarts the timer with duration d.
func (s *stallTimer) start(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = clock.Now()
	s.arm(s.started.Add(d))
}

// arm sets the time of the next call. The caller holds s.mu.
func (s *stallTimer) arm(due time.Time) {
	if s.done {
		return
	}
	s.due = due
	if s.timer == nil {
		s.timer = time.AfterFunc(clock.Until(due), s.expired)
		return
	}
	s.timer.Reset(clock.Until(due))
}

// expired calls the function, unless the timer was paused, restarted or stopped meanwhile.
func (s *stallTimer) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || s.due.IsZero() {
		return
	}
	now := clock.Now()
	if now.Before(s.due) {
		s.arm(s.due)
		return
	}
	next := s.fire(now.Sub(s.started))
	if next <= 0 {
		s.done = true
		return
	}
	s.arm(clock.Now().Add(next))
}

// pause stops the timer until the next start.
func (s *stallTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disarm()
}

// disarm implements pause. The caller holds s.mu.
func (s *stallTimer) disarm() {
	s.due = time.Time{}
	if s.timer != nil {
		s.timer.Stop()
	}
}

// stop stops the timer for good; a later start does nothing.
func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.disarm()
}
