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

// TestSharesOfBrittleTargetNeverExceedItsSlots sends requests from many VMs, which know nothing of each other's loads,
// to a brittle target, and checks that those within their shares always find room.
func TestSharesOfBrittleTargetNeverExceedItsSlots(t *testing.T) {
	for _, slots := range []int{1, 6, 16, 64} {
		for _, vms := range []int{1, 3, 6, 7, 64, 195} {
			sum := 0
			for rank := range vms {
				sum += slotShare(slots, ratelimit.Position{Rank: rank, Live: vms, Listed: vms})
			}
			if sum != slots {
				t.Errorf("%d VMs have shares of %d in all, of %d slots", vms, sum, slots)
			}
		}
	}
}

// brittleFleet is a fleet of two targets of one service, of which the first is brittle.
func brittleFleet(t *testing.T, p ratelimit.Position, refusals float64) (*Fleet, *time.Time) {
	t.Helper()
	now := time.Now()
	m := membership.New("vm", membership.Tuning{Grace: time.Hour, Failures: 3, BreakerOpen: time.Second})
	var records []platform.Record
	for _, id := range []string{"a", "b"} {
		records = append(records, platform.Record{ID: id, Role: platform.RoleService, Service: "s", Addr: id, Slots: 6, Incarnation: 1})
	}
	m.ApplyPlatform(records, now)
	f := New(m, cacheview.New(64, nil), loadview.New(), routing.NewFetching(), func() time.Time { return now })
	m.Limits.Position = func(ids.Target) ratelimit.Position { return p }
	f.ApplySignals("a", 1, membership.Signals{Brittle: membership.Brittle{Announced: true, Refusals: refusals}}, now)
	return f, &now
}

// TestBrittleTargetGetsNoMoreThanTheShare checks how many requests one VM sends to brittle targets at once, whether or
// not they have answered it yet.
func TestBrittleTargetGetsNoMoreThanTheShare(t *testing.T) {
	for _, c := range []struct {
		name     string
		position ratelimit.Position
		refusals float64
		want     int // requests to two targets
	}{
		{"alone", ratelimit.Position{Live: 1, Listed: 1}, 1, 12},
		{"one of three", ratelimit.Position{Rank: 2, Live: 3, Listed: 3}, 1, 4},
		{"one of three that may risk a refusal", ratelimit.Position{Rank: 0, Live: 3, Listed: 3}, 10, 6},
		{"without a share", ratelimit.Position{Rank: 6, Live: 8, Listed: 8}, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, now := brittleFleet(t, c.position, c.refusals)
			sent := 0
			for ; sent < 100; sent++ {
				sc := f.Acquire()
				snap, d := f.Decide(&routing.Request{Service: "s"}, nil, sc)
				f.Release(sc)
				if d.Index < 0 {
					break
				}
				f.Load.Sent(snap.View.Targets[d.Index].ID, 0, *now)
			}
			if sent != c.want {
				t.Errorf("the VM sent %d requests at once, want %d", sent, c.want)
			}
		})
	}
}

// TestRefusalHoldsBackFromBrittleTarget checks that a VM pauses after a refusal, and not for ever.
func TestRefusalHoldsBackFromBrittleTarget(t *testing.T) {
	f, now := brittleFleet(t, ratelimit.Position{Rank: 0, Live: 6, Listed: 6}, 3)
	eligible := func() (n int) {
		f.MarkDirty()
		sc := f.Acquire()
		defer f.Release(sc)
		f.Decide(&routing.Request{Service: "s"}, nil, sc)
		return sc.Routing.Filtered[routing.Passed]
	}
	if n := eligible(); n != 2 {
		t.Fatalf("%d of 2 targets are eligible", n)
	}
	f.Refused("a", *now)
	f.Refused("b", *now) // has not announced that it is brittle
	if n := eligible(); n != 1 {
		t.Errorf("%d targets are eligible after a refusal of one", n)
	}
	*now = now.Add(2100 * time.Millisecond) // six VMs, three refusals in a second
	if n := eligible(); n != 2 {
		t.Errorf("%d of 2 targets are eligible after the pause", n)
	}
	f.ApplySignals("a", 1, membership.Signals{}, *now)
	f.ApplySignals("b", 1, membership.Signals{}, *now)
	if n := len(f.Members.BrittleTargets()); n != 0 {
		t.Errorf("%d targets count as brittle that no longer say so", n)
	}
}
