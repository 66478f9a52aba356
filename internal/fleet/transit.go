package fleet

import (
	"math"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/loadview"
)

// rateTimeConstant is the time in which a request's weight in the request rate decays to 1/e.
// It covers several requests of a VM that gets a ninetieth of 740 requests/s.
const rateTimeConstant = 2 * time.Second

// transit estimates how many requests other VMs have sent but not yet reported. It extrapolates
// from this VM's own request rate, since the load balancer spreads callers evenly over the VMs.
// Safe for concurrent use.
type transit struct {
	mu    sync.Mutex
	peers int                       // other VMs
	sent  map[string]*decayingCount // requests of this VM by service
}

// decayingCount is an exponentially decaying count of requests. The rate of requests is the
// count divided by rateTimeConstant.
type decayingCount struct {
	sum float64
	at  time.Time
}

// SetPeerCount sets how many other VMs send to the same targets.
func (f *Fleet) SetPeerCount(n int) {
	f.transit.mu.Lock()
	defer f.transit.mu.Unlock()
	f.transit.peers = max(n, 0)
}

// ratePerTarget estimates how many requests per second each of a service's targets gets from
// all VMs.
func (t *transit) ratePerTarget(service string, targets int, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sent[service]
	if r == nil || targets == 0 {
		return 0
	}
	return r.valueAt(now) / rateTimeConstant.Seconds() * float64(t.peers+1) / float64(targets)
}

// valueAt returns the count decayed to the time t.
func (r *decayingCount) valueAt(t time.Time) float64 {
	return r.sum * math.Exp(-t.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

// countSent counts a request of this VM to the service. It returns the estimated number of
// requests that the other VMs have sent to the service since they last reported their loads.
func (t *transit) countSent(service string, loads *loadview.Tracker, now time.Time) float32 {
	age := loads.MeanPeerAge(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = map[string]*decayingCount{}
	}
	r := t.sent[service]
	if r == nil {
		r = &decayingCount{}
		t.sent[service] = r
	}
	r.sum = r.valueAt(now) + 1
	r.at = now
	return float32(r.sum / rateTimeConstant.Seconds() * float64(t.peers) * age.Seconds())
}
