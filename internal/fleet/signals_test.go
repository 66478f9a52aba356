package fleet

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestRetryAfter checks that a refused caller is asked to retry when the first target with a
// rate limit or requested pause takes a request again, and after the least delay if a target
// was passed over for a reason that ends sooner.
func TestRetryAfter(t *testing.T) {
	const least = 200 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	tuning := membership.DefaultTuning
	tuning.Grace = time.Hour
	f := New(membership.New("vm", tuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), func() time.Time { return now })
	var records []platform.Record
	for _, id := range []string{"a", "b"} {
		records = append(records, platform.Record{ID: id, Role: platform.RoleService, Service: "svc", Incarnation: 1})
	}
	records = append(records, platform.Record{ID: "other", Role: platform.RoleService, Service: "other", Incarnation: 1})
	f.Members.ApplyPlatform(records, now)
	f.Refresh()
	retryAfter := func(tried ...ids.Target) time.Duration {
		sc := f.Acquire()
		defer f.Release(sc)
		req := routing.Request{Service: "svc"}
		snap, d := f.Decide(&req, tried, sc)
		if d.Index >= 0 {
			t.Fatalf("target %s was picked, want none", snap.View.Targets[d.Index].ID)
		}
		return f.RetryAfter(&req, snap, sc, least)
	}
	f.ApplySignals("a", 1, membership.Signals{Rest: 2 * time.Second}, now)
	if got := retryAfter("b"); got != least {
		t.Errorf("retry after %v, want 200ms: one of the targets has only been tried before", got)
	}
	f.ApplySignals("b", 0, membership.Signals{Rest: time.Second}, now)
	if got := retryAfter(); got != time.Second {
		t.Errorf("retry after %v, want 1s, when the first target's pause ends", got)
	}
	f.ApplySignals("b", 1, membership.Signals{Limit: ratelimit.PerSecond(0.1)}, now)
	if got := retryAfter(); got != 2*time.Second {
		t.Errorf("retry after %v, want 2s: one target pauses for 2s and the other takes a request every 10s", got)
	}
}

// TestPeerLimitOfAnotherIncarnation checks that a peer's report for an incarnation that this VM
// does not know is ignored. If it were applied, a corrupted incarnation would make this VM
// ignore the target's own signals.
func TestPeerLimitOfAnotherIncarnation(t *testing.T) {
	f := New(membership.New("vm", membership.DefaultTuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), nil)
	f.Members.ApplyPlatform([]platform.Record{{ID: "a", Role: platform.RoleService, Service: "svc", Incarnation: 1}}, time.Now())
	f.Refresh()
	if f.ApplyPeerLimit(ratelimit.Report{Target: "a", Incarnation: 1 << 60, Limit: ratelimit.PerSecond(9)}) {
		t.Error("a peer's limit for an unknown incarnation was applied")
	}
	if !f.ApplySignals("a", 1, membership.Signals{Limit: ratelimit.PerSecond(2)}, time.Now()).Limit {
		t.Error("the target's own limit was not applied")
	}
	if !f.ApplyPeerLimit(ratelimit.Report{Target: "a", Incarnation: 1, Limit: ratelimit.PerSecond(3)}) {
		t.Error("a peer's limit for the known incarnation was not applied")
	}
}
