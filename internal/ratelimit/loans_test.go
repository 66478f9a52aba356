package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestCreditOnlyMoves has one of several VMs send all requests to a target that names a limit, with grants from the others, some of
// which get lost. In no window may the target get more than it tolerates, and the VM must use most of the limit.
func TestCreditOnlyMoves(t *testing.T) {
	const (
		window, length, step, round = 4 * time.Second, 40 * time.Second, 5 * time.Millisecond, 150 * time.Millisecond
		leastUsed                   = 0.75
	)
	for _, c := range []struct {
		vms  int
		rate float64
		lost float64
	}{{6, 60, 0}, {6, 60, 0.3}, {6, 1.3, 0}, {8, 12, 0.1}, {30, 20, 0.1}} {
		rng := rand.New(rand.NewPCG(uint64(c.vms), 1))
		now := time.Unix(1000, 0)
		var all []*Limiter
		for i := range c.vms {
			l := New(func() time.Time { return now })
			l.Position = func(ids.Target) Position { return Position{Rank: i, Live: c.vms, Listed: c.vms} }
			l.ObserveResponse("a", 1, PerSecond(c.rate), now)
			all = append(all, l)
		}
		var sent []time.Time
		most := 0
		for began := now; now.Sub(began) < length; now = now.Add(step) {
			if all[0].Take("a") {
				sent = append(sent, now)
			} else {
				all[0].Lacked("a")
			}
			if now.Sub(began)%round < step {
				for _, target := range all[0].Lacking() {
					for _, l := range all[1:] {
						if n := l.Give(target); rng.Float64() >= c.lost {
							all[0].Receive(target, n)
						}
					}
				}
				for _, l := range all {
					l.ObserveResponse("a", 1, PerSecond(c.rate), now) // the limit stays confirmed
				}
			}
			n := 0
			for i := len(sent) - 1; i >= 0 && now.Sub(sent[i]) < window; i-- {
				n++
			}
			most = max(most, n)
		}
		tolerated := c.rate*window.Seconds()*1.5 + 5
		used := float64(len(sent)) / (c.rate * length.Seconds())
		t.Logf("%d VMs, %.1f/s, %.1f lost: %d in a window of %.0f tolerated, %.2f used", c.vms, c.rate, c.lost, most, tolerated, used)
		if float64(most) > tolerated {
			t.Errorf("%d VMs, %.1f/s: %d requests in a window, %.0f are tolerated", c.vms, c.rate, most, tolerated)
		}
		if used < leastUsed*(1-c.lost) && c.vms <= 8 {
			t.Errorf("%d VMs, %.1f/s: %.2f of the limit was used", c.vms, c.rate, used)
		}
	}
}
