package admission

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Shares divides each workspace's limits between the VMs by demand. Every VM
// tells peers the rate that callers want of it; a VM's share is its part of the
// sum. A share is safe when VMs can't hear each other: a VM that is listed and
// silent is counted with an equal part, so the VMs of a partition together never
// use much more than the whole.
type Shares struct {
	mu      sync.Mutex
	vms     int // listed entry VMs, this one included
	own     map[ids.Workspace]*demand
	sources map[string]map[ids.Workspace]told
	now     func() time.Time
}

// demand is what callers want of this VM.
type demand struct {
	count float64 // since at
	rate  float64 // requests/s, smoothed
	at    time.Time
}

// told is what a peer said of its own demand.
type told struct {
	rate float64
	at   time.Time
}

const (
	// demandWindow is how often demand is measured.
	demandWindow = time.Second
	// demandGain smooths it.
	demandGain = 0.4
	// toldFor is how long a peer's word counts.
	toldFor = 5 * time.Second
	// floorRate keeps a share open for a VM without demand so far, requests/s.
	floorRate = 0.2
)

var _ Sharer = (*Shares)(nil)

// NewShares returns shares for one VM that knows of no other.
func NewShares(now func() time.Time) *Shares {
	if now == nil {
		now = time.Now
	}
	return &Shares{vms: 1, own: map[ids.Workspace]*demand{}, sources: map[string]map[ids.Workspace]told{}, now: now}
}

// SetVMs tells how many entry VMs the platform lists, this one included.
func (s *Shares) SetVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = max(n, 1)
}

// Told takes in a peer's demand for a workspace.
func (s *Shares) Told(source string, ws ids.Workspace, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.sources[source]
	if m == nil {
		m = map[ids.Workspace]told{}
		s.sources[source] = m
	}
	m[ws] = told{rate: rate, at: s.now()}
}

// Share implements Sharer. It counts the call as demand.
func (s *Shares) Share(ws ids.Workspace, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.own[ws]
	if d == nil {
		d = &demand{at: now}
		s.own[ws] = d
	}
	d.measure(now)
	d.count++
	return s.share(ws, d.rate, now)
}

func (d *demand) measure(now time.Time) {
	if span := now.Sub(d.at); span >= demandWindow {
		d.rate += demandGain * (d.count/span.Seconds() - d.rate)
		d.count, d.at = 0, now
	}
}

// share is own demand over all demand. Listed VMs that said nothing lately
// count with an equal part of the limits: they may be serving behind a cut.
func (s *Shares) share(ws ids.Workspace, rate float64, now time.Time) float64 {
	heard, sum := 1, rate+floorRate
	for _, m := range s.sources {
		t, ok := m[ws]
		if !ok {
			t, ok = m[""] // the source's word that it is there
		}
		if !ok || now.Sub(t.at) > toldFor {
			continue
		}
		heard++
		if _, own := m[ws]; own {
			sum += t.rate
		}
		sum += floorRate
	}
	silent := max(s.vms-heard, 0)
	reserved := float64(silent) / float64(max(s.vms, 1))
	return (1 - reserved) * (rate + floorRate) / sum
}

// Demand is one workspace's demand on this VM.
type Demand struct {
	Workspace ids.Workspace
	Rate      float64 // requests/s
}

// Demands returns this VM's demand by workspace, for peers. Workspaces that
// nobody asked for lately are left out and forgotten.
func (s *Shares) Demands() []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []Demand
	for ws, d := range s.own {
		d.measure(now)
		if d.rate < floorRate/10 && d.count == 0 {
			delete(s.own, ws)
			continue
		}
		out = append(out, Demand{Workspace: ws, Rate: d.rate})
	}
	return out
}
