// Package lab holds small stand-ins for the systems around threadwall (model engines, plain
// services and the platform's object API), a load generator that checks every response, and
// measurements of VMs. All of them run in the calling process; the package does not model a
// cluster.
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

// EngineSpec configures a stand-in engine.
type EngineSpec struct {
	Model       ids.Model
	Weights     ids.WeightsVersion
	PrefillRate float64       // tokens/s
	TokenEvery  time.Duration // between tokens of one response
	Slots       int           // responses generated concurrently
	CacheBlocks int           // capacity of the prefix cache
	// IgnoresFences makes the engine apply orders with outdated fencing tokens.
	IgnoresFences bool
	LoadTime      time.Duration // to load new weights
}

// DefaultEngine is a small, fast engine for demos.
var DefaultEngine = EngineSpec{
	Weights: "w1", PrefillRate: 60_000, TokenEvery: 2 * time.Millisecond, Slots: 32, CacheBlocks: 2_500,
}

// minSleep is the shortest prefill that the engine simulates by a sleep. The timer may extend a
// shorter sleep to a millisecond, which measurements would count as overhead of the router or
// the engine.
const minSleep = 500 * time.Microsecond

// resumeGrace is how long the engine generates a response without a reader before it
// cancels the response.
const resumeGrace = 1500 * time.Millisecond

// maxEvents is the maximum number of cache events that an engine keeps for readers. When it is
// exceeded, the engine drops the oldest half.
const maxEvents = 20_000

// Engine is a stand-in model engine. Safe for concurrent use.
type Engine struct {
	spec        EngineSpec
	incarnation ids.Incarnation
	slots       chan struct{}
	prefill     sync.Mutex // held during a prefill; the engine computes one at a time

	mu        sync.Mutex
	cache     *blockcache.Cache
	events    []cacheview.Event
	responses map[ids.Attempt]*generation
	queued    int // prompt tokens whose prefill has not ended
	running   int // responses that are emitting tokens
	leaving   bool
	loading   bool
	weights   ids.WeightsVersion
	fence     uint64
	// appliedFences lists the fencing tokens of the applied orders.
	appliedFences []uint64

	faults Faults
	// PromptTokens counts the tokens of all prompts, CachedTokens those that were cached.
	// Cancelled and Served count responses that were cancelled and completed.
	PromptTokens, CachedTokens, Cancelled, Served atomic.Int64
}

// NewEngine returns an engine with an empty cache.
func NewEngine(spec EngineSpec, incarnation ids.Incarnation) *Engine {
	e := &Engine{spec: spec, incarnation: incarnation, slots: make(chan struct{}, spec.Slots), responses: map[ids.Attempt]*generation{}, weights: spec.Weights}
	e.cache = blockcache.New(spec.CacheBlocks, e.cacheEvent)
	return e
}

// SetLeaving makes the engine report that it is leaving and refuse new requests.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// cacheEvent records a change of the cache. The caller holds e.mu.
func (e *Engine) cacheEvent(ev cacheview.Event) {
	e.events = append(e.events, ev)
	if len(e.events) > maxEvents {
		e.events = append([]cacheview.Event(nil), e.events[maxEvents/2:]...)
	}
}

// Handler serves the engine's protocol and accepts faults to inject.
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

// maxFeedEvents is the maximum number of events in one response of the cache feed.
const maxFeedEvents = 5000

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	f := engine.EventBatch{Incarnation: e.incarnation, Weights: e.weights}
	for _, ev := range e.events {
		f.Last = ev.Seq
		if ev.Seq > after && len(f.Events) < maxFeedEvents {
			f.Events = append(f.Events, ev)
		}
	}
	e.mu.Unlock()
	f.Events = e.faults.dropEvent(f.Events)
	_ = json.NewEncoder(w).Encode(f)
}

// completionBody holds the fields of a request that the engine reads.
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
	e.setHeaders(w, attempt)
	if e.reject(w) {
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
		e.serveFull(w, r, g)
		return
	}
	e.serveStream(w, r, g, 0)
}

func (e *Engine) setHeaders(w http.ResponseWriter, attempt ids.Attempt) {
	h := w.Header()
	h.Set(engine.HeaderAttempt, string(attempt))
	h.Set(engine.HeaderIncarnation, strconv.FormatUint(uint64(e.incarnation), 10))
	e.mu.Lock()
	defer e.mu.Unlock()
	h.Set(engine.HeaderWeights, string(e.weights))
}

// reject refuses a request while the engine is leaving or loading weights, or if an armed fault
// asks for it. It reports whether it refused the request.
func (e *Engine) reject(w http.ResponseWriter) bool {
	e.mu.Lock()
	leaving, loading := e.leaving, e.loading
	e.mu.Unlock()
	if !leaving && !loading && !e.faults.refuse(w.Header()) {
		return false
	}
	w.Header().Set(engine.HeaderOutcome, "not-run")
	w.Header().Set(engine.HeaderLeaving, strconv.FormatBool(leaving))
	http.Error(w, "engine is not accepting requests", http.StatusServiceUnavailable)
	return true
}

// generation is one response, stored as numbered events so that readers can resume it.
type generation struct {
	attempt ids.Attempt
	chat    bool
	prompt  int // tokens
	cached  int // prompt tokens that were cached
	total   int // tokens of the complete response
	skip    int // tokens that the caller already has
	tag     string

	mu        sync.Mutex
	events    []string // data of events 1 to n
	done      bool
	readers   int
	idleSince time.Time     // when the last reader left; zero: none has left yet
	changed   chan struct{} // closed and replaced at each change
	cancel    context.CancelFunc
}

// start stores a response for the attempt and generates it in a goroutine that does not end
// with the caller's connection.
func (e *Engine) start(attempt ids.Attempt, body *completionBody) *generation {
	var text strings.Builder
	for _, m := range body.Messages {
		text.WriteString(m.Content)
	}
	text.WriteString(body.Prompt)
	g := &generation{attempt: attempt, chat: len(body.Messages) > 0, total: body.MaxTokens, changed: make(chan struct{}), tag: AnswerTag(lastUser(body))}
	if g.total == 0 {
		g.total = defaultMaxTokens
	}
	if n := len(body.Messages); body.Continue && n > 0 {
		g.skip = strings.Count(body.Messages[n-1].Content, " ")
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	e.mu.Lock()
	e.responses[attempt] = g
	e.mu.Unlock()
	go e.generate(ctx, g, blockcache.Blocks(prefix.Seed(ids.Workspace(body.CacheSalt), e.spec.Model), []byte(text.String())), text.Len())
	return g
}

// lastUser returns the last message of the user, or the prompt of a text completion.
func lastUser(body *completionBody) string {
	for i := len(body.Messages) - 1; i >= 0; i-- {
		if body.Messages[i].Role == "user" {
			return body.Messages[i].Content
		}
	}
	return body.Prompt
}

// AnswerTag returns the tag that the engine puts into every token of the response to a
// user's message. The load generator uses it to detect responses to other requests.
func AnswerTag(user string) string { return fmt.Sprintf("%08x", uint32(xxh3.HashString(user))) }

// generate simulates the prefill of the prompt and then emits one token after another.
func (e *Engine) generate(ctx context.Context, g *generation, blocks []prefix.ID, bytes int) {
	defer e.finish(g)
	g.prompt = (bytes + prefix.BytesPerToken - 1) / prefix.BytesPerToken
	e.addLoad(g.prompt, 0)
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.prefill.Lock()
	e.mu.Lock()
	g.cached = min(e.cache.Use(blocks)*prefix.BlockTokens, g.prompt)
	e.mu.Unlock()
	if work := time.Duration(float64(g.prompt-g.cached) / e.spec.PrefillRate * float64(time.Second)); work > minSleep {
		time.Sleep(work)
	}
	e.prefill.Unlock()
	e.addLoad(-g.prompt, 1)
	defer e.addLoad(0, -1)
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

func (e *Engine) addLoad(queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
}

// finish ends a response and deletes it after 4*resumeGrace.
func (e *Engine) finish(g *generation) {
	g.mu.Lock()
	g.done = true
	g.notify()
	g.mu.Unlock()
	time.AfterFunc(4*resumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.responses, g.attempt)
	})
}

func (g *generation) emit(data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, data)
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// abandoned reports whether the response has no reader and the last one left longer than
// resumeGrace ago.
func (g *generation) abandoned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && !g.idleSince.IsZero() && time.Since(g.idleSince) > resumeGrace
}

func (g *generation) addReaders(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += n
	if g.readers == 0 {
		g.idleSince = time.Now()
	}
}

// next waits for event n and returns its data. ok is false if the response ended before
// event n or ctx ended.
func (g *generation) next(ctx context.Context, n int) (data string, ok bool) {
	for {
		g.mu.Lock()
		if n <= len(g.events) {
			defer g.mu.Unlock()
			return g.events[n-1], true
		}
		done, more := g.done, g.changed
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
