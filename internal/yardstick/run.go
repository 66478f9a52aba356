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

// Policy is a routing policy to measure.
type Policy struct {
	Name   string
	Router func() *routing.Router
	// Exact makes decisions from the actual state of all engines (the oracle).
	Exact bool
	// ExactCache and ExactLoad use the actual caches or the actual load only.
	ExactCache, ExactLoad bool
	// Ablation turns off sources of information.
	Ablation Ablation
}

// Ablation turns off sources of information of the VMs, to measure the value of
// each.
type Ablation struct {
	NoExpect bool // prompts count as cached only after the response
	NoPeers  bool // estimated cache entries are not sent to peers
	NoFeed   bool // cache events of the engines are not read
	NoGate   bool // no admission control
}

// vm is one VM: the production decision code and its view of the engines.
type vm struct {
	f      *fleet.Fleet
	budget *retry.Budget
	gate   gate
	domain ids.FailureDomain
}

// gate is the admission control of a VM.
type gate interface {
	Check(ws ids.Workspace, priority int, tokens int32, predicted time.Duration) *outcome.Error
}

// Result holds the figures of one policy on one workload.
type Result struct {
	Workload, Policy               string
	Requests, Completed, Failed    int
	Refused, Attempts              int                     // Refused: by admission control
	SentEntries                    int                     // cache entries that VMs sent to their peers
	Prompt, Recomputed, Wasted     int64                   // tokens; Wasted: recomputed although an eligible engine had them cached
	TTFT                           *hdrhistogram.Histogram // in microseconds
	CompletedByWorkspace           map[ids.Workspace]int   // complete responses
	RequestsByWorkspace            map[ids.Workspace]int
	WindowHit                      []float64 // hit rate, by second
	WindowTTFT                     []float64 // mean TTFT in seconds, by second
	windowPrompt, windowRecomputed []int64
	windowTTFTSum                  []float64
	windowCount                    []int
}

// HitRate returns the fraction of prompt tokens that were cached.
func (r *Result) HitRate() float64 { return 1 - float64(r.Recomputed)/float64(max(r.Prompt, 1)) }

// Percentile returns a percentile (0 to 100) of the time to first token, in
// milliseconds.
func (r *Result) Percentile(p float64) float64 { return float64(r.TTFT.ValueAtQuantile(p)) / 1000 }

// simulation is the state of one run.
type simulation struct {
	w          Workload
	p          Policy
	clk        *clock
	rnd        *rand.Rand // draws delays and losses
	arrivalRnd *rand.Rand // draws requests: the same ones under every policy
	engines    []*fakeEngine
	byID       map[ids.Target]*fakeEngine
	vms        []*vm
	records    []platform.Record
	oracle     *routing.Router
	res        *Result
	end        time.Time
	jobSeq     uint64
}

// start is the virtual time at which every run begins.
var start = time.Unix(1_700_000_000, 0)

// Range (in microseconds) and significant digits of the TTFT histogram.
const (
	ttftMax    = 600_000_000
	ttftDigits = 3
)

// Run measures one policy on one workload.
func Run(w Workload, p Policy) *Result {
	x := &simulation{
		w: w, p: p, clk: &clock{now: start}, rnd: rand.New(rand.NewPCG(w.Seed, 1)),
		arrivalRnd: rand.New(rand.NewPCG(w.Seed, 2)), byID: map[ids.Target]*fakeEngine{},
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
	x.scheduleArrivals()
	x.clk.run()
	x.res.averageWindows()
	return x.res
}

func (x *simulation) now() time.Time { return x.clk.now }

func (x *simulation) build() {
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
		x.vms = append(x.vms, x.newVM(i, records))
	}
	for i, e := range x.engines {
		x.scheduleUpdates(i, e)
	}
	x.clk.every(peerSendInterval, x.end, x.sendToPeers)
}

// Intervals and delays of the updates that VMs receive. The intervals are those
// of the product, the delays those of the platform.
const (
	refreshInterval  = 50 * time.Millisecond
	reportInterval   = time.Second
	reportLag        = 300 * time.Millisecond // minimum; up to as much again is added at random
	feedInterval     = 500 * time.Millisecond
	feedLag          = 300 * time.Millisecond
	peerSendInterval = 250 * time.Millisecond
	peerLag          = 100 * time.Millisecond
)

func (x *simulation) newVM(i int, records []platform.Record) *vm {
	v := &vm{
		f: fleet.New(membership.New(ids.VM("vm"), membership.DefaultTuning), cacheview.New(64<<10, x.now),
			loadview.New(), x.p.Router(), x.now),
		budget: retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst, retry.DefaultWindow, x.now),
		domain: x.w.domain(i),
	}
	if x.w.Gate != nil && !x.p.Ablation.NoGate {
		v.gate = x.w.Gate(x.now)
	}
	v.f.Members.ApplyPlatform(records, x.now())
	v.f.Refresh()
	x.clk.every(refreshInterval, x.end, func() { v.f.Refresh() })
	return v
}

// scheduleUpdates schedules what VMs receive from one engine: its load reports, which reach
// all VMs with a delay, and its feed of cache events, which one VM reads.
func (x *simulation) scheduleUpdates(i int, e *fakeEngine) {
	phase := time.Duration(x.rnd.Int64N(int64(reportInterval)))
	x.clk.after(phase, func() {
		x.sendReport(e)
		x.clk.every(reportInterval, x.end, func() { x.sendReport(e) })
	})
	if !x.p.Ablation.NoFeed {
		reader := x.vms[i%len(x.vms)]
		x.clk.every(feedInterval, x.end, func() { x.readFeed(e, reader) })
	}
}

func (x *simulation) sendReport(e *fakeEngine) {
	r := x.reportOf(e)
	for i := range x.vms {
		lag := reportLag + time.Duration(x.rnd.Int64N(int64(reportLag)))
		x.clk.after(lag, func() { x.vms[i].f.Members.ApplyReport(e.id, r, x.now().Add(-lag)) })
	}
}

func (x *simulation) reportOf(e *fakeEngine) membership.Report {
	return membership.Report{
		Incarnation: e.incarnation, Seq: uint64(x.now().UnixMilli()), QueuedTokens: e.queuedTokens(), Running: len(e.running),
		Slots: e.spec.Slots, PrefillRate: e.spec.PrefillRate, Weights: "w", Silent: !e.up,
	}
}

func (x *simulation) readFeed(e *fakeEngine, reader *vm) {
	batch := e.feed
	e.feed = nil
	if len(batch) > 2 && x.rnd.Float64() < x.w.EventLoss {
		batch = append(batch[:1:1], batch[2:]...) // drop one event
	}
	generation := cacheview.GenerationOf(e.incarnation, "w")
	x.clk.after(feedLag, func() { reader.f.Cache.ApplyEvents(e.id, generation, batch) })
}

// sendToPeers sends the new cache entries of each VM to the other VMs.
func (x *simulation) sendToPeers() {
	for i, v := range x.vms {
		fresh := v.f.Cache.TakeNewEntries()
		x.res.SentEntries += len(fresh)
		if x.p.Ablation.NoPeers {
			continue
		}
		x.clk.after(peerLag, func() {
			for j, other := range x.vms {
				if i == j {
					continue
				}
				for _, b := range fresh {
					other.f.Cache.ApplyPeerEntry(b.Target, uint16(b.Generation), uint64(b.ID))
					if b.Work > 0 {
						other.f.Load.AddPeerWork(b.Target, b.Work, x.now().Add(-peerLag-peerSendInterval/2))
					}
				}
			}
		})
	}
}

// scheduleArrivals draws the requests of the workload: a Poisson process whose rate
// may change.
func (x *simulation) scheduleArrivals() {
	var next func()
	next = func() {
		at := x.now().Sub(start)
		if at >= x.w.Duration {
			return
		}
		x.startRequest(x.w.draw(x.arrivalRnd, at))
		gap := time.Duration(x.arrivalRnd.ExpFloat64() / x.w.rate(at) * float64(time.Second))
		x.clk.after(gap, next)
	}
	x.clk.after(0, next)
}

// request is a request in flight.
type request struct {
	prompt   prompt
	vm       *vm
	arrived  time.Time
	tried    []ids.Target
	attempts int
}

// maxAttempts is the maximum number of attempts of a request.
const maxAttempts = 4

func (x *simulation) startRequest(p prompt) {
	r := &request{prompt: p, vm: x.vms[x.arrivalRnd.IntN(len(x.vms))], arrived: x.now()}
	x.res.Requests++
	x.res.RequestsByWorkspace[p.workspace]++
	r.vm.budget.Deposit()
	x.attempt(r)
}

func (x *simulation) attempt(r *request) {
	req := routing.Request{
		Model: r.prompt.model, FailureDomain: r.vm.domain, Levels: r.prompt.levels, Tokens: int32(r.prompt.tokens),
		RecomputeWeight: x.w.RecomputeWeight, Seed: r.vm.f.Seed(),
	}
	target, dec := x.decide(r, &req)
	if target == "" {
		x.res.Failed++
		return
	}
	if r.attempts == 0 && r.vm.gate != nil {
		predicted := time.Duration(float64(dec.PredictedTTFT) * float64(time.Second))
		if r.vm.gate.Check(r.prompt.workspace, r.prompt.priority, int32(r.prompt.tokens), predicted) != nil {
			x.res.Refused++
			return
		}
	}
	r.attempts++
	x.res.Attempts++
	r.tried = append(r.tried, target)
	x.dispatch(r, x.byID[target], dec)
}

// decide picks a target with the policy, from the actual state if the policy asks
// for it. The target is empty if none is eligible.
func (x *simulation) decide(r *request, req *routing.Request) (ids.Target, routing.Decision) {
	sc := r.vm.f.Acquire()
	defer r.vm.f.Release(sc)
	snap, dec := r.vm.f.Decide(req, r.tried, sc)
	if x.p.Exact || x.p.ExactCache || x.p.ExactLoad {
		x.applyExactState(r, sc.Inputs)
		dec = x.oracle.Decide(req, &snap.View, sc.Inputs, &sc.Routing)
	}
	if dec.Index < 0 {
		return "", dec
	}
	return snap.View.Targets[dec.Index].ID, dec
}

// applyExactState replaces the estimates of a VM by the actual state, as far as the
// policy asks for it.
func (x *simulation) applyExactState(r *request, in []routing.Input) {
	for i, e := range x.engines {
		in[i].State, in[i].SlowStart, in[i].BreakerOpen = routing.Live, 1, false
		if !e.up {
			in[i].State = routing.Dead
		}
		if x.p.Exact || x.p.ExactLoad {
			x.applyExactLoad(e, &in[i])
		}
		if x.p.Exact || x.p.ExactCache {
			in[i].Cached = int32(min(e.cache.Holds(r.prompt.blocks)*blockTokens, r.prompt.tokens))
		}
	}
}

func (x *simulation) applyExactLoad(e *fakeEngine, in *routing.Input) {
	in.PrefillRate = float32(e.spec.PrefillRate)
	in.QueueTokens = float32(e.exactWait().Seconds() * e.spec.PrefillRate)
	in.SlotWait = 0
	if over := len(e.running) + len(e.queue) + 1 - e.spec.Slots; over > 0 {
		in.SlotWait = float32(over) * float32(x.w.Output) * float32(e.spec.TokenEvery.Seconds()) / float32(e.spec.Slots)
	}
}

func (x *simulation) dispatch(r *request, e *fakeEngine, dec routing.Decision) {
	var prior cacheview.Prior
	if !x.p.Ablation.NoExpect {
		prior = r.vm.f.Cache.Expect(e.id, r.prompt.levels, int32(r.prompt.tokens)-dec.Cached)
	}
	r.vm.f.Members.Trying(e.id, x.now())
	work := r.vm.f.Load.Sent(e.id, int32(r.prompt.tokens)-dec.Cached, x.now())
	maxCached := x.maxCached(r.prompt)
	incarnation, cachedTokens := e.incarnation, 0
	x.jobSeq++
	e.submit(&job{
		number: x.jobSeq, blocks: r.prompt.blocks, tokens: r.prompt.tokens, output: x.w.Output, priority: r.prompt.priority,
		onFirstToken: func(cached int) {
			work.FirstToken()
			cachedTokens = cached
			x.res.recordFirstToken(x.now().Sub(start), x.now().Sub(r.arrived), r.prompt.tokens, cached, maxCached)
		},
		done: func(ok bool) {
			work.End()
			x.onAttemptEnd(r, e.id, ok, cacheview.GenerationOf(incarnation, "w"), prior, cachedTokens)
		},
	})
}

// maxCached returns the longest prefix, in tokens, that any eligible engine has cached.
func (x *simulation) maxCached(p prompt) int {
	tokens := 0
	for i, e := range x.engines {
		if e.up && x.w.model(i) == p.model {
			tokens = max(tokens, min(e.cache.Holds(p.blocks)*blockTokens, p.tokens))
		}
	}
	return tokens
}

func (x *simulation) onAttemptEnd(r *request, t ids.Target, ok bool, generation cacheview.Generation, prior cacheview.Prior, cached int) {
	if ok {
		r.vm.f.Members.Succeeded(t)
		r.vm.f.Load.ObserveResponse(int32(r.prompt.tokens), int32(cached))
		r.vm.f.Cache.ApplyResponse(t, generation, r.prompt.levels, prior, int32(cached))
		x.res.Completed++
		x.res.CompletedByWorkspace[r.prompt.workspace]++
		return
	}
	r.vm.f.Members.Failed(t, x.now())
	r.vm.f.MarkDirty()
	if r.attempts < maxAttempts && r.vm.budget.Withdraw() {
		x.attempt(r)
		return
	}
	x.res.Failed++
}

// recordFirstToken records the first token of a response, at the given time since
// the start of the run.
func (r *Result) recordFirstToken(at, ttft time.Duration, tokens, cached, maxCached int) {
	_ = r.TTFT.RecordValue(min(ttft.Microseconds(), ttftMax))
	recomputed := tokens - cached
	r.Prompt += int64(tokens)
	r.Recomputed += int64(recomputed)
	r.Wasted += int64(max(maxCached-cached, 0))
	sec := int(at / time.Second)
	for len(r.windowPrompt) <= sec {
		r.windowPrompt, r.windowRecomputed = append(r.windowPrompt, 0), append(r.windowRecomputed, 0)
		r.windowTTFTSum, r.windowCount = append(r.windowTTFTSum, 0), append(r.windowCount, 0)
	}
	r.windowPrompt[sec] += int64(tokens)
	r.windowRecomputed[sec] += int64(recomputed)
	r.windowTTFTSum[sec] += ttft.Seconds()
	r.windowCount[sec]++
}

// averageWindows computes the figures by second from their sums.
func (r *Result) averageWindows() {
	for i := range r.windowPrompt {
		r.WindowHit = append(r.WindowHit, 1-float64(r.windowRecomputed[i])/float64(max(r.windowPrompt[i], 1)))
		r.WindowTTFT = append(r.WindowTTFT, r.windowTTFTSum[i]/float64(max(r.windowCount[i], 1)))
	}
}
