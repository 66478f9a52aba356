// Package yardstick compares routing policies by simulation. Runs are in virtual
// time and seeded, so a seed always gives the same figures. The decision code is
// the production code (packages fleet, routing, cacheview, loadview, membership,
// retry, admission); only the engines and the clock are emulated. The network,
// processes and the membership protocol are not modeled.
//
// A second, simpler simulation (ReplayTransfers) compares policies for the transfer
// of KV cache between engines and a store. It runs packages routing and verdict.
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

// clock is a virtual clock with a queue of scheduled events.
type clock struct {
	now   time.Time
	queue events
	seq   uint64
}

// event is a scheduled function; events at the same time run in the order of seq.
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

// every runs do at intervals of d, the last time at or after until.
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

// EngineSpec describes the emulated engines.
type EngineSpec struct {
	PrefillRate float64       // tokens/s
	Overhead    time.Duration // fixed time of each prefill
	Slots       int           // responses generated concurrently
	TokenEvery  time.Duration // time between output tokens
	CacheTokens int           // capacity of the prefix cache
}

// blockTokens is the size of a cache block of an emulated engine. It is larger
// than that of a real engine, which only reduces precision at the level boundaries.
const blockTokens = 128

// job is one attempt at an engine.
type job struct {
	number       uint64
	blocks       []prefix.ID
	tokens       int
	output       int
	priority     int
	uncached     int // prompt tokens that are not cached; set when the prefill begins
	onFirstToken func(cached int)
	done         func(ok bool)
}

// fakeEngine prefills one job at a time and generates responses in a limited
// number of slots.
type fakeEngine struct {
	id          ids.Target
	spec        EngineSpec
	clk         *clock
	cache       *blockcache.Cache
	incarnation ids.Incarnation
	up          bool
	queue       []*job
	prefilling  *job
	prefillEnd  time.Time
	running     map[*job]bool
	feed        []cacheview.Event // cache events since the last read
}

func newEngine(id ids.Target, spec EngineSpec, clk *clock) *fakeEngine {
	e := &fakeEngine{id: id, spec: spec, clk: clk}
	e.restart(1)
	return e
}

// restart starts the engine with an empty cache.
func (e *fakeEngine) restart(incarnation ids.Incarnation) {
	e.incarnation, e.up, e.feed = incarnation, true, nil
	e.running = map[*job]bool{}
	e.cache = blockcache.New(e.spec.CacheTokens/blockTokens, func(ev cacheview.Event) { e.feed = append(e.feed, ev) })
}

// crash stops the engine, fails all of its jobs and increments its incarnation.
func (e *fakeEngine) crash() {
	lost := e.queue
	if e.prefilling != nil {
		lost = append(lost, e.prefilling)
	}
	lost = append(lost, sortedJobs(e.running)...)
	e.up, e.queue, e.prefilling, e.running = false, nil, nil, map[*job]bool{}
	e.incarnation++
	for _, j := range lost {
		j.done(false)
	}
}

// sortedJobs returns the jobs by number, so that runs are repeatable.
func sortedJobs(m map[*job]bool) []*job {
	return slices.SortedFunc(maps.Keys(m), func(a, b *job) int { return cmp.Compare(a.number, b.number) })
}

// submit queues a job behind those of the same or a higher priority. If the engine is
// down, the job fails after a millisecond.
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
	e.startPrefill()
}

// startPrefill starts the next prefill if the engine is idle and a slot is free.
func (e *fakeEngine) startPrefill() {
	if e.prefilling != nil || len(e.queue) == 0 || len(e.running) >= e.spec.Slots {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = j
	cached := min(e.cache.Use(j.blocks)*blockTokens, j.tokens)
	j.uncached = j.tokens - cached
	duration := e.spec.Overhead + time.Duration(float64(j.uncached)/e.spec.PrefillRate*float64(time.Second))
	e.prefillEnd = e.clk.now.Add(duration)
	e.clk.after(duration, func() {
		if e.prefilling != j {
			return // the engine crashed
		}
		e.prefilling = nil
		e.running[j] = true
		j.onFirstToken(cached)
		e.clk.after(time.Duration(j.output)*e.spec.TokenEvery, func() { e.finish(j) })
		e.startPrefill()
	})
}

func (e *fakeEngine) finish(j *job) {
	if !e.running[j] {
		return
	}
	delete(e.running, j)
	j.done(true)
	e.startPrefill()
}

// queuedTokens returns the load that an engine reports: all prompt tokens of the
// waiting jobs, whether cached or not, and the uncached ones of the current prefill.
func (e *fakeEngine) queuedTokens() int {
	n := 0
	for _, j := range e.queue {
		n += j.tokens
	}
	if e.prefilling != nil {
		n += e.prefilling.uncached
	}
	return n
}

// exactWait returns the time until the prefill of a job of the lowest priority, submitted
// now, would start if a slot were always free.
func (e *fakeEngine) exactWait() time.Duration {
	wait := time.Duration(0)
	if e.prefilling != nil {
		wait = e.prefillEnd.Sub(e.clk.now)
	}
	for _, j := range e.queue {
		uncached := j.tokens - min(e.cache.Holds(j.blocks)*blockTokens, j.tokens)
		wait += e.spec.Overhead + time.Duration(float64(uncached)/e.spec.PrefillRate*float64(time.Second))
	}
	return wait
}
