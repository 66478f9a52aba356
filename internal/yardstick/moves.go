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

// The model of moves replays prompts that share parts on engines with little memory, whose
// KV cache moves over links that serve one transfer after the other. Placement is package
// routing's, moves are package verdict's or a variant of them; what is known of caches and
// queues is exact. It models no batches, preemption, faults or rollouts: it tells policies
// of moves apart, and not how many calls are late.

// TransferWorkload is a load with its fleet, as a file says it.
type TransferWorkload struct {
	Seconds      float64         `json:"seconds" validate:"gt=0"`
	Engines      int             `json:"engines" validate:"min=1"`
	Domains      int             `json:"domains" validate:"min=1"`
	EngineTokens int             `json:"engine_tokens" validate:"min=1"`
	PrefillPerS  float64         `json:"prefill_per_s" validate:"gt=0"` // tokens
	TokenBytes   float64         `json:"token_bytes" validate:"gt=0"`
	LinkGbitS    float64         `json:"link_gbit_s" validate:"gt=0"`
	StoreTokens  int             `json:"store_tokens" validate:"min=0"`
	Routes       []TransferRoute `json:"routes" validate:"min=1,dive"`
}

// TransferRoute is one kind of prompt.
type TransferRoute struct {
	Name     string          `json:"name" validate:"required"`
	PerS     float64         `json:"per_s" validate:"gt=0"`
	Levels   []TransferLevel `json:"levels" validate:"dive"`
	Suffix   float64         `json:"own" validate:"gt=0"`           // mean tokens
	Spread   float64         `json:"spread" validate:"min=0"`       // of their logarithm
	OutputMs float64         `json:"output_ms" validate:"required"` // for which a run stays in memory
}

// TransferLevel is a part that prompts share: one of so many things of so many tokens.
type TransferLevel struct {
	Tokens   int32 `json:"tokens" validate:"min=1"`
	Distinct int   `json:"things" validate:"min=1"`
}

// ReadTransferWorkload reads and checks a load: JSON with comments.
func ReadTransferWorkload(path string) (TransferWorkload, error) {
	var l TransferWorkload
	data, err := os.ReadFile(path)
	if err != nil {
		return l, eris.Wrap(err, "read load")
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return l, eris.Wrapf(err, "load %s", path)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return l, eris.Wrapf(err, "load %s", path)
	}
	return l, eris.Wrapf(validator.New(validator.WithRequiredStructEnabled()).Struct(l), "load %s", path)
}

// TransferPolicy plans what moves along with a prompt.
type TransferPolicy func(verdict.Prompt, verdict.Locations) verdict.TransferPlan

// TransferResult is what became of a load.
type TransferResult struct {
	Prompts          int
	Computed         float64                    // tokens
	RecomputedShared float64                    // of them, shared ones that an engine had computed before
	Transferred      float64                    // tokens over links
	Saves            int                        // that reached the store
	SavesSkipped     int                        // that found the link taken for too long
	TTFT             map[string][]time.Duration // until the first token, by route, sorted
}

// Quantile returns a quantile of a route's waits.
func (r *TransferResult) Quantile(route string, q float64) time.Duration {
	w := r.TTFT[route]
	if len(w) == 0 {
		return 0
	}
	return w[min(int(q*float64(len(w))), len(w)-1)]
}

// moveWorld is one run. Times are seconds since its start.
type moveWorld struct {
	l       TransferWorkload
	policy  TransferPolicy
	router  *routing.Router
	rnd     *rand.Rand
	engines []*moveEngine
	store   *moveEngine
	view    routing.View
	done    map[prefix.ID]bool // shared parts that were computed before
	res     *TransferResult
	scratch routing.Scratch
	seq     uint64
}

// moveEngine is an engine's or the store's memory and link.
type moveEngine struct {
	addr   string
	domain ids.FailureDomain
	room   int
	used   int
	parts  map[prefix.ID]*movePart
	free   float64 // when its prefill is free
	link   float64 // when its link is free
	ends   []float64
}

type movePart struct {
	tokens int
	last   float64 // use
	ready  float64 // from when others find it
	busy   float64 // until when a run keeps it
}

// storeAddr names the store of the model.
const storeAddr = "store"

// linkWait is the longest wait for a link with which a transfer is begun, in seconds.
const linkWait = 2

// ReplayTransfers plays a load under a policy.
func ReplayTransfers(l TransferWorkload, policy TransferPolicy, seed uint64) *TransferResult {
	w := &moveWorld{
		l: l, policy: policy, router: routing.NewFetching(), rnd: rand.New(rand.NewPCG(seed, 7)), done: map[prefix.ID]bool{},
		res: &TransferResult{TTFT: map[string][]time.Duration{}}, store: newMoveEngine(storeAddr, "d0", l.StoreTokens),
	}
	for i := range l.Engines {
		e := newMoveEngine(fmt.Sprint("e", i), ids.FailureDomain(fmt.Sprint("d", i%l.Domains)), l.EngineTokens)
		w.engines = append(w.engines, e)
		w.view.Targets = append(w.view.Targets, routing.Target{ID: ids.Target(e.addr), FailureDomain: e.domain, Service: "s", Addr: e.addr, Hash: routing.HashTarget(ids.Target(e.addr))})
	}
	rate := 0.0
	for _, r := range l.Routes {
		rate += r.PerS
	}
	for now := w.rnd.ExpFloat64() / rate; now < l.Seconds; now += w.rnd.ExpFloat64() / rate {
		w.serve(now, w.draw(rate))
	}
	for _, waits := range w.res.TTFT {
		slices.Sort(waits)
	}
	return w.res
}

func newMoveEngine(addr string, domain ids.FailureDomain, room int) *moveEngine {
	return &moveEngine{addr: addr, domain: domain, room: room, parts: map[prefix.ID]*movePart{}}
}

// movePrompt is one drawn prompt.
type movePrompt struct {
	route  *TransferRoute
	levels []prefix.Level // of shared parts, with their ends
	own    prefix.ID
	tokens int32
}

func (w *moveWorld) draw(rate float64) movePrompt {
	x := w.rnd.Float64() * rate
	p := movePrompt{route: &w.l.Routes[len(w.l.Routes)-1]}
	at := 0
	for i := range w.l.Routes {
		if x -= w.l.Routes[i].PerS; x < 0 {
			p.route, at = &w.l.Routes[i], i
			break
		}
	}
	for i, level := range p.route.Levels {
		p.tokens += level.Tokens
		id := prefix.ID(uint64(at+1)<<40 | uint64(i+1)<<32 | uint64(w.rnd.IntN(level.Distinct)+1))
		p.levels = append(p.levels, prefix.Level{ID: id, Tokens: p.tokens})
	}
	w.seq++
	p.own = prefix.ID(1<<60 | w.seq)
	p.tokens += max(int32(p.route.Suffix*math.Exp(p.route.Spread*w.rnd.NormFloat64()-p.route.Spread*p.route.Spread/2)), 1)
	return p
}

// serve decides for one prompt and lets an engine compute it.
func (w *moveWorld) serve(now float64, p movePrompt) {
	in := make([]routing.Input, len(w.engines))
	for i, e := range w.engines {
		in[i] = routing.Input{
			State: routing.Live, SlowStart: 1, PrefillRate: float32(w.l.PrefillPerS), Cached: e.holds(p.levels, now), Slots: 64,
			QueueTokens: float32(max(e.free-now, 0) * w.l.PrefillPerS), InFlight: int32(e.running(now)),
		}
	}
	req := routing.Request{
		Service: "s", FailureDomain: w.engines[w.rnd.IntN(len(w.engines))].domain, Levels: p.levels, Tokens: p.tokens,
		FetchRate: moveFetchRate, Seed: w.seq,
	}
	d := w.router.Decide(&req, &w.view, in, &w.scratch)
	e := w.engines[d.Index]
	m := w.policy(verdict.Prompt{Tokens: p.tokens, Shared: shared(p.levels)}, w.places(d.Index, in, p.levels, now))
	w.run(now, e, p, m)
}

// moveFetchRate is what routing is told of moves, in tokens/s: the daemon's.
const moveFetchRate = 40_000

func shared(levels []prefix.Level) int32 {
	if len(levels) == 0 {
		return 0
	}
	return levels[len(levels)-1].Tokens
}

func (w *moveWorld) places(chosen int, in []routing.Input, levels []prefix.Level, now float64) verdict.Locations {
	at := verdict.Locations{Held: in[chosen].Cached, Store: verdict.Source{Addr: storeAddr, Tokens: w.store.holds(levels, now)}}
	for i, e := range w.engines {
		if i != chosen && in[i].Cached > at.Holder.Tokens {
			at.Holder = verdict.Source{Addr: e.addr, Tokens: in[i].Cached}
		}
	}
	if home := w.scratch.Rendezvous(); home >= 0 && home != chosen {
		at.Rendezvous = w.engines[home].addr
	}
	return at
}

// run moves, computes and saves.
func (w *moveWorld) run(now float64, e *moveEngine, p movePrompt, m verdict.TransferPlan) {
	begin, held := now, e.holds(p.levels, now)
	if src := w.source(m.Fetch); src != nil {
		if found := src.holds(p.levels, now); found > held {
			if end, ok := w.transfer(now, src, e, float64(found-held)); ok {
				begin, held = end, found
			}
		}
	}
	start := max(begin, e.free)
	for _, l := range p.levels { // what came meanwhile is found, too
		if part := e.parts[l.ID]; part != nil && part.ready <= start {
			held = max(held, l.Tokens)
		}
	}
	end := start + float64(p.tokens-held)/w.l.PrefillPerS
	e.free = end
	w.res.Prompts++
	w.res.Computed += float64(p.tokens - held)
	last := int32(0)
	for _, l := range p.levels {
		if l.Tokens > held {
			if w.done[l.ID] {
				w.res.RecomputedShared += float64(l.Tokens - max(last, held))
			}
			w.done[l.ID] = true
		}
		e.put(l.ID, int(l.Tokens-last), now, end, end+p.route.OutputMs/1000)
		last = l.Tokens
	}
	e.put(p.own, int(p.tokens-last), now, end, end+p.route.OutputMs/1000)
	e.ends = append(e.ends, end+p.route.OutputMs/1000)
	w.res.TTFT[p.route.Name] = append(w.res.TTFT[p.route.Name], time.Duration((end-now)*float64(time.Second)))
	if m.Save {
		w.save(end, e, p)
	}
}

// save sends what the store lacks of a prompt, its own part included.
func (w *moveWorld) save(now float64, e *moveEngine, p movePrompt) {
	last, lacks := int32(0), 0
	type piece struct {
		id     prefix.ID
		tokens int
	}
	var pieces []piece
	for _, l := range append(slices.Clone(p.levels), prefix.Level{ID: p.own, Tokens: p.tokens}) {
		if w.store.parts[l.ID] == nil {
			pieces = append(pieces, piece{l.ID, int(l.Tokens - last)})
			lacks += int(l.Tokens - last)
		}
		last = l.Tokens
	}
	end, ok := w.transfer(now, e, w.store, float64(lacks))
	if !ok {
		w.res.SavesSkipped++
		return
	}
	w.res.Saves++
	for _, x := range pieces {
		w.store.put(x.id, x.tokens, now, end, end)
	}
}

func (w *moveWorld) source(addr string) *moveEngine {
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

// transfer moves tokens over both links, behind what they carry.
func (w *moveWorld) transfer(now float64, from, to *moveEngine, tokens float64) (end float64, ok bool) {
	begin := max(now, from.link, to.link)
	if begin-now > linkWait {
		return 0, false
	}
	took := tokens * w.l.TokenBytes * 8 / (w.l.LinkGbitS * 1e9)
	if from.domain != to.domain {
		took *= 2
	}
	end = begin + took
	from.link, to.link = end, end
	w.res.Transferred += tokens
	return end, true
}

// holds returns how many tokens of the levels are there, without a gap.
func (e *moveEngine) holds(levels []prefix.Level, now float64) int32 {
	held := int32(0)
	for _, l := range levels {
		part := e.parts[l.ID]
		if part == nil || part.ready > now {
			break
		}
		part.last = now
		held = l.Tokens
	}
	return held
}

// put keeps a part; the least recently used ones give way to it.
func (e *moveEngine) put(id prefix.ID, tokens int, now, ready, busy float64) {
	if part := e.parts[id]; part != nil {
		part.last, part.busy = now, max(part.busy, busy)
		return
	}
	e.used += tokens
	e.parts[id] = &movePart{tokens: tokens, last: now, ready: ready, busy: busy}
	for e.used > e.room {
		var oldest prefix.ID
		for other, part := range e.parts {
			if part.busy <= now && (oldest == 0 || part.last < e.parts[oldest].last || part.last == e.parts[oldest].last && other < oldest) {
				oldest = other
			}
		}
		if oldest == 0 {
			return // all of it is in use
		}
		e.used -= e.parts[oldest].tokens
		delete(e.parts, oldest)
	}
}

// running returns how many runs are there.
func (e *moveEngine) running(now float64) int {
	e.ends = slices.DeleteFunc(e.ends, func(end float64) bool { return end <= now })
	return len(e.ends)
}
