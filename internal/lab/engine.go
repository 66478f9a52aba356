// Package lab holds small stand-ins for what threadwall serves: model engines,
// plain services and the platform's object API, and a load generator that checks
// every answer. It starts no process and models no cluster.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/blockcache"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/prefix"
)

// EngineSpec sets up a stand-in engine.
type EngineSpec struct {
	Model       ids.Model
	Weights     ids.WeightsVersion
	PrefillRate float64       // tokens/s
	TokenEvery  time.Duration // between tokens of one answer
	Slots       int           // answers generated at once
	CacheBlocks int
	// IgnoresFences makes the engine follow orders with old fencing numbers.
	IgnoresFences bool
	LoadTime      time.Duration // of new weights
}

// DefaultEngine is a small engine that lets a demo run quickly.
var DefaultEngine = EngineSpec{
	Weights: "w1", PrefillRate: 60_000, TokenEvery: 2 * time.Millisecond, Slots: 32, CacheBlocks: 2_500,
}

// shortestSleep is what a timer can tell apart; a shorter one may take a
// millisecond, which would be measured as somebody's cost.
const shortestSleep = 500 * time.Microsecond

// resumeGrace is how long an answer goes on without a reader before it is
// cancelled.
const resumeGrace = 1500 * time.Millisecond

// eventsKept is how many cache events an engine keeps for readers.
const eventsKept = 20_000

// Engine is a stand-in model engine.
type Engine struct {
	spec        EngineSpec
	incarnation ids.Incarnation
	slots       chan struct{}
	prefill     sync.Mutex // one prefill at a time

	mu      sync.Mutex
	cache   *blockcache.Cache
	events  []cacheview.Event
	answers map[ids.Attempt]*generation
	queued  int
	running int
	leaving bool
	loading bool
	weights ids.WeightsVersion
	fence   uint64
	// Ordered lists the fencing numbers of the orders that were followed.
	ordered []uint64

	faults Faults
	// PromptTokens, CachedTokens and Cancelled count tokens and answers.
	PromptTokens, CachedTokens, Cancelled, Served atomic.Int64
}

// NewEngine returns an engine with an empty cache.
func NewEngine(spec EngineSpec, incarnation ids.Incarnation) *Engine {
	e := &Engine{spec: spec, incarnation: incarnation, slots: make(chan struct{}, spec.Slots), answers: map[ids.Attempt]*generation{}, weights: spec.Weights}
	e.cache = blockcache.New(spec.CacheBlocks, e.cacheEvent)
	return e
}

// SetLeaving makes the engine say that it is going, and refuse new work.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// cacheEvent is called with the lock held.
func (e *Engine) cacheEvent(ev cacheview.Event) {
	e.events = append(e.events, ev)
	if len(e.events) > eventsKept {
		e.events = append([]cacheview.Event(nil), e.events[eventsKept/2:]...)
	}
}

// Handler serves the engine's protocol and its fault switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST "+engine.PathResume, e.serveResume)
	mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engine.PathEvents, e.serveEvents)
	mux.HandleFunc("POST "+orders.PathOrders, e.serveOrder)
	mux.Handle("POST /lab/faults", &e.faults)
	return mux
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := engine.Load{
		Incarnation: e.incarnation, Leaving: e.leaving || e.loading, Weights: e.weights, Model: e.spec.Model,
		QueuedTokens: e.queued, Running: e.running, Slots: e.spec.Slots, PrefillRate: e.spec.PrefillRate,
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

// feedBatch bounds one answer of the cache feed.
const feedBatch = 5000

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	f := engine.EventBatch{Incarnation: e.incarnation, Weights: e.weights}
	for _, ev := range e.events {
		f.Last = ev.Seq
		if ev.Seq > after && len(f.Events) < feedBatch {
			f.Events = append(f.Events, ev)
		}
	}
	e.mu.Unlock()
	f.Events = e.faults.lossy(f.Events)
	_ = json.NewEncoder(w).Encode(f)
}

// completionBody is what the engine reads of a request.
type completionBody struct {
	Model    ids.Model `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	CacheSalt string `json:"cache_salt"`
	Continue  bool   `json:"continue_final_message"`
}

const (
	defaultMaxTokens = 24
	maxBody          = 16 << 20
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	attempt := ids.Attempt(r.Header.Get(engine.HeaderRequestID))
	e.head(w, attempt)
	if e.refuses(w) {
		return
	}
	var body completionBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	if body.Model != e.spec.Model {
		http.Error(w, `{"error":{"message":"the model is not loaded here"}}`, http.StatusNotFound)
		return
	}
	g := e.start(attempt, &body)
	if !body.Stream {
		e.serveWhole(w, r, g)
		return
	}
	e.serveStream(w, r, g, 0)
}

func (e *Engine) head(w http.ResponseWriter, attempt ids.Attempt) {
	h := w.Header()
	h.Set(engine.HeaderAttempt, string(attempt))
	h.Set(engine.HeaderIncarnation, strconv.FormatUint(uint64(e.incarnation), 10))
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set(engine.HeaderWeights, string(e.weights))
}

// refuses turns a request away while the engine leaves, or by a fault.
func (e *Engine) refuses(w http.ResponseWriter) bool {
	e.mu.Lock()
	leaving, loading := e.leaving, e.loading
	e.mu.Unlock()
	if !leaving && !loading && !e.faults.refuse(w.Header()) {
		return false
	}
	w.Header().Set(engine.HeaderOutcome, "not-run")
	w.Header().Set(engine.HeaderLeaving, strconv.FormatBool(leaving))
	http.Error(w, "not now", http.StatusServiceUnavailable)
	return true
}

// generation is one answer, kept as its numbered events until it is read.
type generation struct {
	attempt ids.Attempt
	chat    bool
	prompt  int // tokens
	cached  int
	total   int
	skip    int // tokens that the caller has already
	tag     string

	mu      sync.Mutex
	events  []string // data of events 1..n
	done    bool
	readers int
	idleAt  time.Time
	more    chan struct{} // closed and replaced at each change
	cancel  context.CancelFunc
}

func (e *Engine) start(attempt ids.Attempt, body *completionBody) *generation {
	var text strings.Builder
	for _, m := range body.Messages {
		text.WriteString(m.Content)
	}
	text.WriteString(body.Prompt)
	g := &generation{attempt: attempt, chat: len(body.Messages) > 0, total: body.MaxTokens, more: make(chan struct{}), tag: AnswerTag(lastUser(body))}
	if g.total == 0 {
		g.total = defaultMaxTokens
	}
	if n := len(body.Messages); body.Continue && n > 0 {
		g.skip = strings.Count(body.Messages[n-1].Content, " ")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	e.mu.Lock()
	e.answers[attempt] = g
	e.mu.Unlock()
	go e.generate(ctx, g, blockcache.Blocks(prefix.Seed(ids.Workspace(body.CacheSalt), e.spec.Model), []byte(text.String())), text.Len())
	return g
}

func lastUser(body *completionBody) string {
	for i := len(body.Messages) - 1; i >= 0; i-- {
		if body.Messages[i].Role == "user" {
			return body.Messages[i].Content
		}
	}
	return body.Prompt
}

// AnswerTag marks every token of the answer to a user's message, so that the
// load generator can tell whose answer it got.
func AnswerTag(user string) string { return fmt.Sprintf("%08x", uint32(xxh3.HashString(user))) }

// generate computes the prompt, then one token after another.
func (e *Engine) generate(ctx context.Context, g *generation, blocks []prefix.ID, bytes int) {
	defer e.finish(g)
	g.prompt = (bytes + prefix.BytesPerToken - 1) / prefix.BytesPerToken
	e.load(g.prompt, 0)
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.prefill.Lock()
	e.mu.Lock()
	g.cached = min(e.cache.Use(blocks)*prefix.BlockTokens, g.prompt)
	e.mu.Unlock()
	if work := time.Duration(float64(g.prompt-g.cached) / e.spec.PrefillRate * float64(time.Second)); work > shortestSleep {
		time.Sleep(work)
	}
	e.prefill.Unlock()
	e.load(-g.prompt, 1)
	defer e.load(0, -1)
	e.PromptTokens.Add(int64(g.prompt))
	e.CachedTokens.Add(int64(g.cached))
	tick := time.NewTicker(e.spec.TokenEvery)
	defer tick.Stop()
	for i := g.skip; i < g.total; i++ {
		if ctx.Err() != nil || g.abandoned() {
			e.Cancelled.Add(1)
			return
		}
		g.emit(g.chunk(fmt.Sprintf("%d:%s ", i, g.tag), ""))
		<-tick.C
	}
	g.emit(g.chunk("", "stop"))
	g.emit(g.usage())
	g.emit("[DONE]")
	e.Served.Add(1)
}

func (e *Engine) load(queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
}

// finish ends an answer and forgets it a little later.
func (e *Engine) finish(g *generation) {
	g.mu.Lock()
	g.done = true
	g.wake()
	g.mu.Unlock()
	time.AfterFunc(4*resumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.answers, g.attempt)
	})
}

func (g *generation) emit(data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, data)
	g.wake()
}

func (g *generation) wake() {
	close(g.more)
	g.more = make(chan struct{})
}

// abandoned tells whether nobody has read the answer for the grace time.
func (g *generation) abandoned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && !g.idleAt.IsZero() && time.Since(g.idleAt) > resumeGrace
}

func (g *generation) reading(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += n
	if g.readers == 0 {
		g.idleAt = time.Now()
	}
}

// next returns event number n, waiting for it. ok is false after the last.
func (g *generation) next(ctx context.Context, n int) (data string, ok bool) {
	for {
		g.mu.Lock()
		if n <= len(g.events) {
			defer g.mu.Unlock()
			return g.events[n-1], true
		}
		done, more := g.done, g.more
		g.mu.Unlock()
		if done {
			return "", false
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-more:
		}
	}
}
