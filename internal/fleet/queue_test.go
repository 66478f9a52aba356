package fleet

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestMeanQueueIsUncorrected guards against a mean queue that contains the measured slowdown of targets, which admission
// would apply a second time, or the targets of other services.
func TestMeanQueueIsUncorrected(t *testing.T) {
	now := time.Now()
	m := membership.New("vm", membership.Tuning{Grace: time.Hour, Failures: 3, BreakerOpen: time.Second})
	record := func(id, service string) platform.Record {
		return platform.Record{ID: id, Role: platform.RoleService, Service: service, Addr: id, Slots: 1, Incarnation: 1}
	}
	m.ApplyPlatform([]platform.Record{record("a", "s"), record("b", "s"), record("c", "other")}, now)
	f := New(m, cacheview.New(64, nil), loadview.New(), routing.NewFetching(), func() time.Time { return now })
	f.SetDefaultPrefillRate(10_000)
	f.Refresh()
	for range 3 {
		defer f.Load.Sent("a", 1000, now).End()
		defer f.Load.Sent("c", 5000, now).End()
	}
	for range 50 {
		f.Load.ObserveTTFT("a", 0, time.Second, now)
	}
	sc := f.Acquire()
	defer f.Release(sc)
	snap, d := f.Decide(&routing.Request{Service: "s", Tokens: 1000}, nil, sc)
	if d.Index < 0 || snap.View.Targets[d.Index].ID != "b" {
		t.Fatalf("decided for %d, want the idle target", d.Index)
	}
	slowest := 1.0
	for i := range snap.View.Targets {
		slowest = max(slowest, sc.Slowdown(i))
	}
	if slowest < 2 {
		t.Fatalf("the slowdown is %v, want one that could show", slowest)
	}
	queue, over, targets := sc.MeanQueue(snap, "s")
	if (queue-150*time.Millisecond).Abs() > time.Millisecond || over != 1.5 || targets != 2 {
		t.Errorf("mean queue of %v and %v calls at %d targets, want 150ms and 1.5 at 2", queue, over, targets)
	}
	if got := OverSlots(0.75); got != 3 {
		t.Errorf("a wait of 0.75 s stands for %v calls, want 3", got)
	}
}
