package orders

import (
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestPlanOldestFirst follows versions that are named faster than all engines can
// load them: the engines with the oldest weights come first, so that none is left
// behind for good (solano and bac trouble-2, hunt seed 849263114917: two engines
// never got version 2).
func TestPlanOldestFirst(t *testing.T) {
	wants := map[ids.Target]DesiredState{}
	engines := []EngineStatus{
		{Target: "a", Weights: "9"},
		{Target: "b", Weights: "10"},
		{Target: "c", Weights: "8"},
		{Target: "d", Weights: "10"},
		{Target: "e", Weights: "8"},
		{Target: "f", Weights: "9"},
	}
	for i := range engines {
		engines[i].State = routing.Live
		wants[engines[i].Target] = DesiredState{Weights: "11"}
	}
	plan := Plan(wants, engines, oneIn(3))
	if len(plan) != 2 || plan[0].Target != "c" || plan[1].Target != "e" {
		t.Fatalf("got %+v, want the engines with version 8", plan)
	}
}

// TestPlanCountsOrdersUnderWay checks that an engine that carries out an order
// counts as out of service and is not told again.
func TestPlanCountsOrdersUnderWay(t *testing.T) {
	wants := map[ids.Target]DesiredState{}
	engines := []EngineStatus{
		{Target: "a", Weights: "1", Busy: true}, {Target: "b", Weights: "2"}, {Target: "c", Weights: "2"}, {Target: "d", Weights: "2"},
	}
	for i := range engines {
		engines[i].State = routing.Live
		wants[engines[i].Target] = DesiredState{Weights: "3"}
	}
	plan := Plan(wants, engines, oneIn(2))
	if len(plan) != 1 || plan[0].Target != "b" {
		t.Fatalf("got %+v, want one order more, to b", plan)
	}
}

// oneIn is a pace by share alone.
func oneIn(share int) func(ids.Model) MaxUnavailable {
	return func(ids.Model) MaxUnavailable { return MaxUnavailable{OneIn: share} }
}

// TestPlanWhateverIsDown checks the places that a pace grants to living engines when
// others are down.
func TestPlanWhateverIsDown(t *testing.T) {
	wants := map[ids.Target]DesiredState{}
	var engines []EngineStatus
	for _, id := range []ids.Target{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		engines = append(engines, EngineStatus{Target: id, State: routing.Live, Weights: "1"})
		wants[id] = DesiredState{Weights: "2"}
	}
	engines[0].State, engines[1].State = routing.Dead, routing.Dead
	for _, c := range []struct {
		pace MaxUnavailable
		busy int
		want int
	}{
		{MaxUnavailable{OneIn: 9}, 0, 1},
		{MaxUnavailable{OneIn: 4}, 0, 1},
		{MaxUnavailable{OneIn: 2}, 0, 2},
		{MaxUnavailable{OneIn: 2}, 1, 1},
		{MaxUnavailable{OneIn: 9, AtLeast: 3}, 0, 3},
		{MaxUnavailable{OneIn: 9, AtLeast: 3}, 2, 1},
		{MaxUnavailable{OneIn: 9, AtLeast: 3}, 4, 0},
		{MaxUnavailable{OneIn: 9, AtLeast: 20}, 0, 7},
	} {
		for i := range engines {
			engines[i].Busy = i >= 2 && i < 2+c.busy
		}
		if plan := Plan(wants, engines, func(ids.Model) MaxUnavailable { return c.pace }); len(plan) != c.want {
			t.Errorf("%+v with %d under way: %d orders, want %d", c.pace, c.busy, len(plan), c.want)
		}
	}
}

// TestPlanBusyIsNotDown checks that engines under an order, which take no calls, hold
// their own places and not those of engines that are down.
func TestPlanBusyIsNotDown(t *testing.T) {
	wants := map[ids.Target]DesiredState{}
	var engines []EngineStatus
	for _, id := range []ids.Target{"a", "b", "c", "d", "e", "f"} {
		engines = append(engines, EngineStatus{Target: id, State: routing.Live, Weights: "1"})
		wants[id] = DesiredState{Weights: "2"}
	}
	for i := range 3 {
		engines[i].Busy, engines[i].State = true, routing.Suspect
	}
	if plan := Plan(wants, engines, func(ids.Model) MaxUnavailable { return MaxUnavailable{OneIn: 9, AtLeast: 3} }); len(plan) != 0 {
		t.Fatalf("got %+v, want none while three are under way", plan)
	}
}

// TestPlanLeastLoadFirst checks that of engines with equal weights the one with the
// fewest requests comes first: it is drained soonest.
func TestPlanLeastLoadFirst(t *testing.T) {
	wants := map[ids.Target]DesiredState{}
	engines := []EngineStatus{{Target: "a", Load: 7}, {Target: "b", Load: 2}, {Target: "c", Load: 4}}
	for i := range engines {
		engines[i].State, engines[i].Weights = routing.Live, "1"
		wants[engines[i].Target] = DesiredState{Weights: "2"}
	}
	if plan := Plan(wants, engines, oneIn(3)); len(plan) != 1 || plan[0].Target != "b" {
		t.Fatalf("got %+v, want b", plan)
	}
}
