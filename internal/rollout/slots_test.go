package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestUpdatedEngineHoldsNoSlotOfLateOne plans the last orders in time while updates of engines that have their weights already haven't ended.
func TestUpdatedEngineHoldsNoSlotOfLateOne(t *testing.T) {
	s, r := newScripted(t)
	s.within = latestStart - time.Millisecond // all must start now
	var engines []orders.EngineStatus
	desired := map[ids.Target]orders.DesiredState{}
	for i := range 10 {
		e := orders.EngineStatus{Target: ids.Target(fmt.Sprintf("e%d", i)), Model: "m", State: routing.Live, Weights: "1"}
		if i < 5 {
			e.Busy, e.Weights = true, "2"
		} else {
			desired[e.Target] = orders.DesiredState{Weights: "2"}
		}
		engines = append(engines, e)
	}
	plan := orders.Plan(desired, engines, func(m ids.Model) orders.MaxUnavailable { return r.MaxUnavailable(m, engines) })
	if len(plan) != 5 {
		t.Errorf("%d of 5 engines get their orders at the latest time at which they may", len(plan))
	}
}
