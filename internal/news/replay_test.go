package news

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/routing"
)

// replay sends the prompts of a fleet to engines that compute them one after the other, in virtual
// time. Router, load tracker and rounds are the real ones; reports arrive a millisecond after their
// round.
type replay struct {
	vms, engines      int
	long, short       float64 // prompts/s of the whole fleet
	longTok, shortTok int32   // tokens to compute
	rate, assumed     float64 // of engines and as assumed by VMs, in tokens/s
	early, herd       bool
	loss              float64
	seed              uint64
	span              time.Duration
	waits             []time.Duration // result: of each prompt, from its arrival to its prefill
	messages          float64         // result: received by each VM per second
}

type replayVM struct {
	load    *loadview.Tracker
	rounds  loadRounds
	handles []loadview.Handle
	wakeAt  time.Time
	seq     uint64
	name    ids.VM
}

func (p *replay) run() {
	rng, losses := rand.New(rand.NewPCG(p.seed, 9)), rand.New(rand.NewPCG(p.seed, 10)) // the same arrivals in all runs of a seed
	start := time.Unix(1000, 0)
	now := start
	regular := (&Exchange{peers: make([]Peer, p.vms-1)}).RoundInterval()
	view, free := &routing.View{}, make([]time.Time, p.engines)
	for i := range p.engines {
		id := ids.Target(fmt.Sprint("e", i))
		view.Targets = append(view.Targets, routing.Target{ID: id, Service: "s", Hash: routing.HashTarget(id)})
	}
	vms := make([]*replayVM, p.vms)
	for i := range vms {
		vms[i] = &replayVM{name: ids.VM(fmt.Sprint("vm", i)), load: loadview.New(), wakeAt: now.Add(time.Duration(rng.Int64N(int64(regular))))}
		for _, t := range view.Targets {
			vms[i].handles = append(vms[i].handles, vms[i].load.Handle(t.ID))
		}
	}
	firstTokens := map[int64][]func(){} // by millisecond
	router, scratch, seed := routing.NewFetching(), &routing.Scratch{}, uint64(0)
	reports := make([]loadview.Report, p.engines)
	for i := range reports {
		reports[i] = loadview.Report{Rate: p.assumed, Age: time.Hour}
	}
	in, loads := make([]routing.Input, p.engines), make([]loadview.Load, p.engines)
	mean := (p.long*float64(p.longTok) + p.short*float64(p.shortTok)) / (p.long + p.short) / p.assumed
	send := func(v *replayVM, tokens int32) {
		v.load.Estimate(v.handles, reports, 0, now, loads)
		for i := range in {
			in[i] = routing.Input{State: routing.Live, SlowStart: 1, Slots: 48, QueueTokens: float32(loads[i].QueueTokens), InFlight: int32(loads[i].InFlight), PrefillRate: float32(p.assumed / loads[i].Slowdown)}
		}
		seed++
		r := routing.Request{Service: "s", Tokens: tokens, Seed: seed, InTransit: float32((p.long + p.short) * float64(p.vms-1) / float64(p.vms) * v.load.MeanPeerAge(now).Seconds())}
		if p.herd && v.load.CallsWait(now) {
			r.MaxHerd = routing.HerdOf(mean)
		}
		d := router.Decide(&r, view, in, scratch)
		arrival, target := now, view.Targets[d.Index].ID
		begin := maxTime(arrival, free[d.Index])
		free[d.Index] = begin.Add(time.Duration(float64(tokens) / p.rate * float64(time.Second)))
		first := free[d.Index].Add(loadview.MinTTFT / 2)
		w := v.load.Sent(target, tokens, now)
		p.waits = append(p.waits, begin.Sub(arrival))
		at := first.UnixMilli() + 1
		firstTokens[at] = append(firstTokens[at], func() {
			w.FirstToken()
			w.End()
			predicted, measured := time.Duration(d.PredictedTTFT*float32(time.Second)), first.Sub(arrival)
			v.load.ObserveTTFT(target, predicted, measured, now)
			v.load.ObserveWait(measured-time.Duration(float64(tokens)/p.assumed*float64(time.Second))-loadview.MinTTFT, now)
		})
	}
	elapsed, next := 0.0, 0.0 // in seconds; next arrival
	for ; now.Before(start.Add(p.span)); now = now.Add(time.Millisecond) {
		for _, f := range firstTokens[now.UnixMilli()] {
			f()
		}
		delete(firstTokens, now.UnixMilli())
		for elapsed += 0.001; next < elapsed; next += rng.ExpFloat64() / (p.long + p.short) {
			tokens := p.shortTok
			if rng.Float64() < p.long/(p.long+p.short) {
				tokens = p.longTok
			}
			send(vms[rng.IntN(p.vms)], tokens)
		}
		for i, v := range vms {
			changed := false
			select {
			case <-v.load.Changes():
				changed = true
			default:
			}
			if now.Before(v.wakeAt) && !changed {
				continue
			}
			s := roundState{now: now, peers: p.vms - 1, regular: regular, callsWait: p.early && v.load.CallsWait(now), prefillRate: p.assumed, own: map[ids.Target]loadview.TargetWork{}}
			v.load.Own(func(t ids.Target, l loadview.TargetWork) { s.own[t] = l })
			kind, wait, _ := v.rounds.next(s)
			v.wakeAt = now.Add(wait)
			if kind == noRound {
				continue
			}
			v.rounds.started(kind, s)
			v.seq++
			v.load.ExpirePeers(now)
			for j, to := range vms { // they share the report, which nothing changes
				if j != i && losses.Float64() >= p.loss {
					to.load.SetPeerLoads(v.name, 1, v.seq, s.own, now.Add(time.Millisecond))
					p.messages++
				}
			}
		}
	}
	p.messages /= float64(p.vms) * p.span.Seconds()
}

// longWaits returns the number of prompts that waited longer than d.
func (p *replay) longWaits(d time.Duration) int {
	n := 0
	for _, w := range p.waits {
		if w > d {
			n++
		}
	}
	return n
}

// lateWaits replays a burst after an update of the weights, when no engine holds the shared parts of
// prompts, and returns the number of prompts that wait longer than the strictest objectives, 400 ms.
func lateWaits(t *testing.T, p replay) int {
	const burst = 1.8
	runs := make([]replay, 2)
	var wg sync.WaitGroup
	for seed := range runs {
		runs[seed] = p
		run := &runs[seed]
		run.seed, run.engines, run.span = uint64(seed), 60, 4*time.Second
		run.long, run.short, run.longTok, run.shortTok = 204*burst, 198*burst, 9190, 628
		run.rate, run.assumed = 81_900, 50_000
		wg.Go(run.run)
	}
	wg.Wait()
	late := 0
	for _, run := range runs {
		t.Logf("%d VMs, early rounds %v, herd by time %v, loss %.1f: of %d prompts %d waited over 100 ms, %d over 200 ms, %d over 400 ms; %.0f messages/s",
			p.vms, p.early, p.herd, p.loss, len(run.waits), run.longWaits(100*time.Millisecond), run.longWaits(200*time.Millisecond), run.longWaits(400*time.Millisecond), run.messages)
		late += run.longWaits(400 * time.Millisecond)
	}
	return late
}

// TestEarlyRoundsHalveLongWaits guards against early rounds that cost messages and spare callers no
// waits: for example, rounds that start when the queues have already formed.
func TestEarlyRoundsHalveLongWaits(t *testing.T) {
	before := lateWaits(t, replay{vms: 32})
	if after := lateWaits(t, replay{vms: 32, early: true}); after > before/2 {
		t.Errorf("%d prompts waited too long with early rounds and %d without, want at most half", after, before)
	}
	if after := lateWaits(t, replay{vms: 32, early: true, loss: 0.1}); after > before*2/3 {
		t.Errorf("%d prompts waited too long with early rounds of which a tenth is lost and %d without, want at most two thirds", after, before)
	}
}

// TestHerdByTimeSparesLongWaits guards against a bound on herds that undoes early rounds, or that does
// nothing where rounds are slower: at 66 VMs even early rounds are 101 ms apart.
func TestHerdByTimeSparesLongWaits(t *testing.T) {
	before := lateWaits(t, replay{vms: 66})
	early := lateWaits(t, replay{vms: 66, early: true})
	if both := lateWaits(t, replay{vms: 66, early: true, herd: true}); both > before/3 || both > early*9/10 {
		t.Errorf("%d prompts waited too long with both, %d with early rounds only and %d without; want at most a third and nine tenths", both, early, before)
	}
}
