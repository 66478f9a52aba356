package cacheview

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// oracle records for each target the prefixes that it holds in its current generation. It
// forgets them at a new generation or a gap in the events.
type oracle struct {
	inc  map[ids.Target]ids.Incarnation
	w    map[ids.Target]ids.WeightsVersion
	held map[ids.Target]map[prefix.ID]bool
	seq  map[ids.Target]uint64
}

// TestLookupReportsOnlyValidEntries checks that Lookup never returns a prefix that the target
// was not reported to hold in its current generation since the last gap in its events. Lookup
// may miss prefixes, since the table is bounded.
func TestLookupReportsOnlyValidEntries(t *testing.T) {
	targets := []ids.Target{"t0", "t1", "t2"}
	rapid.Check(t, func(rt *rapid.T) {
		x := New(64, func() time.Time { return time.Unix(0, 0) })
		o := &oracle{
			inc: map[ids.Target]ids.Incarnation{}, w: map[ids.Target]ids.WeightsVersion{},
			held: map[ids.Target]map[prefix.ID]bool{}, seq: map[ids.Target]uint64{},
		}
		for _, tg := range targets {
			x.Number(tg)
			o.held[tg] = map[prefix.ID]bool{}
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			o.step(rt, x, rapid.SampledFrom(targets).Draw(rt, "target"))
			o.check(rt, x, targets)
		}
	})
}

func (o *oracle) generation(t ids.Target) Generation { return GenerationOf(o.inc[t], o.w[t]) }

func (o *oracle) step(rt *rapid.T, x *Index, t ids.Target) {
	id := prefix.ID(rapid.IntRange(1, 12).Draw(rt, "prefix"))
	level := []prefix.Level{{ID: id, Tokens: 16}}
	stale := GenerationOf(o.inc[t]+7, "other")
	switch rapid.IntRange(0, 7).Draw(rt, "step") {
	case 0:
		inc := ids.Incarnation(rapid.IntRange(0, 4).Draw(rt, "incarnation"))
		w := ids.WeightsVersion(fmt.Sprint("w", rapid.IntRange(0, 1).Draw(rt, "weights")))
		changed := inc > o.inc[t] || inc == o.inc[t] && w != o.w[t]
		x.SetGeneration(t, inc, w)
		if changed {
			o.inc[t], o.w[t], o.seq[t] = inc, w, 0
			o.held[t] = map[prefix.ID]bool{}
		}
	case 1:
		x.Add(t, o.generation(t), level)
		o.hold(t, id)
	case 2:
		x.ApplyResponse(t, o.generation(t), level, nil, 0)
		o.hold(t, id)
	case 3:
		x.ApplyResponse(t, stale, level, nil, 16)
		x.Add(t, stale, level)
		x.ApplyEvents(t, stale, []Event{{Seq: 1, Block: id, Stored: true}})
	case 4:
		x.Remove(t, o.generation(t), id)
		if o.known(t) {
			delete(o.held[t], id)
		}
	case 5:
		x.Expect(t, level, 0)
		o.held[t][id] = true
	default:
		o.feed(rt, x, t, id)
	}
}

// known reports whether the target's generation has been set.
func (o *oracle) known(t ids.Target) bool { return o.w[t] != "" }

func (o *oracle) hold(t ids.Target, id prefix.ID) {
	if o.known(t) {
		o.held[t][id] = true
	}
}

func (o *oracle) feed(rt *rapid.T, x *Index, t ids.Target, id prefix.ID) {
	seq := o.seq[t] + uint64(rapid.IntRange(0, 2).Draw(rt, "seq"))
	stored := rapid.Bool().Draw(rt, "stored")
	x.ApplyEvents(t, o.generation(t), []Event{{Seq: seq, Block: id, Stored: stored}})
	if !o.known(t) || seq <= o.seq[t] {
		return
	}
	if seq != o.seq[t]+1 && o.seq[t] != 0 {
		o.held[t] = map[prefix.ID]bool{}
	}
	o.seq[t] = seq
	o.held[t][id] = stored
}

func (o *oracle) check(rt *rapid.T, x *Index, targets []ids.Target) {
	out := make([]int32, len(targets))
	for id := prefix.ID(1); id <= 12; id++ {
		x.Lookup([]prefix.Level{{ID: id, Tokens: 16}}, out)
		for i, t := range targets {
			if out[i] > 0 && !o.held[t][id] {
				rt.Fatalf("target %s: Lookup returned prefix %d, which the target does not hold", t, id)
			}
		}
	}
}

// TestEpochWraps checks that an old entry does not become valid again when the 16-bit epoch
// wraps, after 65,536 new generations.
func TestEpochWraps(t *testing.T) {
	x := New(64, nil)
	x.SetGeneration("t", 1, "w")
	x.Add("t", GenerationOf(1, "w"), []prefix.Level{{ID: 5, Tokens: 16}})
	for i := range 1 << 16 {
		x.SetGeneration("t", ids.Incarnation(i+2), "w")
	}
	out := make([]int32, 1)
	x.Lookup([]prefix.Level{{ID: 5, Tokens: 16}}, out)
	if out[0] != 0 {
		t.Fatal("an old entry became valid again")
	}
}
