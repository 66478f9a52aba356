package admission

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
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

// singleVM returns the allowances of the only VM of a fleet.
func singleVM(now func() time.Time) *allowance.Limiter {
	l := allowance.New("vm", now)
	l.SetVMs([]ids.VM{"vm"})
	return l
}

func TestAdmit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	l := New(DefaultTuning, singleVM(clock), clock)
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
		t.Fatalf("beyond the concurrency limit: got refusal %v, want %v with outcome %v", refusal, outcome.CodeRateLimited, outcome.NotRun)
	}
	for _, r := range release {
		r()
	}
	refused := 0
	var first, last time.Duration // shortest and longest retry delay
	for range 20 {
		r, refusal := l.Admit(ws, limits)
		if refusal != nil {
			refused++
			if refusal.RetryAfter <= 0 {
				t.Fatalf("got a retry delay of %v, want more than 0", refusal.RetryAfter)
			}
			if first == 0 {
				first = refusal.RetryAfter
			}
			first, last = min(first, refusal.RetryAfter), max(last, refusal.RetryAfter)
			continue
		}
		r()
	}
	if refused != 20-7 { // a burst of ten, three of which are used
		t.Fatalf("%d requests refused, want 13", refused)
	}
	// At 5 requests/s the rate has room for all 13 after 2.6 s; their retry delays must be
	// spread out.
	if longest := 2600*time.Millisecond + time.Second; last > longest || last-first < 200*time.Millisecond {
		t.Fatalf("got retry delays of %v to %v, want a spread of at least 200ms within %v", first, last, longest)
	}
	if l.InFlight() != 0 {
		t.Fatalf("%d requests in flight after all have ended, want 0", l.InFlight())
	}
}

// TestOverload checks the order in which an overloaded VM refuses: between the soft and
// the hard bound only workspaces above their share, beyond the hard bound every workspace,
// except for requests of a higher priority, whose hard bound is higher.
func TestOverload(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	l := New(DefaultTuning, singleVM(clock), clock)
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
		t.Error("the workspace above its share was admitted")
	}
	if r := l.Check("modest", 0, 1, wait); r != nil {
		t.Errorf("the workspace below its share was refused: %v", r)
	}
	hard := DefaultTuning.HardWait + time.Second
	if l.Check("modest", 0, 1, hard) == nil {
		t.Error("a request beyond the hard bound was admitted")
	}
	if r := l.Check("modest", 2, 1, hard); r != nil {
		t.Errorf("a request of a higher priority was refused: %v", r)
	}
}
