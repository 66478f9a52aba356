package yardstick

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
)

// Policy is one way to decide, made of the product's parts.
type Policy struct {
	Name   string
	Router func() *routing.Router
	// Exact gives decisions the true state of all engines: the oracle.
	Exact bool
	// ExactCache and ExactLoad give the true state of one of the two only.
	ExactCache, ExactLoad bool
	// Variant changes what a decider knows; see the fields of Ablation.
	Ablation Ablation
}

// Ablation switches sources of knowledge off, to measure what each is worth.
type Ablation struct {
	NoExpect bool // a dispatched prompt counts as cached only once answered
	NoPeers  bool // beliefs are not told to peers
	NoFeed   bool // engines' cache events are not read
	NoGate   bool // no refusals in overload
}

// decider is one VM: the product's decision code and its picture of the engines.
type decider struct {
	f      *fleet.Fleet
	budget *retry.Budget
	gate   gate
	domain ids.FailureDomain
}

// gate is the product's admission, or none.
type gate interface {
	Check(ws ids.Workspace, priority int, tokens int32, predicted time.Duration) *outcome.Error
}

// Result is one policy's figures on one workload.
type Result struct {
	Workload, Policy               string
	Requests, Completed, Failed    int
	Refused, Attempts              int
	SentEntries                    int   // beliefs that deciders told their peers
	Prompt, Recomputed, Wasted     int64 // tokens
	TTFT                           *hdrhistogram.Histogram
	CompletedByWorkspace           map[ids.Workspace]int // whole answers
	RequestsByWorkspace            map[ids.Workspace]int
	WindowHit                      []float64 // hit rate by second
	WindowTTFT                     []float64 // mean seconds, by second
	windowPrompt, windowRecomputed []int64
	windowWait                     []float64
	windowCount                    []int
}

// HitRate is the part of prompt tokens that were cached.
func (r *Result) HitRate() float64 { return 1 - float64(r.Recomputed)/float64(max(r.Prompt, 1)) }

// Quantile returns a quantile of the time to first token, in milliseconds.
func (r *Result) Quantile(q float64) float64 { return float64(r.TTFT.ValueAtQuantile(q)) / 1000 }

// world is one run.
type world struct {
	w        Workload
	p        Policy
	clk      *clock
	rnd      *rand.Rand // of lags and losses
	callers  *rand.Rand // of requests: the same under every policy
	engines  []*fakeEngine
	byID     map[ids.Target]*fakeEngine
	deciders []*decider
	records  []platform.Record
	oracle   *routing.Router
	res      *Result
	end      time.Time
	jobs     uint64
}

// start is the virtual time at which runs begin.
var start = time.Unix(1_700_000_000, 0)

// histogram bounds of times to first token, in microseconds.
const (
	ttftMax    = 600_000_000
	ttftDigits = 3
)

// Run measures one policy on one workload.
func Run(w Workload, p Policy) *Result {
	x := &world{
		w: w, p: p, clk: &clock{now: start}, rnd: rand.New(rand.NewPCG(w.Seed, 1)),
		callers: rand.New(rand.NewPCG(w.Seed, 2)), byID: map[ids.Target]*fakeEngine{},
		end: start.Add(w.Duration), oracle: p.Router(),
		res: &Result{
			Workload: w.Name, Policy: p.Name, TTFT: hdrhistogram.New(1, ttftMax, ttftDigits),
			CompletedByWorkspace: map[ids.Workspace]int{}, RequestsByWorkspace: map[ids.Workspace]int{},
		},
	}
	x.build()
	for _, f := range w.Faults {
		x.clk.after(f.At, func() { f.Do(x) })
	}
	x.arrivals()
	x.clk.run()
	x.res.windows()
	return x.res
}

func (x *world) now() time.Time { return x.clk.now }

func (x *world) build() {
	var records []platform.Record
	for i := range x.w.Engines {
		e := newEngine(x.w.target(i), x.w.Engine, x.clk)
		x.engines = append(x.engines, e)
		x.byID[e.id] = e
		records = append(records, platform.Record{
			ID: string(e.id), Role: platform.RoleEngine, State: platform.StateLive, Incarnation: 1, Weights: "w",
			FailureDomain: x.w.domain(i), Model: x.w.model(i),
		})
	}
	x.records = records
	for i := range x.w.VMs {
		x.deciders = append(x.deciders, x.newDecider(i, records))
	}
	for i, e := range x.engines {
		x.knowledge(i, e)
	}
	x.clk.every(tellEvery, x.end, x.tellPeers)
}

// Rhythms of what deciders learn: the product's, with the platform's lags.
const (
	refreshEvery = 50 * time.Millisecond
	reportEvery  = time.Second
	reportLag    = 300 * time.Millisecond // at least; as much again at random
	feedEvery    = 500 * time.Millisecond
	feedLag      = 300 * time.Millisecond
	tellEvery    = 250 * time.Millisecond
	tellLag      = 100 * time.Millisecond
)

func (x *world) newDecider(i int, records []platform.Record) *decider {
	d := &decider{
		f: fleet.New(membership.New(ids.VM("vm"), membership.DefaultTuning), cacheview.New(64<<10, x.now),
			loadview.New(), x.p.Router(), x.now),
		budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst, retry.DefaultWindow, x.now),
		domain: x.w.domain(i),
	}
	if x.w.Gate != nil && !x.p.Ablation.NoGate {
		d.gate = x.w.Gate(x.now)
	}
	d.f.Members.Platform(records, x.now())
	d.f.Refresh()
	x.clk.every(refreshEvery, x.end, func() { d.f.Refresh() })
	return d
}

// knowledge sets up what deciders hear of one engine: lagging load reports, and
// its cache feed, which one decider reads.
func (x *world) knowledge(i int, e *fakeEngine) {
	phase := time.Duration(x.rnd.Int64N(int64(reportEvery)))
	x.clk.after(phase, func() {
		x.report(e)
		x.clk.every(reportEvery, x.end, func() { x.report(e) })
	})
	if !x.p.Ablation.NoFeed {
		reader := x.deciders[i%len(x.deciders)]
		x.clk.every(feedEvery, x.end, func() { x.readFeed(e, reader) })
	}
}

func (x *world) report(e *fakeEngine) {
	r := x.reportOf(e)
	for i := range x.deciders {
		lag := reportLag + time.Duration(x.rnd.Int64N(int64(reportLag)))
		x.clk.after(lag, func() { x.deciders[i].f.Members.Probed(e.id, r, x.now().Add(-lag)) })
	}
}

func (x *world) reportOf(e *fakeEngine) membership.Report {
	return membership.Report{
		Incarnation: e.life, Seq: uint64(x.now().UnixMilli()), QueuedTokens: e.queuedTokens(), Running: len(e.running),
		Slots: e.spec.Slots, PrefillRate: e.spec.PrefillRate, Weights: "w", Silent: !e.up,
	}
}

func (x *world) readFeed(e *fakeEngine, d *decider) {
	batch := e.feed
	e.feed = nil
	if len(batch) > 2 && x.rnd.Float64() < x.w.EventLoss {
		batch = append(batch[:1:1], batch[2:]...) // an entry is lost
	}
	life := cacheview.GenerationOf(e.life, "w")
	x.clk.after(feedLag, func() { d.f.Cache.Feed(e.id, life, batch) })
}

// tellPeers passes each decider's fresh beliefs on to the others.
func (x *world) tellPeers() {
	for i, d := range x.deciders {
		fresh := d.f.Cache.TakeNewEntries()
		x.res.SentEntries += len(fresh)
		if x.p.Ablation.NoPeers {
			continue
		}
		x.clk.after(tellLag, func() {
			for j, other := range x.deciders {
				if i == j {
					continue
				}
				for _, b := range fresh {
					other.f.Cache.ApplyPeerEntry(b.Target, uint16(b.Generation), uint64(b.ID))
					if b.Work > 0 {
						other.f.Load.AddPeerWork(b.Target, b.Work, x.now().Add(-tellLag-tellEvery/2))
					}
				}
			}
		})
	}
}

// arrivals draws the workload's requests: a Poisson process whose rate may change.
func (x *world) arrivals() {
	var next func()
	next = func() {
		at := x.now().Sub(start)
		if at >= x.w.Duration {
			return
		}
		x.ask(x.w.draw(x.callers, at))
		gap := time.Duration(x.callers.ExpFloat64() / x.w.rate(at) * float64(time.Second))
		x.clk.after(gap, next)
	}
	x.clk.after(0, next)
}

// request is one caller's request on its way.
type request struct {
	prompt   prompt
	d        *decider
	came     time.Time
	tried    []ids.Target
	attempts int
}

const maxAttempts = 4

func (x *world) ask(p prompt) {
	r := &request{prompt: p, d: x.deciders[x.callers.IntN(len(x.deciders))], came: x.now()}
	x.res.Requests++
	x.res.RequestsByWorkspace[p.workspace]++
	r.d.budget.Deposit()
	x.attempt(r)
}

func (x *world) attempt(r *request) {
	req := routing.Request{
		Model: r.prompt.model, FailureDomain: r.d.domain, Levels: r.prompt.levels, Tokens: int32(r.prompt.tokens),
		RecomputeWeight: x.w.RecomputeWeight, Seed: r.d.f.Seed(),
	}
	target, dec := x.decide(r, &req)
	if target == "" {
		x.res.Failed++
		return
	}
	if r.attempts == 0 && r.d.gate != nil {
		predicted := time.Duration(float64(dec.PredictedTTFT) * float64(time.Second))
		if r.d.gate.Check(r.prompt.workspace, r.prompt.priority, int32(r.prompt.tokens), predicted) != nil {
			x.res.Refused++
			return
		}
	}
	r.attempts++
	x.res.Attempts++
	r.tried = append(r.tried, target)
	x.dispatch(r, x.byID[target], dec)
}

// decide asks the product, or the oracle.
func (x *world) decide(r *request, req *routing.Request) (ids.Target, routing.Decision) {
	sc := r.d.f.Acquire()
	defer r.d.f.Release(sc)
	snap, dec := r.d.f.Decide(req, r.tried, sc)
	if x.p.Exact || x.p.ExactCache || x.p.ExactLoad {
		x.exact(r, sc.Inputs)
		dec = x.oracle.Decide(req, &snap.View, sc.Inputs, &sc.Routing)
	}
	if dec.Index < 0 {
		return "", dec
	}
	return snap.View.Targets[dec.Index].ID, dec
}

// exact replaces what a decider believes by what is so.
func (x *world) exact(r *request, in []routing.Input) {
	for i, e := range x.engines {
		in[i].State, in[i].SlowStart, in[i].BreakerOpen = routing.Live, 1, false
		if !e.up {
			in[i].State = routing.Dead
		}
		if x.p.Exact || x.p.ExactLoad {
			x.exactLoad(e, &in[i])
		}
		if x.p.Exact || x.p.ExactCache {
			in[i].Cached = int32(min(e.cache.Holds(r.prompt.blocks)*blockTokens, r.prompt.tokens))
		}
	}
}

func (x *world) exactLoad(e *fakeEngine, in *routing.Input) {
	in.PrefillRate = float32(e.spec.PrefillRate)
	in.QueueTokens = float32(e.exactWait().Seconds() * e.spec.PrefillRate)
	in.SlotWait = 0
	if over := len(e.running) + len(e.queue) + 1 - e.spec.Slots; over > 0 {
		in.SlotWait = float32(over) * float32(x.w.Output) * float32(e.spec.TokenEvery.Seconds()) / float32(e.spec.Slots)
	}
}

func (x *world) dispatch(r *request, e *fakeEngine, dec routing.Decision) {
	var prior cacheview.Prior
	if !x.p.Ablation.NoExpect {
		prior = r.d.f.Cache.Expect(e.id, r.prompt.levels, int32(r.prompt.tokens)-dec.Cached)
	}
	r.d.f.Members.Trying(e.id, x.now())
	work := r.d.f.Load.Sent(e.id, int32(r.prompt.tokens)-dec.Cached, x.now())
	best := x.bestHeld(r.prompt)
	life, cachedTokens := e.life, 0
	x.jobs++
	e.submit(&job{
		number: x.jobs, blocks: r.prompt.blocks, tokens: r.prompt.tokens, output: x.w.Output, priority: r.prompt.priority,
		started: func(cached int) {
			work.FirstToken()
			cachedTokens = cached
			x.res.first(x.now().Sub(start), x.now().Sub(r.came), r.prompt.tokens, cached, best)
		},
		done: func(ok bool) {
			work.End()
			x.ended(r, e.id, ok, cacheview.GenerationOf(life, "w"), prior, cachedTokens)
		},
	})
}

// bestHeld is the deepest prefix that any eligible engine holds, in tokens.
func (x *world) bestHeld(p prompt) int {
	best := 0
	for i, e := range x.engines {
		if e.up && x.w.model(i) == p.model {
			best = max(best, min(e.cache.Holds(p.blocks)*blockTokens, p.tokens))
		}
	}
	return best
}

func (x *world) ended(r *request, t ids.Target, ok bool, life cacheview.Generation, prior cacheview.Prior, cached int) {
	if ok {
		r.d.f.Members.Succeeded(t)
		r.d.f.Load.ObserveResponse(int32(r.prompt.tokens), int32(cached))
		r.d.f.Cache.ApplyResponse(t, life, r.prompt.levels, prior, int32(cached))
		x.res.Completed++
		x.res.CompletedByWorkspace[r.prompt.workspace]++
		return
	}
	r.d.f.Members.Failed(t, x.now())
	r.d.f.MarkDirty()
	if r.attempts < maxAttempts && r.d.budget.Withdraw() {
		x.attempt(r)
		return
	}
	x.res.Failed++
}

// first records a first token.
func (r *Result) first(at, ttft time.Duration, tokens, cached, best int) {
	_ = r.TTFT.RecordValue(min(ttft.Microseconds(), ttftMax))
	recomputed := tokens - cached
	r.Prompt += int64(tokens)
	r.Recomputed += int64(recomputed)
	r.Wasted += int64(max(best-cached, 0))
	sec := int(at / time.Second)
	for len(r.windowPrompt) <= sec {
		r.windowPrompt, r.windowRecomputed = append(r.windowPrompt, 0), append(r.windowRecomputed, 0)
		r.windowWait, r.windowCount = append(r.windowWait, 0), append(r.windowCount, 0)
	}
	r.windowPrompt[sec] += int64(tokens)
	r.windowRecomputed[sec] += int64(recomputed)
	r.windowWait[sec] += ttft.Seconds()
	r.windowCount[sec]++
}

func (r *Result) windows() {
	for i := range r.windowPrompt {
		r.WindowHit = append(r.WindowHit, 1-float64(r.windowRecomputed[i])/float64(max(r.windowPrompt[i], 1)))
		r.WindowTTFT = append(r.WindowTTFT, r.windowWait[i]/float64(max(r.windowCount[i], 1)))
	}
}
