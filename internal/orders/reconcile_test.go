package orders

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// oneEngine is an engine with outdated weights that counts the orders it is sent.
type oneEngine struct {
	sent  int
	asked func()
}

func (e *oneEngine) Engines() []EngineStatus {
	return []EngineStatus{{Target: "a", Model: "m", State: routing.Live, Weights: "1"}}
}

func (e *oneEngine) DesiredStates(context.Context) (map[ids.Target]DesiredState, error) {
	e.asked()
	return map[ids.Target]DesiredState{"a": {Weights: "2"}}, nil
}

func (e *oneEngine) Send(context.Context, Order, lease.Token) error {
	e.sent++
	return nil
}

// TestNoOrderWithoutTheLease checks that no order is sent if the lease ends before
// Reconcile, or while Reconcile reads the desired states.
func TestNoOrderWithoutTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		before, during time.Duration
		want           int
	}{
		"held": {0, 0, 1}, "ended before": {time.Second, 0, 0}, "ended during": {0, time.Second, 0},
	} {
		now := time.Unix(1000, 0)
		l := lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: time.Second}, func() time.Time { return now })
		if err := l.Try(t.Context()); err != nil {
			t.Fatal(err)
		}
		e := &oneEngine{asked: func() { now = now.Add(c.during) }}
		r := &Reconciler{Desired: e, Sender: e, Lease: l, Engines: e, Events: timeline.NewLog("vm", hlc.New(nil), 8)}
		now = now.Add(c.before)
		if err := r.Reconcile(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.Wait()
		if e.sent != c.want {
			t.Errorf("%s: sent %d orders, want %d", name, e.sent, c.want)
		}
	}
}
