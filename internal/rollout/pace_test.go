package rollout

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestMeanTime follows the mean time of orders from its first guess on.
func TestMeanTime(t *testing.T) {
	t0 := time.Now()
	try := func(m *meanTime, took time.Duration, ordered, done bool) {
		m.begin("e1", t0)
		m.end("e1", t0.Add(took), ordered, done)
	}
	for _, c := range []struct {
		name string
		have func(m *meanTime)
		want time.Duration
	}{
		{"nothing is known", func(*meanTime) {}, firstMean},
		{"one took as long", func(m *meanTime) { try(m, firstMean, true, true) }, firstMean},
		{"one took longer", func(m *meanTime) { try(m, 4*time.Second, true, true) }, 3 * time.Second},
		{"one came to nothing", func(m *meanTime) { try(m, time.Second, true, false) }, 3 * time.Second},
		{"no order was given", func(m *meanTime) { try(m, 5*time.Second, false, false) }, firstMean},
		{"the weights were there", func(m *meanTime) { try(m, 0, false, true) }, firstMean},
		{"one took for ever", func(m *meanTime) { try(m, time.Hour, true, true) }, (firstMean + longestSample) / 2},
		{"all came to nothing", func(m *meanTime) {
			for range 5 {
				try(m, 5*time.Second, true, false)
			}
		}, carryOut},
		{"one is under way", func(m *meanTime) { m.begin("e2", t0.Add(-time.Second)) }, firstMean},
		{"one is under way for longer than the mean", func(m *meanTime) { m.begin("e2", t0.Add(-4*time.Second)) }, 3 * time.Second},
		{"one is under way for ever", func(m *meanTime) { m.begin("e2", t0.Add(-time.Hour)) }, (firstMean + longestSample) / 2},
	} {
		m := &meanTime{}
		c.have(m)
		if got := m.mean(t0, 0); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestMeanTimeForgets lets orders take long for a while and then be short: the mean
// comes down again.
func TestMeanTimeForgets(t *testing.T) {
	m, t0 := &meanTime{}, time.Now()
	for i := range 200 {
		took := time.Second
		if i < 100 {
			took = 5 * time.Second
		}
		m.begin("e1", t0)
		m.end("e1", t0.Add(took), true, true)
	}
	if got := m.mean(t0, 0); got > 1300*time.Millisecond {
		t.Errorf("the mean is %v after 100 orders of 1 s", got)
	}
}

// TestNeeded checks who counts in how many engines must be told at a time.
func TestNeeded(t *testing.T) {
	s, r := newScripted(t)
	s.within = lastBegin - time.Millisecond // all must begin now
	engine := func(id ids.Target) orders.EngineStatus {
		return orders.EngineStatus{Target: id, Model: "m", State: routing.Live, Weights: "1"}
	}
	other, fresh, down, busy := engine("b"), engine("c"), engine("d"), engine("e")
	other.Model, fresh.Weights, down.State = "other", "2", routing.Suspect
	busy.Busy, busy.State = true, routing.Suspect
	for _, c := range []struct {
		name string
		with []orders.EngineStatus
		want int
	}{
		{"two wait", nil, 2},
		{"one of another model", []orders.EngineStatus{other}, 2},
		{"one has the weights", []orders.EngineStatus{fresh}, 2},
		{"one is down", []orders.EngineStatus{down}, 2},
		{"one is under an order", []orders.EngineStatus{busy}, 3}, // its place is free too late
	} {
		if got := r.needed("m", append(c.with, engine("a"), engine("z")), 0, s.began); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestShareFor checks the paces by callers' waits, and that the slowest one is left when
// the version has been named for a while.
func TestShareFor(t *testing.T) {
	r := &Rollout{ThrottleFor: 3 * time.Second}
	for _, c := range []struct {
		wait    time.Duration
		engines int
		since   time.Duration
		want    int
	}{
		{0, largeFleet, 0, paceIdle},
		{0, largeFleet + 1, 0, paceIdleLarge},
		{waitBusy, 9, 0, paceBusy},
		{waitFull, 9, r.ThrottleFor, paceFull},
		{waitFull, 9, r.ThrottleFor + 1, paceBusy},
	} {
		if got := r.shareFor(c.wait, c.engines, c.since); got != c.want {
			t.Errorf("%+v: one in %d", c, got)
		}
	}
}

// TestProgressWithoutTheLeaving checks that an engine that leaves, and needs no new
// weights, does not count as behind.
func TestProgressWithoutTheLeaving(t *testing.T) {
	s, r := newScripted(t)
	s.silent = true
	if p := r.Progress(s.began)["m"]; p != (Progress{Behind: 1, Down: 1, Left: s.within}) {
		t.Errorf("got %+v", p)
	}
	s.record.State = platform.StateLeaving
	if p := r.Progress(s.began); len(p) != 0 {
		t.Errorf("got %+v of one that leaves", p)
	}
}
