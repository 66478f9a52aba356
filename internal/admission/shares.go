package admission

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/clock"
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
	sources map[string]*source
	now     func() time.Time
}

// demand is what callers want of this VM.
type demand struct {
	count float64 // since at
	rate  float64 // requests/s, smoothed
	at    time.Time

	share   float64 // as last given
	shareAt time.Time
}

// source is a peer, or another failure domain, and what it said of its demand.
// Demand is told when it changes, so it counts as long as its source is heard of.
type source struct {
	heard time.Time
	rates map[uint32]float64 // by hash of the workspace's name
}

const (
	// demandWindow is how often demand is measured.
	demandWindow = time.Second
	// demandGain smooths it.
	demandGain = 0.4
	// toldFor is how long a peer's word counts.
	toldFor = 5 * time.Second
	// growthPerSecond bounds how fast a share grows.
	growthPerSecond = 1.35
	// floorRate keeps a share open for a VM without demand so far, requests/s.
	floorRate = 0.2
)

var _ Sharer = (*Shares)(nil)

// NewShares returns shares for one VM that knows of no other.
func NewShares(now func() time.Time) *Shares {
	if now == nil {
		now = clock.Now
	}
	return &Shares{vms: 1, own: map[ids.Workspace]*demand{}, sources: map[string]*source{}, now: now}
}

// SetVMs tells how many entry VMs the platform lists, this one included.
func (s *Shares) SetVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = max(n, 1)
}

// Hello records that a source is there.
func (s *Shares) Hello(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source(from).heard = s.now()
}

func (s *Shares) source(from string) *source {
	x := s.sources[from]
	if x == nil {
		x = &source{rates: map[uint32]float64{}}
		s.sources[from] = x
	}
	return x
}

// Told takes in a source's demand for a workspace, in requests/s.
func (s *Shares) Told(from string, workspace uint32, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate == 0 {
		delete(s.source(from).rates, workspace)
		return
	}
	s.source(from).rates[workspace] = rate
}

// DomainDemand sums up this VM's demand and that of its domain's VMs, leaving out
// sources with the given prefix.
func (s *Shares) DomainDemand(but string) map[uint32]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := map[uint32]float64{}
	for ws, d := range s.own {
		out[HashOf(ws)] += d.rate
	}
	for name, x := range s.sources {
		if strings.HasPrefix(name, but) || now.Sub(x.heard) > toldFor {
			continue
		}
		for ws, rate := range x.rates {
			out[ws] += rate
		}
	}
	return out
}

// HashOf names a workspace in messages between VMs.
func HashOf(ws ids.Workspace) uint32 { return uint32(xxh3.HashString(string(ws))) }

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
	return d.ramp(s.share(ws, d.rate, now), 1/float64(s.vms), now)
}

// ramp lets a share fall at once, and grow slowly beyond an equal part. When
// demand appears on all VMs together each hears of the others' late and too
// little, and would take nearly everything for a while.
func (d *demand) ramp(target, equal float64, now time.Time) float64 {
	most := d.share * math.Pow(growthPerSecond, now.Sub(d.shareAt).Seconds())
	if d.shareAt.IsZero() {
		most = 0
	}
	d.share, d.shareAt = min(target, max(most, equal)), now
	return d.share
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
	heard, sum, hash := 1, rate+floorRate, HashOf(ws)
	for _, x := range s.sources {
		if now.Sub(x.heard) <= toldFor {
			heard++
			sum += x.rates[hash] + floorRate
		}
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

// Demands returns this VM's demand by workspace, for peers. A workspace that nobody
// asked for lately is told once more, with zero, and forgotten.
func (s *Shares) Demands() []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []Demand
	for ws, d := range s.own {
		d.measure(now)
		if d.rate < floorRate/10 && d.count == 0 {
			delete(s.own, ws)
			out = append(out, Demand{Workspace: ws})
			continue
		}
		out = append(out, Demand{Workspace: ws, Rate: d.rate})
	}
	return out
}
