package forward

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
)

const streamKind = catalog.Stream

// Timeouts for a replica that sends nothing, as multiples of the route's objectives. A timeout
// ends an attempt only if another attempt may follow; otherwise the call keeps waiting for the
// replica.
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

// onStall runs when the replica has sent nothing within the timeout. The timeout counts against the
// replica in later decisions, but this call is cancelled only if it may be sent to another replica.
func (t *attempt) onStall() {
	if !t.r.superseded(t.c) {
		t.r.f.Fleet.Members.TimedOut(t.c.target.ID, t.sent, clock.Now())
		t.r.f.Fleet.MarkDirty()
	}
	if t.r.repeatable() && t.r.f.Budgets.Of(t.r.service).Remaining() >= 1 {
		t.cancel(errStalled)
	}
}

// stallTimer calls a function once, unless it is restarted or stopped in time. Safe for concurrent
// use.
type stallTimer struct {
	mu   sync.Mutex
	fire func()
	t    *time.Timer
	done bool
}

func newStallTimer(fire func()) *stallTimer { return &stallTimer{fire: fire} }

// start starts or restarts the timer with duration d.
func (s *stallTimer) start(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	if s.t == nil {
		s.t = time.AfterFunc(d, s.expired)
		return
	}
	s.t.Reset(d)
}

func (s *stallTimer) expired() {
	s.mu.Lock()
	over := s.done
	s.done = true
	s.mu.Unlock()
	if !over {
		s.fire()
	}
}

// pause stops the timer until the next start.
func (s *stallTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.t != nil {
		s.t.Stop()
	}
}

// stop stops the timer for good; a later start does nothing.
func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	if s.t != nil {
		s.t.Stop()
	}
}
