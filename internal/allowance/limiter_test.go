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

// at is a clock that tests move.
type at struct{ t time.Time }

func (a *at) now() time.Time                 { return a.t }
func (a *at) pass(d time.Duration)           { a.t = a.t.Add(d) }
func newAt() *at                             { return &at{time.Unix(1_000_000, 0)} }
func limits(l Limit) map[ids.Workspace]Limit { return map[ids.Workspace]Limit{"w": l} }

// TestSidesOfACut draws VMs with any use, split into sides that hear their own side only. The
// parts of a limit that the sides go by must not exceed the whole, and no VM is left with none.
func TestSidesOfACut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := newAt()
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
		tell := func(rounds int, hears func(i, j int) bool) {
			for range rounds {
				clock.pass(SweepEvery)
				for i, l := range vms {
					l.Take(Call{Workspace: "w", Cost: used[i] * SweepEvery.Seconds()})
				}
				for i, l := range vms {
					seq++
					for j, o := range vms {
						if i != j && hears(i, j) {
							o.RecordUse(nameOf(i), 1, seq, l.OwnUse())
						}
					}
				}
				for _, l := range vms {
					l.Sweep()
				}
			}
		}
		tell(32, func(int, int) bool { return true })
		tell(10, func(i, j int) bool { return sides[i] == sides[j] })
		parts := map[int]float64{}
		for i, l := range vms {
			part := 1 - l.accounts[HashOf("w")].reserved
			if part <= 0 {
				rt.Fatalf("VM %d has nothing", i)
			}
			parts[sides[i]] = max(parts[sides[i]], part)
		}
		if sum := parts[0] + parts[1]; sum > 1.001 {
			rt.Fatalf("the sides go by %.4f of the limit", sum)
		}
	})
}

// TestSilentPeer: the limit is shared with a busy peer by what it says, and when it falls
// silent by what it used.
func TestSilentPeer(t *testing.T) {
	clock := newAt()
	l := New("a", clock.now)
	l.SetVMs([]ids.VM{"a", "b"})
	l.SetLimits(limits(Limit{100, 0}))
	for seq := range uint64(20) {
		clock.pass(SweepEvery)
		l.RecordUse("b", 1, seq+1, []Use{{Workspace: HashOf("w"), Used: 100, Offered: 900}})
		l.Sweep()
	}
	if s := l.Take(Call{Workspace: "w", Cost: 1}); s.Admitted || s.Demand < 899 {
		t.Fatalf("beside a peer that is asked for nine times the limit: %+v", s)
	}
	for range 12 {
		clock.pass(SweepEvery)
		l.Sweep()
	}
	if s := l.Take(Call{Workspace: "w", Cost: 1}); s.Reserved < 0.9 {
		t.Fatalf("beside one that had used everything and is silent: %+v", s)
	}
}

// TestReturn: what has not run is given back, on this VM and to the others.
func TestReturn(t *testing.T) {
	clock := newAt()
	l := New("a", clock.now)
	l.SetVMs([]ids.VM{"a"})
	l.SetLimits(limits(Limit{10, 100}))
	for i := range 100 {
		c := Call{Workspace: "w", Cost: 90}
		if s := l.Take(c); !s.Admitted {
			t.Fatalf("call %d was turned away: %+v", i, s)
		}
		clock.pass(10 * time.Millisecond)
		l.Return(c, clock.t.Add(-10*time.Millisecond))
	}
	if u := l.OwnUse(); len(u) != 1 || u[0].Used > 1e-3 {
		t.Fatalf("peers are told %+v", u)
	}
}

// TestStartWithoutTheList: a VM that has read the limits and not yet which others there are has
// no burst, nor does it have one when it finds out.
func TestStartWithoutTheList(t *testing.T) {
	clock := newAt()
	l := New("a", clock.now)
	l.SetLimits(limits(Limit{20, 20}))
	if s := l.Take(Call{Workspace: "w", Cost: 1}); s.Admitted || s.RetryAfter <= 0 {
		t.Fatalf("before the list was read: %+v", s)
	}
	if s := l.Take(Call{Workspace: "unlimited", Cost: 1}); !s.Admitted {
		t.Fatalf("a workspace without a limit: %+v", s)
	}
	clock.pass(20 * time.Millisecond)
	l.SetVMs([]ids.VM{"a", "b", "c", "d"})
	in := 0
	for range 100 {
		if l.Take(Call{Workspace: "w", Cost: 1}).Admitted {
			in++
		}
	}
	if in > 6 {
		t.Fatalf("%d calls at once were let in on one of four VMs that start; a quarter of a second's rate is 5", in)
	}
}

// TestGarbledUse: numbers that no VM can have counted are left out.
func TestGarbledUse(t *testing.T) {
	clock := newAt()
	l := New("a", clock.now)
	l.SetVMs([]ids.VM{"a", "b"})
	l.SetLimits(limits(Limit{100, 100}))
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for i, u := range []Use{{Used: nan}, {Offered: nan}, {Used: inf}, {Used: -5}, {Offered: inf}} {
		u.Workspace = HashOf("w")
		clock.pass(SweepEvery)
		l.RecordUse("b", 1, uint64(i+1), []Use{u})
		l.RecordWorkspaceUse("b", u)
	}
	clock.pass(2 * startFor)
	l.Sweep()
	l.RecordUse("b", 1, 100, nil)
	clock.pass(SweepEvery)
	if s := l.Take(Call{Workspace: "w", Cost: 1}); !s.Admitted {
		t.Fatalf("after garbled words: %+v", s)
	}
}

// TestBounds: the bucket gives out in a window what is allowed and no more than the part of the
// tolerance that is aimed at.
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
			rt.Fatalf("%+v gives out %.1f in a window, %.1f are allowed", l, given, allowed)
		}
		if l.Unlimited() != (rate <= 0 && burst <= 0) {
			rt.Fatalf("%+v for %v, %v", l, rate, burst)
		}
	})
}

// TestManyWorkspaces: accounts of workspaces that are gone are forgotten.
func TestManyWorkspaces(t *testing.T) {
	clock := newAt()
	l := New("a", clock.now)
	for i := range 1000 {
		l.SetLimits(map[ids.Workspace]Limit{ids.Workspace(fmt.Sprint("w", i)): {1, 1}})
		l.Take(Call{Workspace: ids.Workspace(fmt.Sprint("w", i)), Cost: 1})
	}
	clock.pass(2 * forgetAfter)
	l.Sweep()
	if n := len(l.accounts); n != 1 {
		t.Fatalf("%d accounts are kept", n)
	}
}
