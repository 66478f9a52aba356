package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestSlowEnginesGetFewerCalls guards against paces that don't change the choice of a target: with the
// routing policy in force, engines 3.5 and 7 times slower get at most a third of their even share of the
// calls of 24 VMs, which each alone have too few answers. Without paces, those 3.5 times slower get more than
// that. Those 7 times slower don't: the calls that wait there show.
func TestSlowEnginesGetFewerCalls(t *testing.T) {
	for _, factor := range []float64{3.5, 7} {
		with, without := shareOfSlowEngines(factor, true), shareOfSlowEngines(factor, false)
		t.Logf("%v times slower: slow engines get %.2f of their even share, %.2f without paces", factor, with, without)
		if with > 1./3 || factor < 5 && without < 1./3 {
			t.Errorf("%v times slower: slow engines get %.2f of their even share, want at most a third; %.2f without paces, want more", factor, with, without)
		}
	}
}

// shareOfSlowEngines replays 30 s, in which a tenth of the engines get slower after 4 s, and returns the calls
// on these after 15 s, as a fraction of their even share. Engines report nothing, and each computes its calls
// one after the other.
func shareOfSlowEngines(factor float64, observe bool) float64 {
	const vms, engines, slow, perSecond, rate = 24, 40, 4, 420, 36_100.0
	now := time.Now()
	rng := rand.New(rand.NewPCG(1, 8))
	var records []platform.Record
	for e := range engines {
		records = append(records, platform.Record{ID: fmt.Sprint("e", e), Role: platform.RoleService, Service: "model", Addr: fmt.Sprint("e", e), Slots: 48, Incarnation: 1})
	}
	var fleets []*Fleet
	for vm := range vms {
		m := membership.New(ids.VM(fmt.Sprint("vm", vm)), membership.Tuning{Grace: time.Hour, Failures: 3, BreakerOpen: time.Second})
		m.ApplyPlatform(records, now)
		f := New(m, cacheview.New(64, nil), loadview.New(), routing.NewFetching(), func() time.Time { return now })
		f.SetDefaultPrefillRate(rate)
		f.SetFirstSeed(uint64(vm) * 1_000_003)
		f.Refresh()
		fleets = append(fleets, f)
	}
	type answer struct {
		at                time.Time
		vm, engine        int
		predicted, scaled time.Duration
		measured          time.Duration
		work              *loadview.Work
	}
	var running []answer
	free := make([]time.Time, engines)
	toSlow, calls := 0, 0
	start := now
	for step := 0; now.Sub(start) < 30*time.Second; step++ {
		now = now.Add(10 * time.Millisecond)
		rest := running[:0]
		for _, a := range running {
			if a.at.After(now) {
				rest = append(rest, a)
				continue
			}
			a.work.FirstToken()
			a.work.End()
			id := ids.Target(fmt.Sprint("e", a.engine))
			fleets[a.vm].Load.ObserveTTFT(id, a.scaled, a.measured, now)
			if observe {
				fleets[a.vm].Load.ObservePace(id, "model", a.predicted, a.measured, now)
			}
		}
		running = rest
		if step%33 == 0 { // a round of reports
			for vm, f := range fleets {
				loads := map[ids.Target]loadview.TargetWork{}
				f.Load.Own(func(id ids.Target, l loadview.TargetWork) { loads[id] = l })
				paces := f.Load.OwnPaces(now)
				for to, g := range fleets {
					if to == vm {
						continue
					}
					mine := map[ids.Target]loadview.TargetWork{}
					for id, l := range loads {
						mine[id] = l
					}
					g.Load.SetPeerLoads(ids.VM(fmt.Sprint("vm", vm)), 1, uint64(step+1), mine, now)
					g.Load.SetPeerPaces(ids.VM(fmt.Sprint("vm", vm)), 1, uint64(step+1), paces, now)
				}
			}
		}
		for range rng.IntN(2*perSecond/100 + 1) {
			vm := rng.IntN(vms)
			f := fleets[vm]
			f.Refresh()
			sc := f.Acquire()
			tokens := int32(600 + rng.IntN(4_000))
			snap, d := f.Decide(&routing.Request{Service: "model", Tokens: tokens}, nil, sc)
			scaled := time.Duration(float64(d.PredictedTTFT) * float64(time.Second))
			unscaled := time.Duration(float64(sc.Unscaled(d.Index, d.PredictedTTFT)) * float64(time.Second))
			f.Release(sc)
			id := snap.View.Targets[d.Index].ID
			e := 0
			_, _ = fmt.Sscanf(string(id), "e%d", &e)
			took := float64(tokens) / rate * math.Exp(0.3*rng.NormFloat64())
			if now.Sub(start) > 4*time.Second && e < slow {
				took *= factor
			}
			if free[e].Before(now) {
				free[e] = now
			}
			free[e] = free[e].Add(time.Duration(took * float64(time.Second)))
			least := loadview.MinTTFT
			if now.Sub(start) > 4*time.Second && e < slow {
				least = time.Duration(factor * float64(least))
			}
			at := free[e].Add(least)
			running = append(running, answer{at, vm, e, unscaled, scaled, at.Sub(now), f.Load.Sent(id, tokens, now)})
			if now.Sub(start) > 15*time.Second {
				calls++
				if e < slow {
					toSlow++
				}
			}
		}
	}
	return float64(toSlow) / float64(calls) * engines / slow
}
