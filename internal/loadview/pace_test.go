package loadview

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// paceTracker is a tracker whose targets a to e get answers at their predicted time, ten a second each.
type paceTracker struct {
	*Tracker
	now time.Time
}

func newPaceTracker() *paceTracker { return &paceTracker{New(), time.Unix(1000, 0)} }

func (p *paceTracker) run(d time.Duration, answers func()) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(100 * time.Millisecond) {
		for _, id := range []ids.Target{"a", "b", "c", "d", "e"} {
			p.ObservePace(id, "model", 140*time.Millisecond, 200*time.Millisecond, p.now)
		}
		if answers != nil {
			answers()
		}
		p.OwnPaces(p.now)
	}
}

func (p *paceTracker) load(id ids.Target) Load {
	out := make([]Load, 1)
	p.Estimate([]Handle{p.Handle(id)}, make([]Report, 1), 0, p.now, out)
	return out[0]
}

func slowPeer(id ids.Target) []Pace {
	return []Pace{{Target: id, Seed: true, PaceSums: PaceSums{Answers: 12, Slow: 12, Measured: 16.8, Predicted: 2.4}}}
}

// TestTwoUnluckyAnswersMarkNoTarget guards against single slow answers that move calls away from a target.
func TestTwoUnluckyAnswersMarkNoTarget(t *testing.T) {
	p := newPaceTracker()
	p.run(3*time.Second, nil)
	for range 2 {
		p.ObservePace("rare", "model", 140*time.Millisecond, time.Hour, p.now)
	}
	p.run(4*time.Second, func() {
		if got := p.load("rare").Slowdown; got != 1 {
			t.Fatalf("got a slowdown of %v after two slow answers, want 1", got)
		}
	})
}

// TestReportsOfPeers guards against reports that don't count, that count after 2.5 s, or that add up when a
// peer repeats them.
func TestReportsOfPeers(t *testing.T) {
	p := newPaceTracker()
	p.run(3*time.Second, nil)
	seq := uint64(0)
	p.run(2*time.Second, func() {
		seq++
		p.SetPeerPaces("vm1", 1, seq, slowPeer("rare"), p.now)
		p.SetPeerPaces("vm1", 1, seq-1, nil, p.now) // an older one that arrives late
	})
	if got := p.load("rare").Slowdown; got < 5 || got > 7 {
		t.Errorf("got a slowdown of %v by a peer's report, want 5 to 7", got)
	}
	p.run(peerLoadTTL+2*paceEvery, nil)
	if got := p.load("rare").Slowdown; got != 1 {
		t.Errorf("got a slowdown of %v by a report older than %v, want 1", got, peerLoadTTL)
	}
}

// TestRestartedTargetStartsAfresh guards against peers' reports of the earlier incarnation of a target.
func TestRestartedTargetStartsAfresh(t *testing.T) {
	p := newPaceTracker()
	p.run(3*time.Second, nil)
	p.run(2*time.Second, func() {
		p.ObservePace("slow", "model", 140*time.Millisecond, 1400*time.Millisecond, p.now)
		p.SetPeerPaces("vm1", 1, uint64(p.now.UnixNano()), slowPeer("slow"), p.now)
	})
	if p.load("slow").Slowdown < 2 {
		t.Fatal("the target does not count as slow")
	}
	p.Forget("slow")
	p.run(2*time.Second, func() {
		p.SetPeerPaces("vm1", 1, uint64(p.now.UnixNano()), slowPeer("slow"), p.now)
		if got := p.load("slow").Slowdown; got != 1 {
			t.Fatalf("got a slowdown of %v after the restart, want 1", got)
		}
	})
}

// TestMalformedPacesAreIgnored guards against numbers that poison the sums of a target.
func TestMalformedPacesAreIgnored(t *testing.T) {
	p := newPaceTracker()
	p.run(3*time.Second, nil)
	for i, s := range []PaceSums{
		{math.NaN(), 1, 1, 1},
		{3, math.NaN(), 1, 1},
		{3, 3, math.Inf(1), 1},
		{3, 3, 1, math.NaN()},
		{1e300, 1e300, 1e300, 1e300},
		{-3, -4, 1, 1},
		{3, 3, 1e5, 1},
		{3, 3, 1, 0},
		{0, 0, 9, 9},
		{3, 4, 9, 9},
	} {
		if s.valid() { // checked directly, since some of these change no choice
			t.Errorf("%+v is taken as valid", s)
		}
		p.SetPeerPaces("vm1", 1, uint64(i+1), []Pace{{Target: "a", PaceSums: s}}, p.now)
		p.run(1500*time.Millisecond, nil)
		if l := p.load("a"); l.Slowdown != 1 {
			t.Errorf("got a slowdown of %v by %+v, want 1", l.Slowdown, s)
		}
	}
}

// TestSlowReplicaOfPlainService guards against slow replicas of a service without prompts, whose calls have no
// predictions, and against a route with long calls that makes a replica look slow.
func TestSlowReplicaOfPlainService(t *testing.T) {
	p := newPaceTracker()
	p.run(5*time.Second, func() {
		for _, id := range []ids.Target{"p1", "p2", "p3", "p4"} {
			p.ObservePlain(id, "plain", "short", 60*time.Millisecond, p.now)
		}
		p.ObservePlain("p2", "plain", "long", 600*time.Millisecond, p.now)
		p.ObservePlain("p5", "plain", "short", 210*time.Millisecond, p.now)
	})
	if l := p.load("p5"); l.Slowdown < 2 || l.Delay < 0.06 || l.Delay > 2 {
		t.Errorf("got a slowdown of %v and a delay of %v s at a replica 3.5 times slower", l.Slowdown, l.Delay)
	}
	if l := p.load("p2"); l.Slowdown != 1 || l.Delay != 0 {
		t.Errorf("got a slowdown of %v and a delay of %v s at the replica with the long calls", l.Slowdown, l.Delay)
	}
}

// TestReferenceWhileTargetChanges guards against reports that are too high or too low right after a target has
// begun or ceased to count as slow. Until the sums of its service are computed again, they include its own
// answers as before.
func TestReferenceWhileTargetChanges(t *testing.T) {
	p := newPaceTracker()
	p.run(3*time.Second, nil)
	measured := 1400 * time.Millisecond
	changes, was := 0, false
	for range 120 {
		p.run(100*time.Millisecond, func() {
			for range 20 { // as many as four other targets get
				p.ObservePace("slow", "model", 140*time.Millisecond, measured, p.now)
			}
		})
		slow := len(p.SlowTargets(p.now)) > 0
		if slow != was {
			changes++
			was, measured = slow, 240*time.Millisecond
		}
		pace := &p.targets["slow"].pace
		got, ok := p.relative(pace, p.now)
		if want := pace.current(p.now); ok && math.Abs(got.Measured-want.Measured) > 0.02*want.Measured {
			t.Errorf("counts as slow: %t; got a ratio of %.3f, want %.3f as the others answer as predicted", slow, got.Measured/got.Predicted, want.Measured/want.Predicted)
		}
	}
	if changes != 2 {
		t.Errorf("the target began or ceased to count as slow %d times, want 2", changes)
	}
}

// TestOneLongResponseOfPlainService guards against one response that takes minutes, after which the mean of its
// route would be far too long for hundreds of calls, and with it the delay of a slow replica.
func TestOneLongResponseOfPlainService(t *testing.T) {
	p := newPaceTracker()
	answers := func() {
		for _, id := range []ids.Target{"p1", "p2", "p3", "p4"} {
			p.ObservePlain(id, "plain", "short", 60*time.Millisecond, p.now)
		}
		p.ObservePlain("p5", "plain", "short", 210*time.Millisecond, p.now)
	}
	p.run(5*time.Second, answers)
	p.ObservePlain("p1", "plain", "short", 10*time.Minute, p.now)
	p.run(time.Second, answers)
	if l := p.load("p5"); l.Slowdown < 2 || l.Delay < 0.06 || l.Delay > 2 {
		t.Errorf("got a slowdown of %v and a delay of %v s at a replica 3.5 times slower", l.Slowdown, l.Delay)
	}
}

// TestPlainRoutesAreReplaced guards against slow replicas that are not noticed because the bound on the routes
// is reached by routes that no longer exist.
func TestPlainRoutesAreReplaced(t *testing.T) {
	p := newPaceTracker()
	for i := range maxPlainRoutes {
		p.ObservePlain("p1", "plain", fmt.Sprint("old-", i), 60*time.Millisecond, p.now)
	}
	p.now = p.now.Add(plainRouteTTL + time.Second)
	p.run(5*time.Second, func() {
		for _, id := range []ids.Target{"p1", "p2", "p3", "p4"} {
			p.ObservePlain(id, "plain", "new", 60*time.Millisecond, p.now)
		}
		p.ObservePlain("p5", "plain", "new", 210*time.Millisecond, p.now)
	})
	if l := p.load("p5"); l.Slowdown < 2 {
		t.Errorf("got a slowdown of %v at a replica 3.5 times slower", l.Slowdown)
	}
	if n := len(p.paces.routes); n > maxPlainRoutes {
		t.Errorf("%d routes are kept, want at most %d", n, maxPlainRoutes)
	}
}
