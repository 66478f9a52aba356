package news

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// TestLimitsInMessages takes what a peer says of limits and their ends out of a message as it
// was put in.
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
	x.takeMessage(t, Message{VM: "vm1", Incarnation: 1, Seq: 1, Limits: append(want, ratelimit.Report{Target: "unknown", Limit: ratelimit.PerSecond(1)})})
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestLimitsInDigests sums up what VMs say of a target to the latest word, ages it by the time
// that it lies, and leaves out a VM's own words that come back.
func TestLimitsInDigests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	word := func(vm ids.VM, inc ids.Incarnation, named bool, age int64) wireLimit {
		return wireLimit{VM: shortenVM(vm), Target: shorten("e1"), Incarnation: inc, Named: named, PerSecond: 2, AgeMs: age}
	}
	for _, c := range []struct {
		name  string
		words []wireLimit
		want  wireLimit
	}{
		{"the latest", []wireLimit{word("vm1", 1, true, 900), word("vm2", 1, false, 200), word("vm3", 1, true, 500)}, word("vm2", 1, false, 300)},
		{"the limit of two as old", []wireLimit{word("vm1", 1, false, 200), word("vm2", 1, true, 200)}, word("vm2", 1, true, 300)},
		{"the last incarnation", []wireLimit{word("vm1", 2, false, 900), word("vm2", 1, true, 100)}, word("vm1", 2, false, 1000)},
	} {
		var parts []heardDigest
		for _, w := range c.words {
			parts = append(parts, heardDigest{digest{Limits: []wireLimit{w}}, now.Add(-100 * time.Millisecond)})
		}
		if got := sum(parts, now).Limits; len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
	x, heard := newExchange(), 0
	x.OnLimit = func(ratelimit.Report) { heard++ }
	x.takeLimits([]wireLimit{word("vm0", 1, true, 0), word("vm1", 1, true, 0)})
	if heard != 1 {
		t.Errorf("%d words were heard, one of two is this VM's own", heard)
	}
}
