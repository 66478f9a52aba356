package orders

import (
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestPlanOldestFirst checks that the engines with the oldest weights come first. When
// operators set versions faster than all engines can load them, any other sequence leaves
// some engines behind for good: in a randomized run (seed 849263114917) two engines never
// got version 2.
func TestPlanOldestFirst(t *testing.T) {
	desired := map[ids.Target]DesiredState{}
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
		desired[engines[i].Target] = DesiredState{Weights: "11"}
	}
	plan := Plan(desired, engines, oneIn(3))
	if len(plan) != 2 || plan[0].Target != "c" || plan[1].Target != "e" {
		t.Fatalf("got %+v, want the engines with version 8", plan)
	}
}

// TestPlanCountsOrdersInProgress checks that an engine that carries out an order counts as
// out of service and gets no second order.
func TestPlanCountsOrdersInProgress(t *testing.T) {
	desired := map[ids.Target]DesiredState{}
	engines := []EngineStatus{
		{Target: "a", Weights: "1", Busy: true}, {Target: "b", Weights: "2"}, {Target: "c", Weights: "2"}, {Target: "d", Weights: "2"},
	}
	for i := range engines {
		engines[i].State = routing.Live
		desired[engines[i].Target] = DesiredState{Weights: "3"}
	}
	plan := Plan(desired, engines, oneIn(2))
	if len(plan) != 1 || plan[0].Target != "b" {
		t.Fatalf("got %+v, want one more order, to b", plan)
	}
}

// oneIn returns a limit of one in n engines.
func oneIn(n int) func(ids.Model) MaxUnavailable {
	return func(ids.Model) MaxUnavailable { return MaxUnavailable{OneIn: n} }
}

// TestPlanWithEnginesDown checks how many slots live engines get when others are down.
func TestPlanWithEnginesDown(t *testing.T) {
	desired := map[ids.Target]DesiredState{}
	var engines []EngineStatus
	for _, id := range []ids.Target{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		engines = append(engines, EngineStatus{Target: id, State: routing.Live, Weights: "1"})
		desired[id] = DesiredState{Weights: "2"}
	}
	engines[0].State, engines[1].State = routing.Dead, routing.Dead
	for _, c := range []struct {
		limit MaxUnavailable
		busy  int
		want  int
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
		if plan := Plan(desired, engines, func(ids.Model) MaxUnavailable { return c.limit }); len(plan) != c.want {
			t.Errorf("%+v with %d in progress: %d orders, want %d", c.limit, c.busy, len(plan), c.want)
		}
	}
}

// TestPlanBusyIsNotDown checks that engines that carry out an order, and so accept no
// requests, count as busy and not also as down.
func TestPlanBusyIsNotDown(t *testing.T) {
	desired := map[ids.Target]DesiredState{}
	var engines []EngineStatus
	for _, id := range []ids.Target{"a", "b", "c", "d", "e", "f"} {
		engines = append(engines, EngineStatus{Target: id, State: routing.Live, Weights: "1"})
		desired[id] = DesiredState{Weights: "2"}
	}
	for i := range 3 {
		engines[i].Busy, engines[i].State = true, routing.Suspect
	}
	if plan := Plan(desired, engines, func(ids.Model) MaxUnavailable { return MaxUnavailable{OneIn: 9, AtLeast: 3} }); len(plan) != 0 {
		t.Fatalf("got %+v, want none while three are in progress", plan)
	}
}

// TestPlanLeastLoadFirst checks that of engines with equal weights the one with the
// fewest requests comes first, since it drains fastest.
func TestPlanLeastLoadFirst(t *testing.T) {
	desired := map[ids.Target]DesiredState{}
	engines := []EngineStatus{{Target: "a", Load: 7}, {Target: "b", Load: 2}, {Target: "c", Load: 4}}
	for i := range engines {
		engines[i].State, engines[i].Weights = routing.Live, "1"
		desired[engines[i].Target] = DesiredState{Weights: "2"}
	}
	if plan := Plan(desired, engines, oneIn(3)); len(plan) != 1 || plan[0].Target != "b" {
		t.Fatalf("got %+v, want b", plan)
	}
}
