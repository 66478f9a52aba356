package news

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// TestLimitsInMessages checks that the receiver of a message gets the rate limits and ends of
// limits that it contains, except those of unknown targets.
func TestLimitsInMessages(t *testing.T) {
	x := newExchange()
	x.SetPeers([]Peer{{VM: "vm1", Addr: "a:2"}})
	x.Unresponsive, x.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
	var got []ratelimit.Report
	x.OnLimit = func(w ratelimit.Report) { got = append(got, w) }
	want := []ratelimit.Report{
		{Target: "e1", Incarnation: 3, Limit: ratelimit.PerSecond(1.3), Age: 250 * time.Millisecond},
		{Target: "e2", Incarnation: 1, Age: time.Second},
	}
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1, Seq: 1, Limits: append(want, ratelimit.Report{Target: "unknown", Limit: ratelimit.PerSecond(1)})})
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestLimitsInDigests checks that a sum of digests has the latest rate limit report of each target,
// that ages grow by the time since a digest was received, and that a VM ignores its own reports.
func TestLimitsInDigests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	report := func(vm ids.VM, inc ids.Incarnation, limited bool, age int64) wireLimit {
		return wireLimit{VM: shortenVM(vm), Target: shorten("e1"), Incarnation: inc, Limited: limited, PerSecond: 2, AgeMs: age}
	}
	for _, c := range []struct {
		name    string
		reports []wireLimit
		want    wireLimit
	}{
		{"the latest report", []wireLimit{report("vm1", 1, true, 900), report("vm2", 1, false, 200), report("vm3", 1, true, 500)}, report("vm2", 1, false, 300)},
		{"of two with the same age, the one that sets a limit", []wireLimit{report("vm1", 1, false, 200), report("vm2", 1, true, 200)}, report("vm2", 1, true, 300)},
		{"the latest incarnation", []wireLimit{report("vm1", 2, false, 900), report("vm2", 1, true, 100)}, report("vm1", 2, false, 1000)},
	} {
		var parts []receivedDigest
		for _, w := range c.reports {
			parts = append(parts, receivedDigest{digest{Limits: []wireLimit{w}}, now.Add(-100 * time.Millisecond)})
		}
		if got := sum(parts, now).Limits; len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
	x, received := newExchange(), 0
	x.OnLimit = func(ratelimit.Report) { received++ }
	x.applyLimits([]wireLimit{report("vm0", 1, true, 0), report("vm1", 1, true, 0)})
	if received != 1 {
		t.Errorf("%d reports were applied, want 1: the other one is this VM's own", received)
	}
}
