package routing

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// manyTargets returns a view of n idle targets and their inputs.
func manyTargets(n int) (*View, []Input) {
	v, in := &View{}, make([]Input, n)
	for i := range n {
		id := ids.Target(fmt.Sprint("t", i))
		v.Targets = append(v.Targets, Target{ID: id, Service: "s", Hash: HashTarget(id)})
		in[i] = Input{State: Live, PrefillRate: 50_000}
	}
	return v, in
}

// TestStaleLoadsDoNotCauseHerd makes many decisions in a large fleet in which one target looks
// idle and all others slightly busy, with 300 requests in transit. Without sampling every
// decision picked the idle target: one of 80 engines got 113 of 800 requests/s. With no requests
// in transit the idle target is the right choice.
func TestStaleLoadsDoNotCauseHerd(t *testing.T) {
	v, in := manyTargets(90)
	for i := range in {
		in[i].QueueTokens = 2000
	}
	in[7].QueueTokens = 0
	p, s := NewFetching(), &Scratch{}
	const decisions = 1000
	herd := 0
	for seed := range uint64(decisions) {
		if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: seed, InTransit: 300}, v, in, s); d.Index == 7 {
			herd++
		}
	}
	if most := decisions / 10; herd > most {
		t.Fatalf("%d of %d decisions picked the target that looked idle, want at most %d", herd, decisions, most)
	}
	if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: 1}, v, in, s); d.Index != 7 {
		t.Fatalf("with no requests in transit target %d was picked, want 7", d.Index)
	}
	p.Sampling = Sampling{}
	if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: 1}, v, in, s); d.Index != 7 {
		t.Fatalf("without sampling target %d was picked, want 7", d.Index)
	}
}

// TestSamplingKeepsHoldersAndRendezvous checks that with sampling a prompt still goes to the
// target that has it cached, or to its rendezvous target if no target has.
func TestSamplingKeepsHoldersAndRendezvous(t *testing.T) {
	v, in := manyTargets(90)
	p, s := NewFetching(), &Scratch{}
	levels := []prefix.Level{{ID: 42, Tokens: 6000}}
	rendezvous := -1
	for seed := range uint64(200) {
		d := p.Decide(&Request{Service: "s", Tokens: 8000, Levels: levels, Seed: seed, InTransit: 300}, v, in, s)
		if rendezvous >= 0 && d.Index != rendezvous {
			t.Fatalf("a prefix that no target has cached went to targets %d and %d", rendezvous, d.Index)
		}
		rendezvous = d.Index
	}
	in[3].Cached = 6000
	for seed := range uint64(200) {
		if d := p.Decide(&Request{Service: "s", Tokens: 8000, Levels: levels, FetchRate: 40_000, Seed: seed, InTransit: 300}, v, in, s); d.Index != 3 {
			t.Fatalf("a prefix went to target %d, want 3, which has it cached", d.Index)
		}
	}
}

// TestHerdIsBoundedByTime guards against herds of ten long prompts, which queue for up to 800 ms: the
// fraction of decisions that pick a target that looks idle must fall with Request.MaxHerd, and a value
// above Sampling.MaxHerd must change nothing.
func TestHerdIsBoundedByTime(t *testing.T) {
	v, in := manyTargets(90)
	for i := range in {
		in[i].QueueTokens = 2000
	}
	in[7].QueueTokens = 0
	p, s := NewFetching(), &Scratch{}
	picked := func(maxHerd float32) int {
		n := 0
		for seed := range uint64(1000) {
			if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: seed, InTransit: 60, MaxHerd: maxHerd}, v, in, s); d.Index == 7 {
				n++
			}
		}
		return n
	}
	usual, two := picked(0), picked(2)
	if usual < 120 || usual > 220 || two < 15 || two > 55 {
		t.Errorf("of 1000 decisions with 60 requests in transit %d picked the idle target, %d with a herd of 2; want about 167 and 33", usual, two)
	}
	if n := picked(50); n != usual {
		t.Errorf("%d decisions picked the idle target with a herd above the usual one, want %d", n, usual)
	}
}

// TestHerdOf guards against a herd of less than one request, with which no target would be sampled, and
// against a bound where the time is not known.
func TestHerdOf(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    float32
	}{{0, 0}, {0.05, 2}, {0.5, 1}, {0.001, 100}} {
		if got := HerdOf(c.seconds); got != c.want {
			t.Errorf("herd of %v for %v s, want %v", got, c.seconds, c.want)
		}
	}
}

// TestSmallSamplesFindTargets guards against requests that find no target although all are idle, because
// no target belongs to their sample: it must be extended, and by pools as well.
func TestSmallSamplesFindTargets(t *testing.T) {
	v, in := manyTargets(90)
	p, s := NewFetching(), &Scratch{}
	p.Sampling.MinTargets = 1
	for _, pooled := range []bool{false, true} {
		for i := range in {
			in[i].OffPool = pooled && i%8 != 0
		}
		none, picked := 0, map[int]int{}
		for seed := range uint64(2000) {
			d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: seed, InTransit: 300, MaxHerd: 1, OffPoolSeconds: 0.4}, v, in, s)
			if d.Index < 0 {
				none++
			}
			picked[d.Index]++
		}
		if none > 0 {
			t.Errorf("pools %v: %d of 2000 requests found no target, want none", pooled, none)
		}
		for i, n := range picked {
			if n > 400 {
				t.Errorf("pools %v: target %d got %d of 2000 requests, want them spread", pooled, i, n)
			}
		}
	}
}
