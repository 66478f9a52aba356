package verdict_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/verdict"
)

// The tests below play a fleet in virtual time: engines with a FIFO queue, VMs that each decide by their own
// delayed copy of the loads and of the picture of demand, and callers that come back.

const (
	playService    = "s"
	playObjective  = 500 * time.Millisecond
	playDeadline   = 3 * time.Second
	playRetryAfter = 900 * time.Millisecond // mean Retry-After while capacity is not short
	// playOwn is the real time of a prompt at an engine, and playAssumed the assumed one.
	playOwn     = 60 * time.Millisecond
	playAssumed = 2 * time.Millisecond
	playNetwork = 2 * time.Millisecond
	playDemand  = 500 * time.Millisecond // between two reports of demand
)

// playLoad is the load of one workspace, in calls/s at a time.
type playLoad struct {
	name   string
	rate   func(at time.Duration) float64
	urgent bool
}

// play is one run of a fleet.
type play struct {
	vms, engines int
	loads        []playLoad
	length       time.Duration
	deadline     time.Duration
	loss         float64 // fraction of reports that are lost
	returns      int     // how often a refused caller comes back when told
	impatient    float64 // fraction of callers who retry at once, three times
	// own returns the time of a prompt at an engine, if it differs from playOwn.
	own func(engine int, at time.Duration) time.Duration
	// admitAll makes VMs decide as without a picture.
	calm  bool
	seed  uint64
	probe func()        // called every 10 ms; may be nil
	round time.Duration // between two load reports of a VM; zero: as while calls wait

	rnd       *rand.Rand
	now       time.Duration
	events    playEvents
	fleet     []*playVM
	work      []*playEngine
	calls     []*playCall
	decisions []playDecision
	away      int // callers who were told to come back and have not yet
	order     uint64
}

type playCall struct {
	at        time.Duration
	workspace string
	vm        int // of the first attempt
	inTime    bool
	began     time.Duration // time of the first event; zero: none
	attempts  int
	returned  int // attempts that were made when told
	let       int // of these, those that were admitted
	told      bool
	ends      time.Duration
}

// playDecision is the decision of a VM on an attempt.
type playDecision struct {
	at        time.Duration
	vm        int
	workspace string
	refused   bool
}

type playVM struct {
	demand  *demand.Tracker
	pending []float64   // own assumed seconds that wait, by engine
	peers   [][]float64 // the last report of each VM, by engine
	sum     []float64   // of peers
	seq     uint64
	draws   map[string]float64
}

type playEngine struct {
	queue []*playJob
	busy  bool
	used  time.Duration // time spent computing
}

type playJob struct {
	call *playCall
	vm   int
	sent time.Duration
	raw  time.Duration
}

type playEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type playEvents []playEvent

func (e playEvents) Len() int { return len(e) }
func (e playEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e playEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)   { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (p *play) after(d time.Duration, f func()) {
	p.order++
	heap.Push(&p.events, playEvent{p.now + d, p.order, f})
}

// run plays the fleet.
func (p *play) run() *play {
	p.rnd = rand.New(rand.NewPCG(p.seed, 7))
	if p.deadline == 0 {
		p.deadline = playDeadline
	}
	start := time.Unix(1_000_000, 0)
	for range p.engines {
		p.work = append(p.work, &playEngine{})
	}
	for range p.vms {
		v := &playVM{
			demand: demand.New(func() time.Time { return start.Add(p.now) }), pending: make([]float64, p.engines),
			peers: make([][]float64, p.vms), sum: make([]float64, p.engines), draws: map[string]float64{},
		}
		v.demand.SetListed(p.vms)
		p.fleet = append(p.fleet, v)
	}
	// A VM receives at most 640 messages with loads a second while calls wait.
	round := max(50*time.Millisecond, time.Duration(p.vms)*time.Second/640)
	if p.round > 0 {
		round = p.round
	}
	for i := range p.fleet {
		p.every(round, func() { p.reportLoads(i) })
		p.every(playDemand, func() { p.reportDemand(i) })
	}
	if p.probe != nil {
		p.every(10*time.Millisecond, p.probe)
	}
	for _, l := range p.loads {
		p.nextCall(l)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent)
		if e.at > p.length+p.deadline {
			break
		}
		p.now = e.at
		e.run()
	}
	return p
}

// every runs f with a period, from a random time on.
func (p *play) every(period time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		p.after(period, again)
	}
	p.after(time.Duration(p.rnd.Float64()*float64(period)), again)
}

func (p *play) reportLoads(from int) {
	loads := append([]float64(nil), p.fleet[from].pending...)
	for to, v := range p.fleet {
		if to == from || p.rnd.Float64() < p.loss {
			continue
		}
		p.after(playNetwork, func() {
			for e := range loads {
				if old := v.peers[from]; old != nil {
					v.sum[e] -= old[e]
				}
				v.sum[e] += loads[e]
			}
			v.peers[from] = loads
		})
	}
}

func (p *play) reportDemand(from int) {
	v := p.fleet[from]
	v.seq++
	seq, report := v.seq, v.demand.OwnReport()
	for to, peer := range p.fleet {
		if to == from || p.rnd.Float64() < p.loss {
			continue
		}
		p.after(playNetwork, func() { peer.demand.RecordPeer(ids.VM(fmt.Sprint(from)), 1, seq, report) })
	}
}

// nextCall plans the next call of a workspace. Calls arrive as a Poisson process.
func (p *play) nextCall(l playLoad) {
	if p.now > p.length {
		return
	}
	rate := l.rate(p.now)
	if rate <= 0 {
		p.after(10*time.Millisecond, func() { p.nextCall(l) })
		return
	}
	p.after(time.Duration(p.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		c := &playCall{at: p.now, workspace: l.name, vm: p.rnd.IntN(p.vms), ends: p.now + p.deadline}
		p.calls = append(p.calls, c)
		p.attempt(c, l, c.vm)
		p.nextCall(l)
	})
}

func (p *play) attempt(c *playCall, l playLoad, vm int) {
	v := p.fleet[vm]
	c.attempts++
	engine := p.pick(v)
	queue := v.pending[engine] + max(v.sum[engine], 0)
	class := demand.Class{Service: playService, Route: "r", Workspace: ids.Workspace(c.workspace)}
	refused, retry := p.decide(v, l, class, queue, c.ends-p.now)
	v.demand.Decided(class, playAssumed.Seconds(), !refused)
	p.decisions = append(p.decisions, playDecision{p.now, vm, l.name, refused})
	if refused {
		p.comeBack(c, l, retry)
		return
	}
	if c.told {
		c.let++
	}
	v.pending[engine] += playAssumed.Seconds()
	j := &playJob{call: c, vm: vm, sent: p.now, raw: time.Duration((queue + playAssumed.Seconds()) * float64(time.Second))}
	p.after(playNetwork, func() {
		e := p.work[engine]
		e.queue = append(e.queue, j)
		p.start(engine)
	})
}

// pick returns the engine of three random ones with the least work that the VM knows of.
func (p *play) pick(v *playVM) int {
	best, least := -1, 0.0
	for range 3 {
		e := p.rnd.IntN(p.engines)
		if w := v.pending[e] + max(v.sum[e], 0); best < 0 || w < least {
			best, least = e, w
		}
	}
	return best
}

// decide decides on a call as package forward does.
func (p *play) decide(v *playVM, l playLoad, class demand.Class, queue float64, left time.Duration) (refused bool, retry time.Duration) {
	a := verdict.Arrival{Objective: playObjective, Urgent: l.urgent, Usual: playAssumed.Seconds(), Jitter: p.rnd.Float64()}
	b := verdict.Best{Queue: time.Duration(queue * float64(time.Second)), Rate: 1}
	if !p.calm {
		mean := 0.0
		for e := range v.pending {
			mean += (v.pending[e] + max(v.sum[e], 0)) / float64(p.engines)
		}
		queues := verdict.Queues{Wait: time.Duration(mean * float64(time.Second)), Targets: p.engines}
		if c := verdict.Measure(v.demand.Picture(playService)); c.Short(playObjective, queues) {
			v.draws[l.name] += 0.6180339887498949
			v.draws[l.name] -= float64(int(v.draws[l.name]))
			r := verdict.Rule(verdict.Call{Arrival: a, Mean: queues, Workspace: demand.HashOf(l.name), Sample: v.draws[l.name], Left: left}, b, &c)
			return r.Cause != verdict.Admitted, r.RetryAfter
		}
	}
	r, late := verdict.Late(a, b)
	return late, r.RetryAfter
}

// comeBack makes a refused caller return.
func (p *play) comeBack(c *playCall, l playLoad, retry time.Duration) {
	if p.impatient > 0 && c.attempts <= 3 && !c.told && (c.attempts > 1 || p.rnd.Float64() < p.impatient) {
		p.after(playNetwork, func() { p.attempt(c, l, p.rnd.IntN(p.vms)) })
		return
	}
	if c.returned >= p.returns || p.now+retry > c.ends {
		return
	}
	p.away++
	p.after(retry, func() {
		p.away--
		c.returned++
		c.told = true
		p.attempt(c, l, p.rnd.IntN(p.vms))
	})
}

// start lets an engine compute its next prompt.
func (p *play) start(engine int) {
	e := p.work[engine]
	for !e.busy && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		v := p.fleet[j.vm]
		if p.now > j.call.ends {
			v.pending[engine] -= playAssumed.Seconds()
			continue
		}
		own := playOwn
		if p.own != nil {
			own = p.own(engine, p.now)
		}
		e.busy = true
		p.after(own, func() {
			e.busy = false
			e.used += own
			p.start(engine)
			p.after(playNetwork, func() {
				v.pending[engine] -= playAssumed.Seconds()
				measured := p.now - j.sent
				j.call.began, j.call.inTime = p.now, measured <= playObjective
				v.demand.FirstEvent(demand.Class{Service: playService, Route: "r", Workspace: ids.Workspace(j.call.workspace)}, playAssumed.Seconds(), j.raw, measured+loadview.MinTTFT)
			})
		})
	}
}

// capacity returns the calls/s that the engines compute.
func (p *play) capacity() float64 { return float64(p.engines) / playOwn.Seconds() }

// inTime returns the calls/s, of one workspace or of all, whose first event arrived within the objective and
// between two times.
func (p *play) inTime(workspace string, from, to time.Duration) float64 {
	n := 0
	for _, c := range p.calls {
		if c.inTime && c.began >= from && c.began < to && (workspace == "" || workspace == c.workspace) {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// served returns the fraction of a workspace's calls made between two times that began within the objective.
func (p *play) served(workspace string, from, to time.Duration) float64 {
	n, all := 0, 0
	for _, c := range p.calls {
		if c.at < from || c.at >= to || c.workspace != workspace {
			continue
		}
		all++
		if c.inTime {
			n++
		}
	}
	return float64(n) / float64(max(all, 1))
}

// spread returns the lowest and the highest fraction of a workspace's attempts that a VM refused.
func (p *play) spread(workspace string, from, to time.Duration) (low, high float64) {
	refused, all := make([]float64, p.vms), make([]float64, p.vms)
	for _, d := range p.decisions {
		if d.at >= from && d.at < to && d.workspace == workspace {
			all[d.vm]++
			if d.refused {
				refused[d.vm]++
			}
		}
	}
	low = 1
	for i := range all {
		if all[i] > 0 {
			low, high = min(low, refused[i]/all[i]), max(high, refused[i]/all[i])
		}
	}
	return low, high
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const (
	// The load rises at playStart; from playFrom on, 3 s later, control is expected to have settled.
	playStart = 2 * time.Second
	playFrom  = 5 * time.Second
	playTo    = 11 * time.Second
)

// TestOverloadedFleet guards against congestion collapse and against VMs that refuse different parts of the same
// load (0.25 to 0.52 of it in docs/design/overload.md), at several loads and sizes of the fleet.
func TestOverloadedFleet(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{4, 10, 66} {
		for _, times := range []float64{1.2, 1.7, 3, 10} {
			for _, loss := range []float64{0, 0.1} {
				if vms > 10 && loss == 0 {
					continue // takes long and is no harder than with lost reports
				}
				t.Run(fmt.Sprintf("%d VMs, %v times, loss %v", vms, times, loss), func(t *testing.T) {
					engines := 6 * max(vms/4, 1)
					capacity := float64(engines) / playOwn.Seconds()
					small := playLoad{name: "small", rate: steady(0.2 * capacity)}
					p := (&play{
						vms: vms, engines: engines, length: playTo, loss: loss, seed: 1, returns: 1,
						loads: []playLoad{small, {name: "large", rate: between(playStart, playTo, (times-0.2)*capacity, 0.4*capacity)}},
					}).run()
					begun, large := p.inTime("", playFrom, playTo)/capacity, p.inTime("large", playFrom, playTo)/capacity
					served := p.served("small", playFrom, playTo)
					low, high := p.spread("large", playFrom, playTo)
					worst := 1.0
					for at := playFrom; at < playTo; at += time.Second {
						worst = min(worst, p.inTime("", at, at+time.Second)/capacity)
					}
					t.Logf("in time %.3f of the capacity (worst second %.3f), large %.3f, small served %.3f, refused by VMs %.3f to %.3f", begun, worst, large, served, low, high)
					if begun < 0.9 {
						t.Errorf("%.3f of the capacity begun in time, want 0.9", begun)
					}
					if served < 0.95 { // alone nearly all are served
						t.Errorf("%.3f of the small workspace's calls in time", served)
					}
					if large < 0.9*0.8 {
						t.Errorf("the large workspace got %.3f of the capacity, want 0.9 of 0.8", large)
					}
					if high-low > 0.1 {
						t.Errorf("the VMs refused %.3f to %.3f of the large workspace's attempts", low, high)
					}
				})
			}
		}
	}
}

// between returns a rate that holds between two times, and another one otherwise.
func between(from, to time.Duration, rate, otherwise float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return rate
		}
		return otherwise
	}
}

// TestOneWorkspaceGrows guards against callers that pay for another's load: one of eight workspaces asks for 7.5
// times its usual.
func TestOneWorkspaceGrows(t *testing.T) {
	t.Parallel()
	fleet := func(times float64) *play {
		p := &play{vms: 10, engines: 12, length: playTo, loss: 0.1, seed: 2, returns: 1}
		for i := range 8 {
			rate := steady(0.1 * p.capacity())
			if i == 0 {
				rate = between(playStart, playTo, times*0.1*p.capacity(), 0.1*p.capacity())
			}
			p.loads = append(p.loads, playLoad{name: fmt.Sprint("w", i), rate: rate})
		}
		return p.run()
	}
	usual, p := fleet(1), fleet(7.5)
	for i := 1; i < 8; i++ {
		w := fmt.Sprint("w", i)
		if got, before := p.served(w, playFrom, playTo), usual.served(w, playFrom, playTo); got < 0.95*before {
			t.Errorf("%s: %.3f in time, usually %.3f", w, got, before)
		}
	}
	others := 0.0
	for _, c := range p.calls {
		if c.workspace != "w0" && c.at >= playFrom && c.at < playTo {
			others++
		}
	}
	share := 1 - others/(p.capacity()*(playTo-playFrom).Seconds())
	got := p.inTime("w0", playFrom, playTo) / p.capacity()
	t.Logf("the large workspace got %.3f of the capacity, its share is %.3f", got, share)
	if got < 0.9*share {
		t.Errorf("the large workspace got %.3f of the capacity, its share is %.3f", got, share)
	}
}

// TestCapacityHalves guards against control that follows too late when capacity falls.
func TestCapacityHalves(t *testing.T) {
	t.Parallel()
	const halved = 4 * time.Second
	p := &play{vms: 10, engines: 12, length: halved + 9*time.Second, loss: 0.1, seed: 3, returns: 1}
	p.own = func(_ int, at time.Duration) time.Duration {
		if at >= halved {
			return 2 * playOwn
		}
		return playOwn
	}
	p.loads = []playLoad{{name: "small", rate: steady(0.2 * p.capacity())}, {name: "large", rate: steady(p.capacity())}}
	p.run()
	begun, served := p.inTime("", halved+3*time.Second, halved+9*time.Second)/p.capacity(), p.served("small", halved+3*time.Second, halved+9*time.Second)
	t.Logf("in time %.3f of the former capacity, small served %.3f", begun, served)
	if begun < 0.9*0.5 {
		t.Errorf("%.3f of the former capacity begun in time, want 0.9 of 0.5", begun)
	}
	if served < 0.95 {
		t.Errorf("%.3f of the small workspace's calls in time", served)
	}
}

// TestImpatientCallers guards against retries that displace others: 0.3 of the callers retry at once, three times.
func TestImpatientCallers(t *testing.T) {
	t.Parallel()
	p := &play{vms: 10, engines: 12, length: playTo, loss: 0.1, seed: 4, returns: 1, impatient: 0.3}
	p.loads = []playLoad{{name: "small", rate: steady(0.2 * p.capacity())}, {name: "large", rate: steady(1.5 * p.capacity())}}
	p.run()
	begun, served := p.inTime("", playFrom, playTo)/p.capacity(), p.served("small", playFrom, playTo)
	t.Logf("in time %.3f of the capacity, small served %.3f", begun, served)
	if begun < 0.9 || served < 0.95 {
		t.Errorf("%.3f of the capacity begun in time, %.3f of the small workspace's calls", begun, served)
	}
}

// TestUrgentCalls guards against refusals of the most urgent calls while others are admitted.
func TestUrgentCalls(t *testing.T) {
	t.Parallel()
	p := &play{vms: 10, engines: 12, length: playTo, loss: 0.1, seed: 5, returns: 1}
	p.loads = []playLoad{
		{name: "small", rate: steady(0.2 * p.capacity()), urgent: true},
		{name: "urgent", rate: steady(0.75 * p.capacity()), urgent: true},
		{name: "other", rate: steady(0.75 * p.capacity())},
	}
	p.run()
	begun, small := p.inTime("", playFrom, playTo)/p.capacity(), p.served("small", playFrom, playTo)
	urgent, other := p.served("urgent", playFrom, playTo), p.served("other", playFrom, playTo)
	t.Logf("in time %.3f of the capacity; small %.3f, urgent %.3f, other %.3f", begun, small, urgent, other)
	if begun < 0.9 || small < 0.95 || urgent < other-0.02 {
		t.Errorf("%.3f of the capacity begun in time; small %.3f, urgent %.3f, other %.3f in time", begun, small, urgent, other)
	}
}

// TestCalmFleet guards against any effect of admission while capacity is not short.
func TestCalmFleet(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.05, 0.3, 0.6, 0.8} {
		fleet := func(calm bool) *play {
			p := &play{vms: 10, engines: 12, length: playTo, loss: 0.1, seed: 6, returns: 1, calm: calm}
			p.loads = []playLoad{{name: "a", rate: steady(0.2 * load * p.capacity())}, {name: "b", rate: steady(0.8 * load * p.capacity())}}
			return p.run()
		}
		with, without := fleet(false), fleet(true)
		if !slices.Equal(with.decisions, without.decisions) {
			t.Errorf("at %v of the capacity decisions differ from those without a picture", load)
		}
	}
}

// TestReturnsAreServed guards against callers that are told to come back and are refused again: at 1.5 times the
// capacity for 5 s, followed by 0.4 of it.
func TestReturnsAreServed(t *testing.T) {
	t.Parallel()
	const burst = playStart + 5*time.Second
	p := &play{vms: 10, engines: 12, length: 20 * time.Second, deadline: 15 * time.Second, seed: 7, returns: 1}
	half := 0.5 * p.capacity()
	p.loads = []playLoad{{name: "a", rate: between(playStart, burst, half, 0.08*p.capacity())}, {name: "b", rate: between(playStart, burst, 2*half, 0.32*p.capacity())}}
	var busy, ticks float64
	p.probe = func() {
		waiting, used := 0, 0.0
		for _, e := range p.work {
			waiting += len(e.queue)
			if e.busy {
				used++
			}
		}
		if p.now > playStart+time.Second && (p.now < burst && waiting > 0 || p.away >= p.engines) {
			ticks++
			busy += used / float64(p.engines)
		}
	}
	p.run()
	let, returned := 0, 0
	for _, c := range p.calls {
		let += c.let
		returned += c.returned
	}
	t.Logf("%d of %d that returned were let in; engines %.3f busy while somebody waited, for %.1f s", let, returned, busy/ticks, ticks/100)
	if float64(let) < 0.95*float64(returned) || returned == 0 {
		t.Errorf("%d of %d that returned when told were let in", let, returned)
	}
	if busy < 0.9*ticks {
		t.Errorf("engines were %.3f busy while somebody waited", busy/ticks)
	}
}
