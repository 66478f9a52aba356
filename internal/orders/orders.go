// Package orders brings engines to the state that operators want: which weights
// they serve, and whether they drain.
//
// An operator records an intent, by conditional update. One VM of each failure
// domain, under lease, compares intents with what engines say of themselves and
// sends orders, each with the lease's fencing number. An order states what is
// wanted and not a step, so a repeated or late one does no more than the last
// intent known to its sender; the next holder reads back and corrects it.
//
// Orders go out in small groups, so that most of a model's engines serve at any
// time, and within the weight store's rate.
package orders

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// Prefix is where intents live in the object API.
const Prefix = "orders/"

// DesiredState is the state that an engine is to have.
type DesiredState struct {
	Weights ids.WeightsVersion `json:"weights,omitempty"` // empty: as it is
	Serve   Serve              `json:"serve,omitempty"`   // empty: as it is
}

// Serve says whether an engine is to take new work.
type Serve string

// The wishes. An engine that leaves because the platform told it to must not be
// brought back by an order about weights, so there is a third: no wish.
const (
	ServeOn    Serve = "on"
	ServeDrain Serve = "drain"
)

// Intent is an operator's wish for one target, as stored.
type Intent struct {
	Target  ids.Target   `json:"target"`
	Desired DesiredState `json:"want"`
}

// Decode reads intents from their objects; those that can't be read are left out.
func Decode(objects []objectapi.Object) map[ids.Target]DesiredState {
	out := map[ids.Target]DesiredState{}
	for _, o := range objects {
		var i Intent
		if json.Unmarshal(o.Value, &i) == nil && Prefix+string(i.Target) == o.Key {
			out[i.Target] = i.Desired
		}
	}
	return out
}

// EngineStatus is what is known of one engine.
type EngineStatus struct {
	Target  ids.Target
	Model   ids.Model
	Addr    string
	State   routing.State
	Weights ids.WeightsVersion
	Drained bool // it says that it takes no new work
	Busy    bool // an order to it is under way
	Load    int  // requests that it works on; of equals the least loaded comes first
}

// Order is one thing to tell an engine.
type Order struct {
	Target       ids.Target
	Addr         string
	Desired      DesiredState
	LoadsWeights bool // it will read from the weight store
}

// DefaultOneIn is one in how many engines of a model may be out of service.
const DefaultOneIn = 4

// MaxUnavailable bounds how many engines of a model may be out of service at a time.
type MaxUnavailable struct {
	// OneIn is one in how many engines may be; those that are down count.
	OneIn int
	// AtLeast is how many living engines may carry out orders at a time whatever is
	// down; one if it is less. A rollout that must end in time asks for more.
	AtLeast int
}

// places returns how many of a model's engines may carry out orders at a time.
func (p MaxUnavailable) places(total, down int) int {
	return max(total/max(p.OneIn, 1)-down, p.AtLeast, 1)
}

// Plan returns the orders to send now. It is a pure function. Of each model no more
// engines may be out of service at a time than its pace allows, those that carry out
// an order included; an engine that is down takes the place of a living one, but for
// the places that the pace grants whatever is down: else a few dead engines would keep
// the living ones from ever getting an order. Drains come first, since an operator who
// drains is waiting, then the engines with the oldest weights, so that none is left
// behind where versions follow each other closely.
func Plan(wants map[ids.Target]DesiredState, engines []EngineStatus, pace func(ids.Model) MaxUnavailable) []Order {
	free := freePlaces(engines, pace)
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b EngineStatus) int {
		return cmp.Or(cmp.Compare(rank(wants[a.Target]), rank(wants[b.Target])),
			compareWeights(a.Weights, b.Weights),
			cmp.Compare(a.Load, b.Load), cmp.Compare(a.Target, b.Target))
	})
	var plan []Order
	for _, e := range engines {
		want, ok := wants[e.Target]
		if !ok || e.Busy || e.State == routing.Dead || satisfied(want, e) {
			continue
		}
		loads := want.Weights != "" && want.Weights != e.Weights
		takesOut := e.State >= routing.Joining && (loads || want.Serve == ServeDrain)
		if takesOut && free[e.Model] <= 0 {
			continue
		}
		if takesOut {
			free[e.Model]--
		}
		plan = append(plan, Order{Target: e.Target, Addr: e.Addr, Desired: want, LoadsWeights: loads})
	}
	return plan
}

// freePlaces returns how many more engines of each model may be taken out of service.
func freePlaces(engines []EngineStatus, pace func(ids.Model) MaxUnavailable) map[ids.Model]int {
	total, down, busy := map[ids.Model]int{}, map[ids.Model]int{}, map[ids.Model]int{}
	for _, e := range engines {
		total[e.Model]++
		switch {
		case e.Busy:
			busy[e.Model]++
		case e.State < routing.Joining:
			down[e.Model]++
		}
	}
	free := map[ids.Model]int{}
	for m, n := range total {
		free[m] = pace(m).places(n, down[m]) - busy[m]
	}
	return free
}

// compareWeights orders versions that are numbers by value, others as texts.
func compareWeights(a, b ids.WeightsVersion) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

func rank(w DesiredState) int {
	if w.Serve == ServeDrain {
		return 0
	}
	return 1
}

func satisfied(w DesiredState, e EngineStatus) bool {
	return (w.Weights == "" || w.Weights == e.Weights) && (w.Serve == "" || (w.Serve == ServeDrain) == e.Drained)
}
