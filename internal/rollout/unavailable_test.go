package rollout

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestOrderDurationMean checks the mean duration of orders, starting from the initial estimate.
func TestOrderDurationMean(t *testing.T) {
	t0 := time.Now()
	try := func(m *orderDuration, took time.Duration, ordered, done bool) {
		m.begin("e1", t0)
		m.end("e1", t0.Add(took), ordered, done)
	}
	for _, c := range []struct {
		name string
		have func(m *orderDuration)
		want time.Duration
	}{
		{"no order yet", func(*orderDuration) {}, initialMean},
		{"one took the initial mean", func(m *orderDuration) { try(m, initialMean, true, true) }, initialMean},
		{"one took longer", func(m *orderDuration) { try(m, 4*time.Second, true, true) }, 3 * time.Second},
		{"one failed", func(m *orderDuration) { try(m, time.Second, true, false) }, 3 * time.Second},
		{"no order was sent", func(m *orderDuration) { try(m, 5*time.Second, false, false) }, initialMean},
		{"the weights were up to date", func(m *orderDuration) { try(m, 0, false, true) }, initialMean},
		{"one took an hour", func(m *orderDuration) { try(m, time.Hour, true, true) }, (initialMean + maxSample) / 2},
		{"all failed", func(m *orderDuration) {
			for range 5 {
				try(m, 5*time.Second, true, false)
			}
		}, updateTimeout},
		{"one is in progress", func(m *orderDuration) { m.begin("e2", t0.Add(-time.Second)) }, initialMean},
		{"one is in progress for longer than the mean", func(m *orderDuration) { m.begin("e2", t0.Add(-4*time.Second)) }, 3 * time.Second},
		{"one is in progress for an hour", func(m *orderDuration) { m.begin("e2", t0.Add(-time.Hour)) }, (initialMean + maxSample) / 2},
	} {
		m := &orderDuration{}
		c.have(m)
		if got := m.mean(t0, 0); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOrderDurationDecay checks that the mean drops again when short orders follow long ones.
func TestOrderDurationDecay(t *testing.T) {
	m, t0 := &orderDuration{}, time.Now()
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

// TestRequiredConcurrent checks which engines count towards the number of concurrent orders.
func TestRequiredConcurrent(t *testing.T) {
	s, r := newScripted(t)
	s.within = latestStart - time.Millisecond // all must start now
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
		{"one carries out an order", []orders.EngineStatus{busy}, 3}, // its slot becomes free too late
	} {
		if got := r.requiredConcurrent("m", append(c.with, engine("a"), engine("z")), 0, s.began); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestOneInFor checks the limits by the waits of requests, and that the lowest limit no longer
// applies once ThrottleFor has passed since the version was set.
func TestOneInFor(t *testing.T) {
	r := &Rollout{ThrottleFor: 3 * time.Second}
	for _, c := range []struct {
		wait    time.Duration
		engines int
		since   time.Duration
		want    int
	}{
		{0, largeFleet, 0, oneInIdle},
		{0, largeFleet + 1, 0, oneInIdleLarge},
		{waitBusy, 9, 0, oneInBusy},
		{waitFull, 9, r.ThrottleFor, oneInFull},
		{waitFull, 9, r.ThrottleFor + 1, oneInBusy},
	} {
		if got := r.oneInFor(c.wait, c.engines, c.since); got != c.want {
			t.Errorf("%+v: one in %d", c, got)
		}
	}
}

// TestProgressSkipsLeaving checks that an engine that leaves, and so needs no new weights, does
// not count as behind.
func TestProgressSkipsLeaving(t *testing.T) {
	s, r := newScripted(t)
	s.unresponsive = true
	if p := r.Progress(s.began)["m"]; p != (Progress{Behind: 1, Down: 1, Left: s.within}) {
		t.Errorf("got %+v", p)
	}
	s.record.State = platform.StateLeaving
	if p := r.Progress(s.began); len(p) != 0 {
		t.Errorf("got %+v for an engine that leaves", p)
	}
}
