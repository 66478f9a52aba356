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

// TestComeBack tells a caller to come back when the first target that asked not to be sent more
// takes a request again; and soon, where another target was passed over for what passes soon.
func TestComeBack(t *testing.T) {
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
	f.Members.Platform(records, now)
	f.Refresh()
	comeBack := func(tried ...ids.Target) time.Duration {
		sc := f.Acquire()
		defer f.Release(sc)
		req := routing.Request{Service: "svc"}
		snap, d := f.Decide(&req, tried, sc)
		if d.Index >= 0 {
			t.Fatalf("%s takes the request", snap.View.Targets[d.Index].ID)
		}
		return f.RetryAfter(&req, snap, sc, least)
	}
	f.ApplySignals("a", 1, membership.Signals{Rest: 2 * time.Second}, now)
	if got := comeBack("b"); got != least {
		t.Errorf("come back after %v, though a target was only tried", got)
	}
	f.ApplySignals("b", 0, membership.Signals{Rest: time.Second}, now)
	if got := comeBack(); got != time.Second {
		t.Errorf("come back after %v, the first rest ends after a second", got)
	}
	f.ApplySignals("b", 1, membership.Signals{Limit: ratelimit.PerSecond(0.1)}, now)
	if got := comeBack(); got != 2*time.Second {
		t.Errorf("come back after %v, one rests for 2s and the other takes a request in 10s", got)
	}
}

// TestHeardLimitOfAnotherIncarnation leaves out what a peer says of an incarnation that this VM
// does not know. Taken in, a garbled number would have shut out all that the target itself says.
func TestHeardLimitOfAnotherIncarnation(t *testing.T) {
	f := New(membership.New("vm", membership.DefaultTuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), nil)
	f.Members.Platform([]platform.Record{{ID: "a", Role: platform.RoleService, Service: "svc", Incarnation: 1}}, time.Now())
	f.Refresh()
	if f.ApplyPeerLimit(ratelimit.Word{Target: "a", Incarnation: 1 << 60, Limit: ratelimit.PerSecond(9)}) {
		t.Error("a word of an unknown incarnation counts")
	}
	if !f.ApplySignals("a", 1, membership.Signals{Limit: ratelimit.PerSecond(2)}, time.Now()).Limit {
		t.Error("what the target says itself does not count")
	}
	if !f.ApplyPeerLimit(ratelimit.Word{Target: "a", Incarnation: 1, Limit: ratelimit.PerSecond(3)}) {
		t.Error("a word of the known incarnation does not count")
	}
}
