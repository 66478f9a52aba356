// Package orders reconciles engines with the state that operators want: which weights
// they serve, and whether they drain.
//
// An operator records an intent by a conditional update. In each failure domain the VM
// that holds the lease compares the intents with the state that engines report and
// sends orders, each with the lease's fencing token. An order states the desired state
// and not a step, so a repeated or late order can only set the state that its sender last
// read as desired; the next lease holder reads the engine's state and corrects it.
//
// The reconciler sends orders to a few engines of a model at a time, so that most of
// them keep serving, and within the read rate of the weight store.
package orders

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// Prefix is the key prefix of intents in the object API.
const Prefix = "orders/"

// DesiredState is the state that an operator wants of an engine. An empty field means no
// change.
type DesiredState struct {
	Weights ids.WeightsVersion `json:"weights,omitempty"`
	Serve   Serve              `json:"serve,omitempty"`
}

// Serve states whether an engine should accept new requests.
type Serve string

// Values of Serve. The empty value leaves the engine as it is: an order about weights
// must not bring back an engine that drains because the platform is removing it.
const (
	ServeOn    Serve = "on"
	ServeDrain Serve = "drain"
)

// Intent is the stored form of the desired state of one target.
type Intent struct {
	Target  ids.Target   `json:"target"`
	Desired DesiredState `json:"want"`
}

// Decode returns the desired states in objects. It skips objects that are not valid JSON
// or whose key does not match their target.
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

// EngineStatus is the last known state of one engine.
type EngineStatus struct {
	Target  ids.Target
	Model   ids.Model
	Addr    string
	State   routing.State
	Weights ids.WeightsVersion
	Drained bool // it reports that it accepts no new requests
	Busy    bool // an order to it is in progress
	Load    int  // requests in progress; of otherwise equal engines Plan takes the least loaded first
}

// Order asks one engine to change to a desired state.
type Order struct {
	Target       ids.Target
	Addr         string
	Desired      DesiredState
	LoadsWeights bool // the engine will read from the weight store
}

// DefaultOneIn is the default of MaxUnavailable.OneIn.
const DefaultOneIn = 4

// MaxUnavailable limits how many engines of a model may be out of service at a time.
type MaxUnavailable struct {
	// OneIn limits the number to one in OneIn engines, including those that are down.
	OneIn int
	// AtLeast is how many live engines may carry out orders at a time, regardless of how
	// many are down; values below 1 mean 1. A rollout with a deadline raises it.
	AtLeast int
}

// slots returns how many of a model's engines may carry out orders at a time.
func (u MaxUnavailable) slots(total, down int) int {
	return max(total/max(u.OneIn, 1)-down, u.AtLeast, 1)
}

// Plan returns the orders to send now. It is a pure function.
//
// For each model, engines out of service stay within the limit that maxUnavailable
// returns; engines that carry out an order count as out of service. An engine that is
// down uses up a slot, except for the AtLeast slots: otherwise a few dead engines would
// keep the live ones from ever getting an order. Drains come first, since an operator
// waits for them, then the engines with the oldest weights, so that no engine is left
// behind when versions follow each other quickly.
func Plan(desired map[ids.Target]DesiredState, engines []EngineStatus, maxUnavailable func(ids.Model) MaxUnavailable) []Order {
	free := freeSlots(engines, maxUnavailable)
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b EngineStatus) int {
		return cmp.Or(cmp.Compare(rank(desired[a.Target]), rank(desired[b.Target])),
			compareWeights(a.Weights, b.Weights),
			cmp.Compare(a.Load, b.Load), cmp.Compare(a.Target, b.Target))
	})
	var plan []Order
	for _, e := range engines {
		want, ok := desired[e.Target]
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

// freeSlots returns how many more engines of each model may be taken out of service.
func freeSlots(engines []EngineStatus, maxUnavailable func(ids.Model) MaxUnavailable) map[ids.Model]int {
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
		free[m] = maxUnavailable(m).slots(n, down[m]) - busy[m]
	}
	return free
}

// compareWeights compares decimal versions by value. It compares other versions by
// length and then as strings.
func compareWeights(a, b ids.WeightsVersion) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// rank returns the priority of a desired state; lower values come first.
func rank(w DesiredState) int {
	if w.Serve == ServeDrain {
		return 0
	}
	return 1
}

// satisfied reports whether an engine has its desired state.
func satisfied(w DesiredState, e EngineStatus) bool {
	return (w.Weights == "" || w.Weights == e.Weights) && (w.Serve == "" || (w.Serve == ServeDrain) == e.Drained)
}
