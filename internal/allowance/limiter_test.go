package allowance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// testClock is a clock that tests advance.
type testClock struct{ t time.Time }

func (a *testClock) now() time.Time          { return a.t }
func (a *testClock) advance(d time.Duration) { a.t = a.t.Add(d) }
func newTestClock() *testClock               { return &testClock{time.Unix(1_000_000, 0)} }
func limits(l Limit) map[ids.Workspace]Limit { return map[ids.Workspace]Limit{"w": l} }

// TestPartitionSides generates VMs with arbitrary use and partitions them into two sides. The
// fractions of the limit that the sides use must add up to at most the whole, and no VM may be
// left without a share.
func TestPartitionSides(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := newTestClock()
		n := rapid.IntRange(2, 8).Draw(rt, "vms")
		sides := rapid.SliceOfN(rapid.IntRange(0, 1), n, n).Draw(rt, "sides")
		used := rapid.SliceOfN(rapid.Float64Range(0, 1000), n, n).Draw(rt, "used")
		vms, seq := make([]*Limiter, n), uint64(0)
		var names []ids.VM
		for i := range n {
			vms[i] = New(nameOf(i), clock.now)
			names = append(names, nameOf(i))
		}
		for _, l := range vms {
			l.SetVMs(names)
			l.SetLimits(limits(Limit{1000, 1000}))
		}
		exchangeReports := func(rounds int, connected func(i, j int) bool) {
			for range rounds {
				clock.advance(SweepEvery)
				for i, l := range vms {
					l.Take(Call{Workspace: "w", Cost: used[i] * SweepEvery.Seconds()})
				}
				for i, l := range vms {
					seq++
					for j, o := range vms {
						if i != j && connected(i, j) {
							o.RecordUse(nameOf(i), 1, seq, l.OwnUse())
						}
					}
				}
				for _, l := range vms {
					l.Sweep()
				}
			}
		}
		exchangeReports(32, func(int, int) bool { return true })
		exchangeReports(10, func(i, j int) bool { return sides[i] == sides[j] })
		shares := map[int]float64{}
		for i, l := range vms {
			share := 1 - l.accounts[HashOf("w")].reserved
			if share <= 0 {
				rt.Fatalf("VM %d has no share of the limit", i)
			}
			shares[sides[i]] = max(shares[sides[i]], share)
		}
		if sum := shares[0] + shares[1]; sum > 1.001 {
			rt.Fatalf("the sides of the partition use %.4f of the limit together, want at most 1", sum)
		}
	})
}

// TestUnresponsivePeer checks that the limit is shared with a busy peer by the demand that it
// reports, and by its last report once it is unresponsive.
func TestUnresponsivePeer(t *testing.T) {
	clock := newTestClock()
	l := New("a", clock.now)
	l.SetVMs([]ids.VM{"a", "b"})
	l.SetLimits(limits(Limit{100, 0}))
	for seq := range uint64(20) {
		clock.advance(SweepEvery)
		l.RecordUse("b", 1, seq+1, []Use{{Workspace: HashOf("w"), Used: 100, Offered: 900}})
		l.Sweep()
	}
	if s := l.Take(Call{Workspace: "w", Cost: 1}); s.Admitted || s.Demand < 899 {
		t.Fatalf("with a peer whose demand is nine times the limit: got %+v, want a refusal and a demand of at least 899", s)
	}
	for range 12 {
		clock.advance(SweepEvery)
		l.Sweep()
	}
	if s := l.Take(Call{Workspace: "w", Cost: 1}); s.Reserved < 0.9 {
		t.Fatalf("with an unresponsive peer that had used the whole limit: got %+v, want at least 0.9 reserved", s)
	}
}

// TestReturnUnusedCost checks that the cost of a call that has not run is returned on this VM and
// in the reports to others.
func TestReturnUnusedCost(t *testing.T) {
	clock := newTestClock()
	l := New("a", clock.now)
	l.SetVMs([]ids.VM{"a"})
	l.SetLimits(limits(Limit{10, 100}))
	for i := range 100 {
		c := Call{Workspace: "w", Cost: 90}
		if s := l.Take(c); !s.Admitted {
			t.Fatalf("call %d was refused although the cost of all earlier ones was returned: %+v", i, s)
		}
		clock.advance(10 * time.Millisecond)
		l.Return(c, clock.t.Add(-10*time.Millisecond))
	}
	if u := l.OwnUse(); len(u) != 1 || u[0].Used > 1e-3 {
		t.Fatalf("reported to peers: got %+v, want one element with nothing used", u)
	}
}

// TestStartBeforeVMList checks that a VM that has read the limits but not the list of VMs has no
// burst, and gets none when it reads the list.
func TestStartBeforeVMList(t *testing.T) {
	clock := newTestClock()
	l := New("a", clock.now)
	l.SetLimits(limits(Limit{20, 20}))
	if s := l.Take(Call{Workspace: "w", Cost: 1}); s.Admitted || s.RetryAfter <= 0 {
		t.Fatalf("before the list of VMs was read: got %+v, want a refusal with a time to retry", s)
	}
	if s := l.Take(Call{Workspace: "unlimited", Cost: 1}); !s.Admitted {
		t.Fatalf("a workspace without a limit: got %+v, want the call admitted", s)
	}
	clock.advance(20 * time.Millisecond)
	l.SetVMs([]ids.VM{"a", "b", "c", "d"})
	admitted := 0
	for range 100 {
		if l.Take(Call{Workspace: "w", Cost: 1}).Admitted {
			admitted++
		}
	}
	if admitted > 6 {
		t.Fatalf("one of four starting VMs admitted %d calls at once, want at most 6; a quarter of one second's rate is 5", admitted)
	}
}

// TestMalformedUse checks that reports with numbers that no VM can have counted are ignored.
func TestMalformedUse(t *testing.T) {
	clock := newTestClock()
	l := New("a", clock.now)
	l.SetVMs([]ids.VM{"a", "b"})
	l.SetLimits(limits(Limit{100, 100}))
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for i, u := range []Use{{Used: nan}, {Offered: nan}, {Used: inf}, {Used: -5}, {Offered: inf}} {
		u.Workspace = HashOf("w")
		clock.advance(SweepEvery)
		l.RecordUse("b", 1, uint64(i+1), []Use{u})
		l.RecordWorkspaceUse("b", u)
	}
	clock.advance(2 * startPeriod)
	l.Sweep()
	l.RecordUse("b", 1, 100, nil)
	clock.advance(SweepEvery)
	if s := l.Take(Call{Workspace: "w", Cost: 1}); !s.Admitted {
		t.Fatalf("after malformed reports: got %+v, want the call admitted", s)
	}
}

// TestBounds checks that in a window the bucket of Bounds.Limit admits at least what is allowed,
// and beyond that at most half of the tolerance.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := Bounds{
			Window: time.Duration(rapid.IntRange(1, 60).Draw(rt, "window")) * time.Second,
			Excess: rapid.Float64Range(0, 0.5).Draw(rt, "excess"), Slack: rapid.Float64Range(0, 1e6).Draw(rt, "slack"),
		}
		rate, burst := rapid.Float64Range(0, 1e6).Draw(rt, "rate"), rapid.Float64Range(0, 1e6).Draw(rt, "burst")
		l := b.Limit(rate, burst)
		allowed := rate*b.Window.Seconds() + burst
		given := l.Rate*b.Window.Seconds() + l.Burst
		if given < allowed*0.9999 || given > allowed+(allowed*b.Excess+b.Slack)*0.5+1 {
			rt.Fatalf("%+v admits %.1f units in a window, want at least %.1f and at most half of the tolerance more", l, given, allowed)
		}
		if l.Unlimited() != (rate <= 0 && burst <= 0) {
			rt.Fatalf("%+v for a rate of %v and a burst of %v: want it unlimited only if both are zero", l, rate, burst)
		}
	})
}

// TestIdleAccountsDropped checks that the accounts of workspaces whose limit was removed are dropped
// once they are idle.
func TestIdleAccountsDropped(t *testing.T) {
	clock := newTestClock()
	l := New("a", clock.now)
	for i := range 1000 {
		l.SetLimits(map[ids.Workspace]Limit{ids.Workspace(fmt.Sprint("w", i)): {1, 1}})
		l.Take(Call{Workspace: ids.Workspace(fmt.Sprint("w", i)), Cost: 1})
	}
	clock.advance(2 * forgetAfter)
	l.Sweep()
	if n := len(l.accounts); n != 1 {
		t.Fatalf("%d accounts are left, want 1", n)
	}
}
