package fleet

import (
	"math"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/loadview"
)

// rateMemory is within how long the rate of this VM's calls forgets all but a 1/e: several
// calls of a VM that sees a ninetieth of 740 calls/s.
const rateMemory = 2 * time.Second

// crossing counts what other VMs send while their news are on the way, by what this VM sends
// itself: the balancer spreads callers over the VMs. Safe for concurrent use.
type crossing struct {
	mu     sync.Mutex
	others int // VMs
	calls  map[string]*callRate
}

// callRate is a decaying count of calls.
type callRate struct {
	sum float64
	at  time.Time
}

// SetPeerCount tells how many other VMs send to the same targets.
func (f *Fleet) SetPeerCount(n int) {
	f.crossing.mu.Lock()
	defer f.crossing.mu.Unlock()
	f.crossing.others = max(n, 0)
}

// perTarget is how many calls a second each of a service's targets gets from all VMs, about.
func (c *crossing) perTarget(service string, targets int, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.calls[service]
	if r == nil || targets == 0 {
		return 0
	}
	return r.now(now) / rateMemory.Seconds() * float64(c.others+1) / float64(targets)
}

// now is the count at a moment.
func (r *callRate) now(t time.Time) float64 {
	return r.sum * math.Exp(-t.Sub(r.at).Seconds()/rateMemory.Seconds())
}

// sent takes a decision on a call in, and returns how many calls to the service the other VMs
// have sent, about, since they told of their loads.
func (c *crossing) sent(service string, loads *loadview.Tracker, now time.Time) float32 {
	age := loads.MeanPeerAge(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[string]*callRate{}
	}
	r := c.calls[service]
	if r == nil {
		r = &callRate{}
		c.calls[service] = r
	}
	r.sum = r.now(now) + 1
	r.at = now
	return float32(r.sum / rateMemory.Seconds() * float64(c.others) * age.Seconds())
}
