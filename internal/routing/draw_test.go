package routing

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// manyTargets returns a view of idle targets.
func manyTargets(n int) (*View, []Input) {
	v, in := &View{}, make([]Input, n)
	for i := range n {
		id := ids.Target(fmt.Sprint("t", i))
		v.Targets = append(v.Targets, Target{ID: id, Service: "s", Hash: HashTarget(id)})
		in[i] = Input{State: Live, PrefillRate: 50_000}
	}
	return v, in
}

// TestStaleLoadsDoNotGatherEverybody lets one target of a large fleet look idle to many
// decisions while all others look a little busy, as 300 calls cross. Without draws all of them
// went there: 113 of 800 requests a second to one of 80 engines. Where no call crosses, it is
// the best place for each.
func TestStaleLoadsDoNotGatherEverybody(t *testing.T) {
	v, in := manyTargets(90)
	for i := range in {
		in[i].QueueTokens = 2000
	}
	in[7].QueueTokens = 0
	p, s := NewFetching(), &Scratch{}
	const decisions = 1000
	gathered := 0
	for seed := range uint64(decisions) {
		if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: seed, InTransit: 300}, v, in, s); d.Index == 7 {
			gathered++
		}
	}
	if most := decisions / 10; gathered > most {
		t.Fatalf("%d of %d decisions went to the target that looked idle, want at most %d", gathered, decisions, most)
	}
	if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: 1}, v, in, s); d.Index != 7 {
		t.Fatalf("where no call crosses target %d was picked", d.Index)
	}
	p.Sampling = Sampling{}
	if d := p.Decide(&Request{Service: "s", Tokens: 800, Seed: 1}, v, in, s); d.Index != 7 {
		t.Fatalf("without draws target %d was picked", d.Index)
	}
}

// TestDrawKeepsHoldersAndHome checks that a prompt still goes where it is held, and
// what nobody holds to its home, whatever is drawn.
func TestDrawKeepsHoldersAndHome(t *testing.T) {
	v, in := manyTargets(90)
	p, s := NewFetching(), &Scratch{}
	levels := []prefix.Level{{ID: 42, Tokens: 6000}}
	home := -1
	for seed := range uint64(200) {
		d := p.Decide(&Request{Service: "s", Tokens: 8000, Levels: levels, Seed: seed, InTransit: 300}, v, in, s)
		if home >= 0 && d.Index != home {
			t.Fatalf("a prefix that nobody holds went to %d and to %d", home, d.Index)
		}
		home = d.Index
	}
	in[3].Cached = 6000
	for seed := range uint64(200) {
		if d := p.Decide(&Request{Service: "s", Tokens: 8000, Levels: levels, FetchRate: 40_000, Seed: seed, InTransit: 300}, v, in, s); d.Index != 3 {
			t.Fatalf("a prefix went to %d, its holder is 3", d.Index)
		}
	}
}
