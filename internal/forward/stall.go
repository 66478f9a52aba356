package forward

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
)

const streamKind = catalog.Stream

// Silence of a replica that is too long, as multiples of the route's aims. It ends
// an attempt only where another one may follow; a silent replica that can't be
// replaced is waited for.
const (
	// firstEventFactor times the objective: an answer that comes so late is worth
	// little more than one that another replica gives from the start.
	firstEventFactor = 1.5
	// pauseFactor times the longest pause that is on time.
	pauseFactor = 2
	// minFirstEventTimeout bounds the wait from below, for routes with short objectives.
	minFirstEventTimeout = 150 * time.Millisecond
	// defaultObjective stands for a route's where it has none.
	defaultObjective = 2 * time.Second
	// defaultPause stands for a route's longest pause where it has none.
	defaultPause = 2 * time.Second
)

// firstEventTimeout is how long the replica may be silent before its first event, or its
// answer. What it has to do before is waited for besides: under load all replicas
// are late, and to leave one for the next would only make work.
func (t *try) firstEventTimeout() time.Duration {
	aim := t.r.route.Objective
	if aim <= 0 {
		aim = defaultObjective
	}
	return max(time.Duration(float64(aim+t.c.wait)*firstEventFactor), minFirstEventTimeout)
}

// pauseTimeout is how long the replica may be silent between two events.
func (t *try) pauseTimeout() time.Duration {
	pause := t.r.route.MaxPause
	if pause <= 0 {
		pause = defaultPause
	}
	return pause * pauseFactor
}

// onStall is called when the replica has been onStall for too long. Other calls avoid
// it then; this call leaves it only if it may go on elsewhere.
func (t *try) onStall() {
	if !t.r.superseded(t.c) {
		t.r.f.Fleet.Members.Silent(t.c.target.ID, t.sent, clock.Now())
		t.r.f.Fleet.MarkDirty()
	}
	if t.r.repeatable() && t.r.f.Budgets.Of(t.r.service).Left() >= 1 {
		t.cancel(errStalled)
	}
}

// stallTimer calls a function when it is not fed in time. Safe for concurrent use.
type stallTimer struct {
	mu   sync.Mutex
	fire func()
	t    *time.Timer
	done bool
}

func newStallTimer(fire func()) *stallTimer { return &stallTimer{fire: fire} }

// start begins, or begins anew, to wait for d.
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

// pause stops waiting until it is started anew.
func (s *stallTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.t != nil {
		s.t.Stop()
	}
}

func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	if s.t != nil {
		s.t.Stop()
	}
}
