package pools

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
)

// The deployment "rosters" of docs/hard-load.md, with the swing of its demand, without bursts and losses.
// Few prefixes are used by most prompts, and engines fetch cached prefixes from each other at once.
const (
	modelRate  = 81_900  // prefill of an engine, in tokens/s
	modelChunk = 4096    // tokens of prefill between two tokens of the running streams
	modelCache = 114_041 // tokens
	modelGap   = 0.4     // gap limit, in seconds
	modelWarm  = 15      // seconds in which pools begin and reach their size
	eventSize  = 7       // tokens
)

// modelRoute is a route of the model.
type modelRoute struct {
	name                  string
	rate                  float64 // calls/s
	shared, own, prefixes int
	objective             float64 // seconds until the first event
	tokens                func(*rand.Rand) int
}

var modelRoutes = []modelRoute{
	{"short", 198, 198, 628, 40, 0.4, func(r *rand.Rand) int { return 80 + r.IntN(300) }}, // streams of 1 to 5 s
	{"long", 204, 6300, 2890, 150, 0.5, func(*rand.Rand) int { return 2 * eventSize }},
}

type modelCall struct {
	route                 int
	arrived, first, event float64 // times of the arrival, the first and the last event
	prefill, tokens, sent int     // tokens left to compute, to send, and sent
	paused                bool
}

type modelEngine struct {
	at             float64 // time up to which it is modelled
	queue, running []*modelCall
	cache          []prefix.Level // oldest first; Tokens includes what only one call uses
	cached         [2000]bool     // by prefix
	seen           []float32      // queued tokens at the last ticks
}

func (e *modelEngine) queued() (n float32) {
	for _, c := range e.queue {
		n += float32(c.prefill)
	}
	return n
}

// touch makes a prefix the most recent one of the cache, and evicts the oldest.
func (e *modelEngine) touch(id prefix.ID, tokens int) {
	if e.cached[id] {
		e.cache = slices.DeleteFunc(e.cache, func(l prefix.Level) bool { return l.ID == id })
	}
	e.cache, e.cached[id] = append(e.cache, prefix.Level{ID: id, Tokens: int32(tokens)}), true
	sum := int32(0)
	for _, l := range e.cache {
		sum += l.Tokens
	}
	for ; sum > modelCache; e.cache = e.cache[1:] {
		sum -= e.cache[0].Tokens
		e.cached[e.cache[0].ID] = false
	}
}

// step computes one chunk of prefill and one token of each running stream.
func (e *modelEngine) step(ended func(*modelCall)) {
	computed, begun := 0, 0
	for computed < modelChunk && begun < len(e.queue) && len(e.running)+begun < testSlots {
		c := e.queue[begun]
		n := min(modelChunk-computed, c.prefill)
		if computed, c.prefill = computed+n, c.prefill-n; c.prefill > 0 {
			break
		}
		begun++
	}
	e.at += float64(computed)/modelRate + 0.008 + 0.0002*float64(len(e.running))
	e.running = slices.DeleteFunc(e.running, func(c *modelCall) bool {
		if c.sent++; c.sent%eventSize == 0 || c.sent == c.tokens {
			c.paused = c.paused || e.at-c.event > modelGap
			c.event = e.at
		}
		if c.sent == c.tokens {
			ended(c)
		}
		return c.sent == c.tokens
	})
	for _, c := range e.queue[:begun] {
		c.first, c.event = e.at, e.at
		e.running = append(e.running, c)
	}
	e.queue = e.queue[begun:]
}

// modelResult counts the calls that arrived after modelWarm, by route. Those in time have neither a late
// first event nor a pause.
type modelResult struct{ calls, inTime, paused, off [2]int }

// replay plays seconds of the load in steps of 10 ms. Decisions see queues that are 100 ms old.
func replay(seed uint64, seconds int, pooled bool) (res modelResult, sizes []int) {
	const tick, late = 0.01, 10
	rnd, router, scratch := rand.New(rand.NewPCG(seed, 1)), routing.NewFetching(), &routing.Scratch{}
	list, engines, view, in := engines(testEngines), make([]modelEngine, testEngines), &routing.View{}, make([]routing.Input, testEngines)
	for i, e := range list {
		view.Targets = append(view.Targets, routing.Target{ID: ids.Target(fmt.Sprint(i)), Service: "s", FailureDomain: e.Domain, Hash: e.Hash})
		engines[i].seen = make([]float32, late)
	}
	var sums [2]demand.RouteSums
	for i := range sums {
		sums[i].Route = demand.HashOf(modelRoutes[i].name)
	}
	ended := func(c *modelCall) {
		r := c.route
		sums[r].Streaming += float32(c.event - c.first)
		if c.paused {
			sums[r].Paused++
		}
		if c.arrived < modelWarm {
			return
		}
		res.calls[r]++
		if c.paused {
			res.paused[r]++
		} else if c.first-c.arrived <= modelRoutes[r].objective {
			res.inTime[r]++
		}
	}
	machine, division, plan := &Machine{}, &Division{}, Plan{}
	for n := range seconds * 100 {
		now := float64(n) * tick
		for i := range engines {
			e := &engines[i]
			for e.at < now && len(e.queue)+len(e.running) > 0 {
				e.step(ended)
			}
			e.at = max(e.at, now)
			e.seen = append(e.seen[1:], e.queued())
		}
		if n%25 == 0 {
			if pooled {
				plan, _ = machine.Update(picture(sums[:]...), testEngines, testSlots, start.Add(time.Duration(now*float64(time.Second))))
				division.Update(list, plan.Size)
				sizes = append(sizes, plan.Size)
			}
			for i := range sums {
				s := &sums[i]
				for _, v := range []*float32{&s.Calls, &s.Admitted, &s.Work, &s.Streaming, &s.Paused} {
					*v *= float32(math.Exp(-0.25 / 2))
				}
			}
		}
		if n%400 == 0 && n < 1600 { // new weights empty the caches
			for i := range engines {
				engines[i].cache, engines[i].cached = nil, [2000]bool{}
			}
		}
		swing := 1 + 0.55*math.Sin(now*2*math.Pi/13)
		for r := range modelRoutes {
			route := &modelRoutes[r]
			calls := route.rate * swing * tick
			for calls > rnd.Float64() {
				calls--
				id := prefix.ID(1 + r*1000 + int(math.Pow(rnd.Float64(), 3)*float64(route.prefixes)))
				req := routing.Request{
					Service: "s", FailureDomain: list[rnd.IntN(3)].Domain, Tokens: int32(route.shared + route.own), Seed: rnd.Uint64(), InTransit: 40,
					Levels: []prefix.Level{{ID: id, Tokens: int32(route.shared)}}, Pool: plan.Pool(route.name), OffPoolSeconds: modelGap, FetchRate: 40_000,
				}
				for i := range in {
					e := &engines[i]
					in[i] = routing.Input{State: routing.Live, SlowStart: 1, PrefillRate: modelRate, QueueTokens: e.seen[0], InFlight: int32(len(e.running) + len(e.queue)), Slots: testSlots, SlotWait: 0.25 * float32(max(len(e.running)+len(e.queue)+1-testSlots, 0))}
					in[i].OffPool = req.Pool.Excludes(division.Pool(list[i].Domain, list[i].Hash))
					if e.cached[id] {
						in[i].Cached = int32(route.shared)
					}
				}
				d := router.Decide(&req, view, in, scratch)
				if in[d.Index].OffPool {
					res.off[r]++
				}
				c := &modelCall{route: r, arrived: now, prefill: route.shared + route.own - int(d.BestCached), tokens: route.tokens(rnd)}
				engines[d.Index].touch(id, route.shared+route.own)
				engines[d.Index].queue = append(engines[d.Index].queue, c)
				sums[r].Calls++
				sums[r].Admitted++
				sums[r].Work += float32(c.prefill) / 50_000 // the rate that VMs assume
			}
		}
	}
	return res, sizes
}

// TestPoolsReplay guards against pools that do not help: with them at most half as many streams may have
// a gap above their limit, and long prompts must be in time no less often.
func TestPoolsReplay(t *testing.T) {
	var without, with modelResult
	for seed := range uint64(2) {
		for sum, pooled := range map[*modelResult]bool{&without: false, &with: true} {
			res, sizes := replay(seed, 40, pooled)
			for r := range modelRoutes {
				sum.calls[r], sum.inTime[r], sum.paused[r], sum.off[r] = sum.calls[r]+res.calls[r], sum.inTime[r]+res.inTime[r], sum.paused[r]+res.paused[r], sum.off[r]+res.off[r]
			}
			t.Logf("seed %d, pools %v: %+v, sizes %v", seed, pooled, res, slices.Compact(sizes))
		}
	}
	if without.paused[0] < 20 {
		t.Errorf("%d streams paused without pools, want a load that needs them", without.paused[0])
	}
	if 2*with.paused[0] > without.paused[0] {
		t.Errorf("%d streams paused with pools, %d without, want at most half", with.paused[0], without.paused[0])
	}
	if with.inTime[1]*without.calls[1] < without.inTime[1]*with.calls[1] {
		t.Errorf("long prompts: %d of %d in time with pools, %d of %d without, want no fewer", with.inTime[1], with.calls[1], without.inTime[1], without.calls[1])
	}
}
