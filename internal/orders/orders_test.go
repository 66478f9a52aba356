package orders

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// TestPlan draws engines and desired states and carries out plan after plan. Orders must
// take out at most a quarter of a model's engines, including those that are down, but at
// least one, and all live engines must reach their desired state however many are down.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		desired := map[ids.Target]DesiredState{}
		var engines []EngineStatus
		for i := range rapid.IntRange(1, 12).Draw(rt, "engines") {
			e := EngineStatus{Target: ids.Target(fmt.Sprint("e", i)), Model: "m", State: routing.Live, Weights: "w1"}
			if rapid.IntRange(0, 5).Draw(rt, "dead") == 0 {
				e.State = routing.Dead
			}
			desired[e.Target] = DesiredState{Weights: rapid.SampledFrom([]ids.WeightsVersion{"", "w1", "w2"}).Draw(rt, "weights")}
			engines = append(engines, e)
		}
		for range engines {
			down := count(engines, routing.Dead)
			plan := Plan(desired, engines, oneIn(DefaultOneIn))
			if limit := max(len(engines)/4-down, 1); len(plan) > limit {
				rt.Fatalf("%d orders at once with %d of %d down", len(plan), down, len(engines))
			}
			apply(engines, plan)
		}
		if rest := Plan(desired, engines, oneIn(DefaultOneIn)); len(rest) > 0 {
			rt.Fatalf("the plans do not end: %+v", rest)
		}
		for _, e := range engines {
			if e.State != routing.Dead && !satisfied(desired[e.Target], e) {
				rt.Fatalf("%s has %s, wanted %+v", e.Target, e.Weights, desired[e.Target])
			}
		}
	})
}

func count(engines []EngineStatus, s routing.State) int {
	n := 0
	for _, e := range engines {
		if e.State == s {
			n++
		}
	}
	return n
}

func apply(engines []EngineStatus, plan []Order) {
	for _, o := range plan {
		for i := range engines {
			if engines[i].Target == o.Target && o.Desired.Weights != "" {
				engines[i].Weights = o.Desired.Weights
			}
		}
	}
}
