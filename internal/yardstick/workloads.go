package yardstick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/admission"
	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Workload is what callers bring, and the engines that serve them.
type Workload struct {
	Name            string
	Seed            uint64
	Duration        time.Duration
	Engines         int
	VMs             int
	Domains         int
	Models          int
	Workspaces      int
	Engine          EngineSpec
	Rate            float64 // requests/s
	Burst           float64 // factor of the rate in the middle third
	Levels          []int   // tokens of common, tenant and item level
	Items           int     // items (contracts, barriers) of each workspace
	HotItems        int     // of them, how many are hot at a time; 0: all alike
	ShiftEvery      time.Duration
	Output          int // tokens
	RecomputeWeight float32
	EventLoss       float64 // chance that a batch of cache events loses an entry
	Faults          []Fault
	Gate            func(now func() time.Time) gate
}

// Fault is something that happens to the world.
type Fault struct {
	At time.Duration
	Do func(*world)
}

// prompt is one drawn request.
type prompt struct {
	workspace ids.Workspace
	model     ids.Model
	levels    []prefix.Level
	blocks    []prefix.ID
	tokens    int
	priority  int
}

func (w *Workload) target(i int) ids.Target { return ids.Target(fmt.Sprintf("engine-%03d", i)) }

func (w *Workload) domain(i int) ids.FailureDomain {
	return ids.FailureDomain(fmt.Sprint("fd-", i%max(w.Domains, 1)))
}

func (w *Workload) model(i int) ids.Model { return ids.Model(fmt.Sprint("model-", i%max(w.Models, 1))) }

func (w *Workload) rate(at time.Duration) float64 {
	if w.Burst > 0 && at > w.Duration/3 && at < w.Duration*2/3 {
		return w.Rate * w.Burst
	}
	return w.Rate
}

// questionTokens is the part of a prompt that no other shares.
const questionTokens = 60

// draw draws a request: a few workspaces are large, a few items are hot, and
// which items are hot moves on.
func (w *Workload) draw(r *rand.Rand, at time.Duration) prompt {
	ws := skewed(r, w.Workspaces)
	item := skewed(r, w.Items)
	if w.HotItems > 0 && r.Float64() < 0.8 {
		item = r.IntN(w.HotItems)
		if w.ShiftEvery > 0 {
			item = (item + int(at/w.ShiftEvery)*w.HotItems) % w.Items
		}
	}
	p := prompt{workspace: ids.Workspace(fmt.Sprint("ws-", ws)), model: ids.Model(fmt.Sprint("model-", ws%max(w.Models, 1)))}
	hash := uint64(prefix.Seed(p.workspace, p.model))
	for i, tokens := range w.Levels {
		key := uint64(i)
		if i == len(w.Levels)-1 {
			key = uint64(item) + 100
		}
		p.tokens += tokens
		for len(p.blocks) < p.tokens/blockTokens {
			hash = xxh3.HashSeed([]byte{byte(len(p.blocks)), byte(key), byte(key >> 8)}, hash)
			p.blocks = append(p.blocks, prefix.ID(hash))
		}
		p.levels = append(p.levels, prefix.Level{ID: prefix.ID(hash), Tokens: int32(p.tokens)})
	}
	p.tokens += questionTokens
	return p
}

// skewed draws 0..n-1, small numbers more often: Zipf-like with exponent 1.
func skewed(r *rand.Rand, n int) int {
	if n <= 1 {
		return 0
	}
	return min(int(math.Pow(float64(n), r.Float64()))-1, n-1)
}

// crash takes a part of the engines down, and back empty some time later.
func crash(part float64, back time.Duration) func(*world) {
	return func(x *world) {
		n := int(float64(len(x.engines)) * part)
		for i := range n {
			e := x.engines[i*len(x.engines)/n]
			e.crash()
			x.clk.after(back, func() { e.restart(e.life) })
		}
	}
}

// restartDeciders lets all VMs begin a new life at once. From survivors they are
// given the beliefs of one that stays; without, they know nothing.
func restartDeciders(survivor bool) func(*world) {
	return func(x *world) {
		known := x.deciders[0].f.Cache.Entries(1 << 20)
		for i := range x.deciders {
			if survivor && i == 0 {
				continue
			}
			d := x.newDecider(i, x.records)
			for _, e := range x.engines {
				d.f.Members.Probed(e.id, x.reportOf(e), x.now())
			}
			d.f.Refresh()
			if survivor {
				for _, b := range known {
					d.f.Cache.ApplyPeerEntry(b.Target, uint16(b.Generation), uint64(b.ID))
				}
			}
			x.deciders[i] = d
		}
	}
}

// Solano's engine and Barreras's engine.
var (
	yardEngine    = EngineSpec{PrefillRate: 12_000, Overhead: 8 * time.Millisecond, Slots: 32, TokenEvery: 20 * time.Millisecond, CacheTokens: 90_000}
	plannerEngine = EngineSpec{PrefillRate: 12_000, Overhead: 8 * time.Millisecond, Slots: 32, TokenEvery: 20 * time.Millisecond, CacheTokens: 160_000}
)

// Workloads returns the workloads of docs/design/routing.md.
func Workloads(seed uint64) []Workload {
	solano := Workload{
		Name: "solano", Seed: seed, Duration: 60 * time.Second, Engines: 9, VMs: 8, Domains: 4, Workspaces: 8, Engine: yardEngine,
		Rate: 28, Burst: 1.8, Levels: []int{6000, 1200, 900}, Items: 40, Output: 60, RecomputeWeight: 0.05, EventLoss: 0.05,
	}
	barreras := Workload{
		Name: "barreras", Seed: seed, Duration: 60 * time.Second, Engines: 9, VMs: 8, Domains: 4, Workspaces: 8, Engine: plannerEngine,
		Rate: 30, Levels: []int{5000, 1000, 9000}, Items: 48, HotItems: 4, ShiftEvery: 20 * time.Second, Output: 60,
		RecomputeWeight: 0.8, EventLoss: 0.05,
	}
	domain := Workload{
		Name: "domain", Seed: seed, Duration: 30 * time.Second, Engines: 153, VMs: 22, Domains: 1, Models: 3, Workspaces: 34,
		Engine: plannerEngine, Rate: 450, Levels: []int{5000, 1200, 3000}, Items: 60, HotItems: 6, ShiftEvery: 10 * time.Second,
		Output: 60, RecomputeWeight: 0.2, EventLoss: 0.05,
	}
	crashed := barreras
	crashed.Name, crashed.Rate, crashed.ShiftEvery = "crash", 22, 0
	crashed.Faults = []Fault{{At: 25 * time.Second, Do: crash(1.0/3, 4*time.Second)}}
	return []Workload{solano, barreras, domain, crashed}
}

// RestartAt is when the VMs of the restart workloads begin a new life.
const RestartAt = 30 * time.Second

// Restarts returns workloads in which all VMs, or all but one, restart at once.
func Restarts(seed uint64) []Workload {
	base := Workloads(seed)[0]
	base.Burst, base.Rate = 0, 40
	herd, bare := base, base
	base.Name = "no restart"
	herd.Name, herd.Faults = "all but one restart", []Fault{{At: RestartAt, Do: restartDeciders(true)}}
	bare.Name, bare.Faults = "all restart, nobody left", []Fault{{At: RestartAt, Do: restartDeciders(false)}}
	return []Workload{base, herd, bare}
}

// listed returns a limiter of a VM that is the only one.
func listed(l *allowance.Limiter) *allowance.Limiter {
	l.SetVMs(nil)
	return l
}

// Overload returns a workload that asks for more than the engines can compute,
// with and without admission's overload gate.
func Overload(seed uint64) []Workload {
	w := Workloads(seed)[1]
	w.Name, w.Rate, w.ShiftEvery, w.Items, w.HotItems = "overload, no gate", 55, 0, 400, 0
	gated := w
	gated.Name = "overload, gate"
	gated.Gate = func(now func() time.Time) gate {
		return admission.New(admission.DefaultTuning, listed(allowance.New("", now)), now)
	}
	return []Workload{w, gated}
}
