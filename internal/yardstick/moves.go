package yardstick

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/verdict"
)

// The transfer model replays prompts with shared prefixes on engines with little memory. KV
// cache is transferred over links that serve one transfer at a time. Package routing picks the
// targets; package verdict, or a variant of it, plans the transfers; the state of caches and
// queues that they use is exact. Batches, preemption, faults and rollouts are not modeled, so
// the model can compare transfer policies but can't predict how many calls are late.

// TransferWorkload is a workload and its fleet, in the format of a workload file.
type TransferWorkload struct {
	Seconds      float64         `json:"seconds" validate:"gt=0"` // duration of the run
	Engines      int             `json:"engines" validate:"min=1"`
	Domains      int             `json:"domains" validate:"min=1"`       // failure domains
	EngineTokens int             `json:"engine_tokens" validate:"min=1"` // KV cache of one engine
	PrefillPerS  float64         `json:"prefill_per_s" validate:"gt=0"`  // tokens/s
	TokenBytes   float64         `json:"token_bytes" validate:"gt=0"`    // KV cache of one token
	LinkGbitS    float64         `json:"link_gbit_s" validate:"gt=0"`    // of each link, within a failure domain
	StoreTokens  int             `json:"store_tokens" validate:"min=0"`  // KV cache of the store
	Routes       []TransferRoute `json:"routes" validate:"min=1,dive"`
}

// TransferRoute is one kind of prompt.
type TransferRoute struct {
	Name     string          `json:"name" validate:"required"`
	PerS     float64         `json:"per_s" validate:"gt=0"`         // prompts/s
	Levels   []TransferLevel `json:"levels" validate:"dive"`        // sections of the shared prefix, in order
	Suffix   float64         `json:"own" validate:"gt=0"`           // mean length of the unshared suffix, in tokens
	Spread   float64         `json:"spread" validate:"min=0"`       // standard deviation of the logarithm of the suffix length
	OutputMs float64         `json:"output_ms" validate:"required"` // time for which the run occupies memory after the prefill
}

// TransferLevel is a section of the shared prefix: one of a number of distinct texts of the
// same length.
type TransferLevel struct {
	Tokens   int32 `json:"tokens" validate:"min=1"`
	Distinct int   `json:"things" validate:"min=1"`
}

// ReadTransferWorkload reads and validates a workload file, which is JSON with comments.
func ReadTransferWorkload(path string) (TransferWorkload, error) {
	var workload TransferWorkload
	data, err := os.ReadFile(path)
	if err != nil {
		return workload, eris.Wrap(err, "read workload")
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return workload, eris.Wrapf(err, "parse workload %s", path)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&workload); err != nil {
		return workload, eris.Wrapf(err, "decode workload %s", path)
	}
	return workload, eris.Wrapf(validator.New(validator.WithRequiredStructEnabled()).Struct(workload), "validate workload %s", path)
}

// TransferPolicy plans the transfers of a prompt.
type TransferPolicy func(verdict.Prompt, verdict.Locations) verdict.TransferPlan

// TransferResult holds the figures of a replay.
type TransferResult struct {
	Prompts          int
	Computed         float64                    // tokens
	RecomputedShared float64                    // tokens of shared prefixes that were computed again
	Transferred      float64                    // tokens sent over links
	Saves            int                        // saves that were sent to the store
	SavesSkipped     int                        // saves not sent since they would have waited for a link for more than maxLinkWait
	TTFT             map[string][]time.Duration // by route, sorted
}

// Quantile returns a quantile (0 to 1) of the TTFT of a route; 0 if the route has no prompts.
func (r *TransferResult) Quantile(route string, q float64) time.Duration {
	ttfts := r.TTFT[route]
	if len(ttfts) == 0 {
		return 0
	}
	return ttfts[min(int(q*float64(len(ttfts))), len(ttfts)-1)]
}

// transferSimulation is the state of one run. Times are in seconds since its start.
type transferSimulation struct {
	workload TransferWorkload
	policy   TransferPolicy
	router   *routing.Router
	rnd      *rand.Rand
	engines  []*node
	store    *node
	view     routing.View
	computed map[prefix.ID]bool // sections of shared prefixes that engines have computed
	res      *TransferResult
	scratch  routing.Scratch
	seq      uint64
}

// node is the memory and link of an engine or of the store.
type node struct {
	addr        string
	domain      ids.FailureDomain
	capacity    int // tokens
	used        int // tokens
	entries     map[prefix.ID]*cacheEntry
	prefillFree float64   // time at which the queue of prefills ends
	linkFree    float64   // time at which the last transfer ends
	runEnds     []float64 // times at which the runs on the engine end
}

// cacheEntry is a section of a prompt in the memory of a node.
type cacheEntry struct {
	tokens      int
	lastUse     float64 // time of the last use
	ready       float64 // time from which it can be used and fetched
	pinnedUntil float64 // a run uses it until then
}

// storeAddr is the address of the store.
const storeAddr = "store"

// maxLinkWait is the longest wait for a link, in seconds. A transfer that would wait longer is
// not started.
const maxLinkWait = 2

// ReplayTransfers simulates a workload under a policy. A seed always gives the same result.
func ReplayTransfers(workload TransferWorkload, policy TransferPolicy, seed uint64) *TransferResult {
	w := &transferSimulation{
		workload: workload, policy: policy, router: routing.NewFetching(), rnd: rand.New(rand.NewPCG(seed, 7)), computed: map[prefix.ID]bool{},
		res: &TransferResult{TTFT: map[string][]time.Duration{}}, store: newNode(storeAddr, "d0", workload.StoreTokens),
	}
	for i := range workload.Engines {
		e := newNode(fmt.Sprint("e", i), ids.FailureDomain(fmt.Sprint("d", i%workload.Domains)), workload.EngineTokens)
		w.engines = append(w.engines, e)
		w.view.Targets = append(w.view.Targets, routing.Target{ID: ids.Target(e.addr), FailureDomain: e.domain, Service: "s", Addr: e.addr, Hash: routing.HashTarget(ids.Target(e.addr))})
	}
	rate := 0.0
	for _, r := range workload.Routes {
		rate += r.PerS
	}
	for now := w.rnd.ExpFloat64() / rate; now < workload.Seconds; now += w.rnd.ExpFloat64() / rate {
		w.serve(now, w.draw(rate))
	}
	for _, waits := range w.res.TTFT {
		slices.Sort(waits)
	}
	return w.res
}

func newNode(addr string, domain ids.FailureDomain, capacity int) *node {
	return &node{addr: addr, domain: domain, capacity: capacity, entries: map[prefix.ID]*cacheEntry{}}
}

// transferPrompt is the prompt of one request.
type transferPrompt struct {
	route  *TransferRoute
	levels []prefix.Level // sections of the shared prefix
	suffix prefix.ID
	tokens int32 // length, with the suffix
}

// draw draws the next prompt, given the total rate of all routes in prompts/s.
func (w *transferSimulation) draw(rate float64) transferPrompt {
	x := w.rnd.Float64() * rate
	p := transferPrompt{route: &w.workload.Routes[len(w.workload.Routes)-1]}
	at := 0
	for i := range w.workload.Routes {
		if x -= w.workload.Routes[i].PerS; x < 0 {
			p.route, at = &w.workload.Routes[i], i
			break
		}
	}
	for i, level := range p.route.Levels {
		p.tokens += level.Tokens
		id := prefix.ID(uint64(at+1)<<40 | uint64(i+1)<<32 | uint64(w.rnd.IntN(level.Distinct)+1))
		p.levels = append(p.levels, prefix.Level{ID: id, Tokens: p.tokens})
	}
	w.seq++
	p.suffix = prefix.ID(1<<60 | w.seq)
	p.tokens += max(int32(p.route.Suffix*math.Exp(p.route.Spread*w.rnd.NormFloat64()-p.route.Spread*p.route.Spread/2)), 1)
	return p
}

// serve routes one prompt, plans its transfers and runs it.
func (w *transferSimulation) serve(now float64, p transferPrompt) {
	in := make([]routing.Input, len(w.engines))
	for i, e := range w.engines {
		in[i] = routing.Input{
			State: routing.Live, SlowStart: 1, PrefillRate: float32(w.workload.PrefillPerS), Cached: e.holds(p.levels, now), Slots: 64,
			QueueTokens: float32(max(e.prefillFree-now, 0) * w.workload.PrefillPerS), InFlight: int32(e.running(now)),
		}
	}
	req := routing.Request{
		Service: "s", FailureDomain: w.engines[w.rnd.IntN(len(w.engines))].domain, Levels: p.levels, Tokens: p.tokens,
		FetchRate: fetchRate, Seed: w.seq,
	}
	d := w.router.Decide(&req, &w.view, in, &w.scratch)
	e := w.engines[d.Index]
	plan := w.policy(verdict.Prompt{Tokens: p.tokens, Shared: sharedTokens(p.levels)}, w.locations(d.Index, in, p.levels, now))
	w.run(now, e, p, plan)
}

// fetchRate is the rate of fetches, in tokens/s, that routing assumes: the same as in package
// edge.
const fetchRate = 40_000

func sharedTokens(levels []prefix.Level) int32 {
	if len(levels) == 0 {
		return 0
	}
	return levels[len(levels)-1].Tokens
}

// locations returns how much of the prefix of a prompt the chosen engine and the store hold,
// which other engine holds most of it, and the rendezvous target if it is not the chosen engine.
func (w *transferSimulation) locations(chosen int, in []routing.Input, levels []prefix.Level, now float64) verdict.Locations {
	at := verdict.Locations{Held: in[chosen].Cached, Store: verdict.Source{Addr: storeAddr, Tokens: w.store.holds(levels, now)}}
	for i, e := range w.engines {
		if i != chosen && in[i].Cached > at.Holder.Tokens {
			at.Holder = verdict.Source{Addr: e.addr, Tokens: in[i].Cached}
		}
	}
	if rendezvousTarget := w.scratch.Rendezvous(); rendezvousTarget >= 0 && rendezvousTarget != chosen {
		at.Rendezvous = w.engines[rendezvousTarget].addr
	}
	return at
}

// run carries out the fetch of a plan, the prefill and the save.
func (w *transferSimulation) run(now float64, e *node, p transferPrompt, plan verdict.TransferPlan) {
	begin, held := now, e.holds(p.levels, now)
	if src := w.source(plan.Fetch); src != nil {
		if found := src.holds(p.levels, now); found > held {
			if end, ok := w.transfer(now, src, e, float64(found-held)); ok {
				begin, held = end, found
			}
		}
	}
	start := max(begin, e.prefillFree)
	for _, l := range p.levels { // sections that arrived during the wait count as cached, too
		if entry := e.entries[l.ID]; entry != nil && entry.ready <= start {
			held = max(held, l.Tokens)
		}
	}
	end := start + float64(p.tokens-held)/w.workload.PrefillPerS
	e.prefillFree = end
	w.res.Prompts++
	w.res.Computed += float64(p.tokens - held)
	last := int32(0)
	for _, l := range p.levels {
		if l.Tokens > held {
			if w.computed[l.ID] {
				w.res.RecomputedShared += float64(l.Tokens - max(last, held))
			}
			w.computed[l.ID] = true
		}
		e.put(l.ID, int(l.Tokens-last), now, end, end+p.route.OutputMs/1000)
		last = l.Tokens
	}
	e.put(p.suffix, int(p.tokens-last), now, end, end+p.route.OutputMs/1000)
	e.runEnds = append(e.runEnds, end+p.route.OutputMs/1000)
	w.res.TTFT[p.route.Name] = append(w.res.TTFT[p.route.Name], time.Duration((end-now)*float64(time.Second)))
	if plan.Save {
		w.save(end, e, p)
	}
}

// save sends the sections of a prompt that the store lacks, including the unshared suffix.
func (w *transferSimulation) save(now float64, e *node, p transferPrompt) {
	last, missing := int32(0), 0
	type section struct {
		id     prefix.ID
		tokens int
	}
	var sections []section
	for _, l := range append(slices.Clone(p.levels), prefix.Level{ID: p.suffix, Tokens: p.tokens}) {
		if w.store.entries[l.ID] == nil {
			sections = append(sections, section{l.ID, int(l.Tokens - last)})
			missing += int(l.Tokens - last)
		}
		last = l.Tokens
	}
	end, ok := w.transfer(now, e, w.store, float64(missing))
	if !ok {
		w.res.SavesSkipped++
		return
	}
	w.res.Saves++
	for _, x := range sections {
		w.store.put(x.id, x.tokens, now, end, end)
	}
}

// source returns the node with an address, or nil.
func (w *transferSimulation) source(addr string) *node {
	if addr == storeAddr {
		return w.store
	}
	for _, e := range w.engines {
		if e.addr == addr {
			return e
		}
	}
	return nil
}

// transfer sends tokens over the links of both nodes, after the transfers queued there. Between
// failure domains it takes twice as long. It returns the time at which the transfer ends, or false
// if the transfer would wait longer than maxLinkWait and so is not started.
func (w *transferSimulation) transfer(now float64, from, to *node, tokens float64) (end float64, ok bool) {
	begin := max(now, from.linkFree, to.linkFree)
	if begin-now > maxLinkWait {
		return 0, false
	}
	duration := tokens * w.workload.TokenBytes * 8 / (w.workload.LinkGbitS * 1e9)
	if from.domain != to.domain {
		duration *= 2
	}
	end = begin + duration
	from.linkFree, to.linkFree = end, end
	w.res.Transferred += tokens
	return end, true
}

// holds returns the length, in tokens, of the longest prefix of the levels that the node has
// ready, and marks it as used.
func (e *node) holds(levels []prefix.Level, now float64) int32 {
	held := int32(0)
	for _, l := range levels {
		entry := e.entries[l.ID]
		if entry == nil || entry.ready > now {
			break
		}
		entry.lastUse = now
		held = l.Tokens
	}
	return held
}

// put adds a section. If that exceeds the capacity, it evicts the least recently used sections
// that no run uses.
func (e *node) put(id prefix.ID, tokens int, now, ready, pinnedUntil float64) {
	if entry := e.entries[id]; entry != nil {
		entry.lastUse, entry.pinnedUntil = now, max(entry.pinnedUntil, pinnedUntil)
		return
	}
	e.used += tokens
	e.entries[id] = &cacheEntry{tokens: tokens, lastUse: now, ready: ready, pinnedUntil: pinnedUntil}
	for e.used > e.capacity {
		var oldest prefix.ID
		for other, entry := range e.entries {
			if entry.pinnedUntil <= now && (oldest == 0 || entry.lastUse < e.entries[oldest].lastUse || entry.lastUse == e.entries[oldest].lastUse && other < oldest) {
				oldest = other
			}
		}
		if oldest == 0 {
			return // all entries are in use
		}
		e.used -= e.entries[oldest].tokens
		delete(e.entries, oldest)
	}
}

// running returns the number of runs on the engine that have not ended.
func (e *node) running(now float64) int {
	e.runEnds = slices.DeleteFunc(e.runEnds, func(end float64) bool { return end <= now })
	return len(e.runEnds)
}
