package routing

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// decisionsBeforePools is the hash of the decisions of TestDecisionsWithoutPools at commit d3b350c,
// the last one without pools.
const decisionsBeforePools = 0x26a0e2fd0717299a

func milliseconds(s float32) int32 { return int32(s * 1000) }

// TestDecisionsWithoutPools guards against changes of decisions for services without pools: costs,
// targets and predictions of 20,000 random decisions of both policies must be what they were before.
func TestDecisionsWithoutPools(t *testing.T) {
	rnd, sum := rand.New(rand.NewPCG(1, 2)), fnv.New64a()
	s := &Scratch{}
	for range 10_000 {
		n := 1 + rnd.IntN(40)
		v, in := &View{}, make([]Input, n)
		for i := range n {
			id := ids.Target(fmt.Sprint("t", i))
			v.Targets = append(v.Targets, Target{ID: id, Service: "s", Hash: HashTarget(id), FailureDomain: ids.FailureDomain(fmt.Sprint("d", i%3))})
			in[i] = Input{
				State: State(rnd.IntN(5)), BreakerOpen: rnd.IntN(9) == 0, SlowStart: rnd.Float32(), QueueTokens: rnd.Float32() * 20_000,
				PrefillRate: 50_000, Cached: int32(rnd.IntN(3) * 3000), InFlight: int32(rnd.IntN(50)), Slots: 48, FailRate: rnd.Float32() / 10,
			}
		}
		r := &Request{Service: "s", FailureDomain: "d1", Tokens: 9000, Seed: rnd.Uint64(), InTransit: rnd.Float32() * 300, FetchRate: 40_000, RecomputeWeight: rnd.Float32()}
		for l := range rnd.IntN(3) {
			r.Levels = append(r.Levels, prefix.Level{ID: prefix.ID(rnd.IntN(9) + 1), Tokens: int32(3000 * (l + 1))})
		}
		for _, p := range []*Router{NewFetching(), NewCost()} {
			d := p.Decide(r, v, in, s)
			_ = binary.Write(sum, binary.LittleEndian, []int32{int32(d.Index), int32(s.Rendezvous()), milliseconds(d.Cost), milliseconds(d.PredictedTTFT)})
		}
	}
	if got := sum.Sum64(); got != decisionsBeforePools {
		t.Errorf("the decisions hash to %#x, want %#x", got, uint64(decisionsBeforePools))
	}
}

// pooledRequest returns a request of the pool whose engines have OffPool unset.
func pooledRequest(seed uint64, levels ...prefix.Level) *Request {
	return &Request{Service: "s", Tokens: 8000, FetchRate: 40_000, Seed: seed, InTransit: 300, Pool: PrefillPool, OffPoolSeconds: 0.4, Levels: levels}
}

// pooledTargets returns n idle targets of which the first own are in the request's pool.
func pooledTargets(n, own int) (*View, []Input) {
	v, in := manyTargets(n)
	for i := range in {
		in[i].OffPool = i >= own
	}
	return v, in
}

// TestPrefixStaysInItsPool guards against prefixes that are computed in the other pool because their
// rendezvous target lies there: the cost of another target than that one exceeds the soft cost.
func TestPrefixStaysInItsPool(t *testing.T) {
	v, in := pooledTargets(90, 12)
	p, s := NewFetching(), &Scratch{}
	for id := range prefix.ID(100) {
		level, first := prefix.Level{ID: id + 1, Tokens: 6300}, -1
		for seed := range uint64(20) {
			d := p.Decide(pooledRequest(seed, level), v, in, s)
			if in[d.Index].OffPool || first >= 0 && d.Index != first {
				t.Fatalf("prefix %d went to target %d, before to %d; want one of the first 12, always the same", id, d.Index, first)
			}
			first = d.Index
		}
	}
	r := pooledRequest(1, prefix.Level{ID: 1, Tokens: 6300})
	if r.Pending = v.Targets[50].ID; in[p.Decide(r, v, in, s).Index].OffPool {
		t.Error("a prompt went to the other pool because its prefix is being computed there")
	}
}

// TestSampleHoldsTargetsOfOwnPool guards against samples without a target of a small pool, whose
// requests would then all go to the other pool.
func TestSampleHoldsTargetsOfOwnPool(t *testing.T) {
	for _, n := range []int{16, 60, 140, 9756} {
		v, in := pooledTargets(n, n/8)
		p, s := NewFetching(), &Scratch{}
		off, used := 0, map[int]bool{}
		const decisions = 200
		for seed := range uint64(decisions) {
			d := p.Decide(pooledRequest(seed), v, in, s)
			used[d.Index] = true
			if in[d.Index].OffPool {
				off++
			}
		}
		// A sample of 3 of many targets is empty in 5 of 100 decisions.
		if off > decisions/10 || len(used) < min(n/8, 10) {
			t.Errorf("%d targets: %d of %d decisions were off the pool, %d targets were used", n, off, decisions, len(used))
		}
	}
}

// TestOtherPoolServesWhenOwnFails guards against refused requests while the other pool has engines.
func TestOtherPoolServesWhenOwnFails(t *testing.T) {
	for name, fail := range map[string]func(*Input){
		"dead": func(in *Input) { in.State = Dead }, "suspect": func(in *Input) { in.State = Suspect }, "tried": func(in *Input) { in.Tried = true },
	} {
		v, in := pooledTargets(60, 8)
		for i := range 8 {
			fail(&in[i])
		}
		used := map[int]bool{}
		for seed := range uint64(50) {
			d := NewFetching().Decide(pooledRequest(seed, prefix.Level{ID: prefix.ID(seed + 1), Tokens: 6300}), v, in, &Scratch{})
			if d.Index < 8 {
				t.Fatalf("%s: target %d was picked, want one of the other pool", name, d.Index)
			}
			used[d.Index] = true
		}
		if len(used) < 10 {
			t.Errorf("%s: all requests went to %d targets of the other pool, want them spread", name, len(used))
		}
	}
}

// TestPoolHoldsWithoutFailureDomain guards against requests that leave their pool when a failure
// domain is lost, although the pool has engines in the others.
func TestPoolHoldsWithoutFailureDomain(t *testing.T) {
	v, in := pooledTargets(60, 20)
	for i := range in {
		v.Targets[i].FailureDomain = ids.FailureDomain(fmt.Sprint("d", i%3))
		if i%3 == 0 {
			in[i].State = Dead
		}
	}
	for seed := range uint64(100) {
		r := pooledRequest(seed, prefix.Level{ID: prefix.ID(seed + 1), Tokens: 6300})
		r.FailureDomain = "d0"
		if d := NewFetching().Decide(r, v, in, &Scratch{}); in[d.Index].OffPool || in[d.Index].State != Live {
			t.Fatalf("target %d was picked, want one of the own pool that lives", d.Index)
		}
	}
}

// TestOffPoolCostIsSoft guards against requests that wait in their pool for longer than the soft cost
// while the other pool is idle, against pools that mix for less, and against a cost for requests
// without a prompt.
func TestOffPoolCostIsSoft(t *testing.T) {
	for _, c := range []struct {
		wait   float32 // seconds of work queued in the own pool
		tokens int32
		off    bool
	}{{0, 8000, false}, {0.3, 8000, false}, {0.5, 8000, true}, {0.1, 0, true}} {
		v, in := pooledTargets(20, 10)
		for i := range 10 {
			in[i].QueueTokens = c.wait * in[i].PrefillRate
		}
		r := pooledRequest(1)
		r.Tokens, r.InTransit = c.tokens, 0
		if d := NewFetching().Decide(r, v, in, &Scratch{}); in[d.Index].OffPool != c.off {
			t.Errorf("with %v s queued in the own pool a request of %d tokens went to target %d; want the other pool: %v", c.wait, c.tokens, d.Index, c.off)
		}
	}
}

func BenchmarkDecidePools(b *testing.B) {
	for _, n := range []int{16, 60, 140, 600, 9756} {
		for _, pools := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/pools=%v", n, pools), func(b *testing.B) {
				v, in := manyTargets(n)
				r := pooledRequest(1, prefix.Level{ID: 1, Tokens: 6300})
				for i := range in {
					in[i].QueueTokens, in[i].OffPool = float32(i%100)*100, pools && i%2 == 0
				}
				p, s := NewFetching(), &Scratch{}
				b.ReportAllocs()
				for b.Loop() {
					p.Decide(r, v, in, s)
				}
			})
		}
	}
}

// TestNewWeightsGoBeforeTheOwnPool guards against requests that stay with old weights in their own pool
// during a rollout: responses on old weights are worth less, whichever pool gives them.
func TestNewWeightsGoBeforeTheOwnPool(t *testing.T) {
	r := &Request{Tokens: 800, Weights: "2", Pool: DecodePool, OffPoolSeconds: 0.4}
	cost := func(weights ids.WeightsVersion, offPool bool) float32 {
		target, in := &Target{Weights: weights}, &Input{OffPool: offPool}
		return OffPoolScorer{}.Cost(r, target, in, nil) + OldWeightsScorer{Seconds: defaultOldWeightsSeconds}.Cost(r, target, in, nil)
	}
	own, other, old := cost("2", false), cost("2", true), cost("1", false)
	if own != 0 || other <= own || old <= other {
		t.Errorf("costs %v in the own pool, %v in the other, %v with old weights in the own, want them in this order", own, other, old)
	}
}
