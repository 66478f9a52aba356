package routing

import "testing"

// TestSignalsApplyWhenNoTargetIsLeft checks that open breakers are ignored if they leave no
// target, while rate limits and pauses that targets asked for are never ignored.
func TestSignalsApplyWhenNoTargetIsLeft(t *testing.T) {
	v := View{Targets: []Target{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}}
	decide := func(in ...Input) int {
		for i := range in {
			in[i].State, in[i].PrefillRate, in[i].SlowStart = Live, 1000, 1
		}
		return NewFetching().Decide(&Request{Service: "s"}, &v, in, &Scratch{}).Index
	}
	if i := decide(Input{BreakerOpen: true, Resting: true}, Input{BreakerOpen: true, RateLimited: true}, Input{BreakerOpen: true}); i != 2 {
		t.Errorf("target %d was picked, want 2", i)
	}
	if i := decide(Input{BreakerOpen: true, Resting: true}, Input{RateLimited: true}, Input{Resting: true}); i != -1 {
		t.Errorf("target %d was picked, want none: all are rate limited or resting", i)
	}
}

// TestReservedTargetIsSampled checks that a target reserved for this VM is always part of the
// sample.
func TestReservedTargetIsSampled(t *testing.T) {
	const n = 90
	v, in := View{Targets: make([]Target, n)}, make([]Input, n)
	for i := range v.Targets {
		v.Targets[i] = Target{Service: "s", Hash: uint64(i) * 0x9E3779B97F4A7C15}
		in[i] = Input{State: Live, PrefillRate: 1000, SlowStart: 1, InFlight: 4}
	}
	in[7].InFlight, in[7].Reserved = 0, true
	for seed := range uint64(50) {
		if d := NewFetching().Decide(&Request{Service: "s", Seed: seed, InTransit: 300}, &v, in, &Scratch{}); d.Index != 7 {
			t.Fatalf("seed %d: target %d was picked, want 7, which is idle and reserved", seed, d.Index)
		}
	}
}
