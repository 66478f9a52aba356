// Package yardstick measures routing policies in virtual time, with seeds, so
// that every run gives the same figures. The decision code is the product's own
// (packages fleet, routing, cacheview, loadview, membership, retry); only engines
// and clock are fakes. It models no network, process or membership protocol.
package yardstick

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/blockcache"
	"github.com/threadwall/threadwall/internal/prefix"
)

// clock is virtual time with a queue of things to do.
type clock struct {
	now   time.Time
	queue events
	seq   uint64
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(d), seq: c.seq, do: do})
}

func (c *clock) every(d time.Duration, until time.Time, do func()) {
	c.after(d, func() {
		do()
		if c.now.Before(until) {
			c.every(d, until, do)
		}
	})
}

func (c *clock) run() {
	for c.queue.Len() > 0 {
		ev := heap.Pop(&c.queue).(event)
		c.now = ev.at
		ev.do()
	}
}

// EngineSpec sets up the fake engines.
type EngineSpec struct {
	PrefillRate float64       // tokens/s
	Overhead    time.Duration // of each prefill, whatever its length
	Slots       int           // answers generated at once
	TokenEvery  time.Duration // between tokens
	CacheTokens int
}

// blockTokens is the size of a fake engine's cache block. It is coarser than a
// real one's, which only costs precision at the level boundaries.
const blockTokens = 128

// job is one attempt on an engine.
type job struct {
	number   uint64
	blocks   []prefix.ID
	tokens   int
	output   int
	priority int
	uncached int // once prefill began
	started  func(cached int)
	done     func(ok bool)
}

// fakeEngine prefills one job after another and generates answers in slots.
type fakeEngine struct {
	id      ids.Target
	spec    EngineSpec
	clk     *clock
	cache   *blockcache.Cache
	life    ids.Incarnation
	up      bool
	queue   []*job
	busy    *job
	busyEnd time.Time
	running map[*job]bool
	feed    []cacheview.Event // since the last read
}

func newEngine(id ids.Target, spec EngineSpec, clk *clock) *fakeEngine {
	e := &fakeEngine{id: id, spec: spec, clk: clk}
	e.restart(1)
	return e
}

func (e *fakeEngine) restart(life ids.Incarnation) {
	e.life, e.up, e.feed = life, true, nil
	e.running = map[*job]bool{}
	e.cache = blockcache.New(e.spec.CacheTokens/blockTokens, func(ev cacheview.Event) { e.feed = append(e.feed, ev) })
}

// crash loses everything; the jobs in hand fail.
func (e *fakeEngine) crash() {
	lost := e.queue
	if e.busy != nil {
		lost = append(lost, e.busy)
	}
	lost = append(lost, sortedJobs(e.running)...)
	e.up, e.queue, e.busy, e.running = false, nil, nil, map[*job]bool{}
	e.life++
	for _, j := range lost {
		j.done(false)
	}
}

// sortedJobs gives a map's jobs an order that is the same on every run.
func sortedJobs(m map[*job]bool) []*job {
	return slices.SortedFunc(maps.Keys(m), func(a, b *job) int { return cmp.Compare(a.number, b.number) })
}

func (e *fakeEngine) submit(j *job) {
	if !e.up {
		e.clk.after(time.Millisecond, func() { j.done(false) })
		return
	}
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority < j.priority {
		at--
	}
	e.queue = append(e.queue[:at], append([]*job{j}, e.queue[at:]...)...)
	e.next()
}

// next begins the next prefill if there is a place in the batch.
func (e *fakeEngine) next() {
	if e.busy != nil || len(e.queue) == 0 || len(e.running) >= e.spec.Slots {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.busy = j
	cached := min(e.cache.Use(j.blocks)*blockTokens, j.tokens)
	j.uncached = j.tokens - cached
	took := e.spec.Overhead + time.Duration(float64(j.uncached)/e.spec.PrefillRate*float64(time.Second))
	e.busyEnd = e.clk.now.Add(took)
	e.clk.after(took, func() {
		if e.busy != j {
			return // crashed meanwhile
		}
		e.busy = nil
		e.running[j] = true
		j.started(cached)
		e.clk.after(time.Duration(j.output)*e.spec.TokenEvery, func() { e.finish(j) })
		e.next()
	})
}

func (e *fakeEngine) finish(j *job) {
	if !e.running[j] {
		return
	}
	delete(e.running, j)
	j.done(true)
	e.next()
}

// queuedTokens is what an engine reports: prompt tokens that wait, without
// knowledge of what is cached of them.
func (e *fakeEngine) queuedTokens() int {
	n := 0
	for _, j := range e.queue {
		n += j.tokens
	}
	if e.busy != nil {
		n += e.busy.uncached
	}
	return n
}

// exactWait is the true time until a job that came now would begin.
func (e *fakeEngine) exactWait() time.Duration {
	wait := time.Duration(0)
	if e.busy != nil {
		wait = e.busyEnd.Sub(e.clk.now)
	}
	for _, j := range e.queue {
		uncached := j.tokens - min(e.cache.Holds(j.blocks)*blockTokens, j.tokens)
		wait += e.spec.Overhead + time.Duration(float64(uncached)/e.spec.PrefillRate*float64(time.Second))
	}
	return wait
}
