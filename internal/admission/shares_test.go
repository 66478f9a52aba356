package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

const ws ids.Workspace = "w"

// TestSharesOfAPartition draws VMs with any demand, split into sides that hear
// their own side only. The shares of all VMs together must not exceed the whole,
// and a VM with demand must never be left without any.
func TestSharesOfAPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		n := rapid.IntRange(1, 8).Draw(rt, "vms")
		sides := rapid.SliceOfN(rapid.IntRange(0, 1), n, n).Draw(rt, "sides")
		rates := rapid.SliceOfN(rapid.Float64Range(0, 100), n, n).Draw(rt, "rates")
		sum := 0.0
		for i := range n {
			s := NewShares(func() time.Time { return now })
			s.SetVMs(n)
			s.own[ws] = &demand{rate: rates[i], at: now}
			for j := range n {
				if i != j && sides[i] == sides[j] {
					s.Hello(fmt.Sprint("vm", j))
					s.Told(fmt.Sprint("vm", j), HashOf(ws), rates[j])
				}
			}
			share := s.Share(ws, now)
			if share <= 0 {
				rt.Fatalf("vm %d has nothing", i)
			}
			sum += share
		}
		if sum > 1.0001 {
			rt.Fatalf("shares add up to %.3f", sum)
		}
	})
}

// A source that fell silent is counted as listed and silent, not by what it said.
func TestSilentSource(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := NewShares(func() time.Time { return now })
	s.SetVMs(2)
	s.Hello("vm1")
	s.Told("vm1", HashOf(ws), 1000)
	if got := s.Share(ws, now); got > 0.01 {
		t.Fatalf("share %.3f beside a busy peer", got)
	}
	now = now.Add(toldFor + time.Second)
	if got := s.Share(ws, now); got < 0.4 || got > 0.5 {
		t.Fatalf("share %.3f beside a silent one", got)
	}
}

// whole gives a VM all of the limits.
type whole struct{}

func (whole) Share(ids.Workspace, time.Time) float64 { return 1 }

func TestAdmit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := New(DefaultTuning, whole{}, func() time.Time { return now })
	limits := config.Limits{RequestsPerSecond: 5, Concurrency: 3, Weight: 1}
	var release []func()
	for range 3 {
		r, refusal := l.Admit(ws, limits)
		if refusal != nil {
			t.Fatal(refusal)
		}
		release = append(release, r)
	}
	if _, refusal := l.Admit(ws, limits); refusal == nil || refusal.Code != outcome.CodeRateLimited || refusal.Outcome != outcome.NotRun {
		t.Fatalf("beyond the concurrency: %v", refusal)
	}
	for _, r := range release {
		r()
	}
	refused := 0
	for range 20 {
		r, refusal := l.Admit(ws, limits)
		if refusal != nil {
			refused++
			if refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Second {
				t.Fatalf("come back after %v", refusal.RetryAfter)
			}
			continue
		}
		r()
	}
	if refused != 20-7 { // a burst of ten, three of which are used
		t.Fatalf("%d refused", refused)
	}
	if l.InFlight() != 0 {
		t.Fatalf("%d in flight", l.InFlight())
	}
}

// In overload the workspace above its share is refused first, a higher priority
// last, and past the bound everybody.
func TestOverload(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := New(DefaultTuning, whole{}, func() time.Time { return now })
	limits := config.Limits{RequestsPerSecond: 1000, Concurrency: 1000, Weight: 1}
	for _, w := range []ids.Workspace{"greedy", "modest"} {
		if _, refusal := l.Admit(w, limits); refusal != nil {
			t.Fatal(refusal)
		}
	}
	l.Check("greedy", 0, 90_000, 0)
	l.Check("modest", 0, 10_000, 0)
	now = now.Add(2 * time.Second)
	wait := 3 * time.Second
	if l.Check("greedy", 0, 1, wait) == nil {
		t.Error("the workspace above its share was taken in")
	}
	if r := l.Check("modest", 0, 1, wait); r != nil {
		t.Errorf("the workspace below its share was refused: %v", r)
	}
	hard := DefaultTuning.HardWait + time.Second
	if l.Check("modest", 0, 1, hard) == nil {
		t.Error("past the bound it was taken in")
	}
	if r := l.Check("modest", 2, 1, hard); r != nil {
		t.Errorf("a higher priority was refused: %v", r)
	}
}
