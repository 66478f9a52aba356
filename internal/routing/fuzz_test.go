package routing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// drawInputs generates targets in arbitrary states, with arbitrary loads and cached prefixes,
// and a request.
func drawInputs(rt *rapid.T) (View, []Input, Request) {
	var v View
	var in []Input
	for i := range rapid.IntRange(0, 8).Draw(rt, "targets") {
		id := ids.Target(fmt.Sprint("t", i))
		v.Targets = append(v.Targets, Target{
			ID: id, Hash: HashTarget(id), Model: rapid.SampledFrom([]ids.Model{"m", "other"}).Draw(rt, "model"),
			FailureDomain: rapid.SampledFrom([]ids.FailureDomain{"a", "b"}).Draw(rt, "domain"),
		})
		in = append(in, Input{
			State:       rapid.SampledFrom([]State{Dead, Leaving, Suspect, Joining, Live}).Draw(rt, "state"),
			BreakerOpen: rapid.IntRange(0, 4).Draw(rt, "breaker") == 0, Tried: rapid.IntRange(0, 4).Draw(rt, "tried") == 0,
			SlowStart: rapid.Float32Range(0, 1).Draw(rt, "slow start"), QueueTokens: rapid.Float32Range(0, 1e6).Draw(rt, "queue"),
			PrefillRate: rapid.SampledFrom([]float32{0, 100, 12_000}).Draw(rt, "rate"), Cached: rapid.Int32Range(0, 9000).Draw(rt, "cached"),
		})
	}
	r := Request{Model: "m", FailureDomain: "a", Tokens: 9000, RecomputeWeight: rapid.Float32Range(0, 2).Draw(rt, "weight"), Seed: rapid.Uint64().Draw(rt, "seed")}
	for i := range rapid.IntRange(0, 3).Draw(rt, "levels") {
		r.Levels = append(r.Levels, prefix.Level{ID: prefix.ID(i + 7), Tokens: int32(3000 * (i + 1))})
	}
	return v, in, r
}

// allowed reports whether the filters should pass a target.
func allowed(t Target, in Input) bool {
	return t.Model == "m" && in.State > Leaving && !in.BreakerOpen && !in.Tried
}

// TestDecisions checks that a decision picks an allowed target, and a suspect one only if no
// healthy target is allowed; that it picks a target whenever one is allowed; and that the same
// inputs lead to the same choice, independent of the order of the targets.
func TestDecisions(t *testing.T) {
	policies := []func() *Router{NewCost, NewRoundRobin}
	rapid.Check(t, func(rt *rapid.T) {
		v, in, r := drawInputs(rt)
		p := rapid.SampledFrom(policies).Draw(rt, "policy")()
		d := p.Decide(&r, &v, in, &Scratch{})
		any, healthy := false, false
		for i := range in {
			ok := allowed(v.Targets[i], in[i])
			any, healthy = any || ok, healthy || ok && in[i].State != Suspect
		}
		if any != (d.Index >= 0) {
			rt.Fatalf("picked target %d (-1: none), while an allowed target exists: %v", d.Index, any)
		}
		if d.Index < 0 {
			return
		}
		if !allowed(v.Targets[d.Index], in[d.Index]) || healthy && in[d.Index].State == Suspect {
			rt.Fatalf("picked a target that is not allowed, or suspect despite a healthy one: %+v", in[d.Index])
		}
		if again := p.Decide(&r, &v, in, &Scratch{}); again != d {
			rt.Fatalf("the same inputs gave %+v, then %+v", d, again)
		}
		if p.Name != "cost" {
			return // round robin depends on the order of the targets
		}
		chosen := v.Targets[d.Index].ID
		slices.Reverse(v.Targets)
		slices.Reverse(in)
		if reversed := p.Decide(&r, &v, in, &Scratch{}); v.Targets[reversed.Index].ID != chosen {
			rt.Fatalf("picked %s, and %s with the targets in reverse order", chosen, v.Targets[reversed.Index].ID)
		}
	})
}
