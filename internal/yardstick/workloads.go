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

// Workload describes the requests of a run and the fleet that serves them.
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
	Rate            float64       // requests/s
	Burst           float64       // factor on the rate in the middle third of the run; 0: none
	Levels          []int         // tokens of each level; the last differs by workspace and item, the others by workspace
	Items           int           // items (contracts, barriers) per workspace
	HotItems        int           // number of items that are hot at a time; 0: none
	ShiftEvery      time.Duration // time until other items are hot; 0: never
	Output          int           // output tokens of each request
	RecomputeWeight float32
	EventLoss       float64 // probability that a batch of cache events loses one event
	Faults          []Fault
	Gate            func(now func() time.Time) gate // returns the admission control of a VM; nil: none
}

// Fault is a fault that is injected at a time since the start of the run.
type Fault struct {
	At time.Duration
	Do func(*simulation)
}

// prompt is the prompt of one request.
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

// suffixTokens is the length of the unshared suffix of a prompt, in tokens.
const suffixTokens = 60

// draw draws a prompt. Few workspaces get most requests, few items are hot, and the
// set of hot items changes every ShiftEvery.
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
	p.tokens += suffixTokens
	return p
}

// skewed draws from 0 to n-1, small numbers more often: approximately a Zipf
// distribution with exponent 1.
func skewed(r *rand.Rand, n int) int {
	if n <= 1 {
		return 0
	}
	return min(int(math.Pow(float64(n), r.Float64()))-1, n-1)
}

// crash returns a fault that crashes a fraction of the engines and restarts them with
// empty caches after the downtime.
func crash(fraction float64, downtime time.Duration) func(*simulation) {
	return func(x *simulation) {
		n := int(float64(len(x.engines)) * fraction)
		for i := range n {
			e := x.engines[i*len(x.engines)/n]
			e.crash()
			x.clk.after(downtime, func() { e.restart(e.incarnation) })
		}
	}
}

// restartVMs returns a fault that restarts all VMs at once, or all but one if there is
// a survivor. The restarted VMs receive the cache entries of the survivor, or start with
// none.
func restartVMs(survivor bool) func(*simulation) {
	return func(x *simulation) {
		known := x.vms[0].f.Cache.Entries(1 << 20)
		for i := range x.vms {
			if survivor && i == 0 {
				continue
			}
			v := x.newVM(i, x.records)
			for _, e := range x.engines {
				v.f.Members.ApplyReport(e.id, x.reportOf(e), x.now())
			}
			v.f.Refresh()
			if survivor {
				for _, b := range known {
					v.f.Cache.ApplyPeerEntry(b.Target, uint16(b.Generation), uint64(b.ID))
				}
			}
			x.vms[i] = v
		}
	}
}

// Engines of the solano and of the other workloads. They differ in cache size only.
var (
	solanoEngine   = EngineSpec{PrefillRate: 12_000, Overhead: 8 * time.Millisecond, Slots: 32, TokenEvery: 20 * time.Millisecond, CacheTokens: 90_000}
	barrerasEngine = EngineSpec{PrefillRate: 12_000, Overhead: 8 * time.Millisecond, Slots: 32, TokenEvery: 20 * time.Millisecond, CacheTokens: 160_000}
)

// Workloads returns the workloads that docs/design/routing.md describes.
func Workloads(seed uint64) []Workload {
	solano := Workload{
		Name: "solano", Seed: seed, Duration: 60 * time.Second, Engines: 9, VMs: 8, Domains: 4, Workspaces: 8, Engine: solanoEngine,
		Rate: 28, Burst: 1.8, Levels: []int{6000, 1200, 900}, Items: 40, Output: 60, RecomputeWeight: 0.05, EventLoss: 0.05,
	}
	barreras := Workload{
		Name: "barreras", Seed: seed, Duration: 60 * time.Second, Engines: 9, VMs: 8, Domains: 4, Workspaces: 8, Engine: barrerasEngine,
		Rate: 30, Levels: []int{5000, 1000, 9000}, Items: 48, HotItems: 4, ShiftEvery: 20 * time.Second, Output: 60,
		RecomputeWeight: 0.8, EventLoss: 0.05,
	}
	domain := Workload{
		Name: "domain", Seed: seed, Duration: 30 * time.Second, Engines: 153, VMs: 22, Domains: 1, Models: 3, Workspaces: 34,
		Engine: barrerasEngine, Rate: 450, Levels: []int{5000, 1200, 3000}, Items: 60, HotItems: 6, ShiftEvery: 10 * time.Second,
		Output: 60, RecomputeWeight: 0.2, EventLoss: 0.05,
	}
	crashed := barreras
	crashed.Name, crashed.Rate, crashed.ShiftEvery = "crash", 22, 0
	crashed.Faults = []Fault{{At: 25 * time.Second, Do: crash(1.0/3, 4*time.Second)}}
	return []Workload{solano, barreras, domain, crashed}
}

// RestartAt is the time, since the start of the run, at which the VMs of the
// workloads of Restarts restart.
const RestartAt = 30 * time.Second

// Restarts returns workloads in which no VM restarts, all but one VM restart at once,
// and all restart at once.
func Restarts(seed uint64) []Workload {
	base := Workloads(seed)[0]
	base.Burst, base.Rate = 0, 40
	allButOne, all := base, base
	base.Name = "no restart"
	allButOne.Name, allButOne.Faults = "all but one restart", []Fault{{At: RestartAt, Do: restartVMs(true)}}
	all.Name, all.Faults = "all restart, nobody left", []Fault{{At: RestartAt, Do: restartVMs(false)}}
	return []Workload{base, allButOne, all}
}

// withoutPeers sets up the limiter for a VM without peers and returns it.
func withoutPeers(l *allowance.Limiter) *allowance.Limiter {
	l.SetVMs(nil)
	return l
}

// Overload returns a workload that exceeds the capacity of the engines, without and
// with the overload control of package admission.
func Overload(seed uint64) []Workload {
	w := Workloads(seed)[1]
	w.Name, w.Rate, w.ShiftEvery, w.Items, w.HotItems = "overload, no gate", 55, 0, 400, 0
	gated := w
	gated.Name = "overload, gate"
	gated.Gate = func(now func() time.Time) gate {
		return admission.New(admission.DefaultTuning, withoutPeers(allowance.New("", now)), now)
	}
	return []Workload{w, gated}
}
