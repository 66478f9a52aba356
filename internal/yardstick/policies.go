package yardstick

import (
	"github.com/threadwall/threadwall/internal/routing"
)

// rendezvous is a baseline that uses no cache state: of the targets whose queue wait
// is at most bound times the mean (plus boundSlack), it picks the one with the
// highest rendezvous weight for the longest shared prefix of the prompt.
type rendezvous struct{ bound float32 }

var _ routing.Picker = rendezvous{}

// Pick implements routing.Picker. The costs are queue waits in seconds. It returns -1 if
// no target is eligible.
func (p rendezvous) Pick(r *routing.Request, v *routing.View, _ *routing.Eligible, costs []float32) int {
	sum, n := float32(0), float32(0)
	for _, c := range costs {
		if c < maxCost {
			sum += c
			n++
		}
	}
	if n == 0 {
		return -1
	}
	limit := p.bound*sum/n + boundSlack
	key := routing.AffinityKey(r, 0)
	if n := len(r.Levels); n > 0 {
		key = uint64(r.Levels[n-1].ID)
	}
	best, weight := -1, uint64(0)
	for i, c := range costs {
		if w := routing.Affinity(key, &v.Targets[i]); c <= limit && (best < 0 || w > weight) {
			best, weight = i, w
		}
	}
	return best
}

const (
	maxCost    = 1e30 // targets with this cost or more are not eligible
	boundSlack = 0.25 // seconds; keeps the affinity when the fleet is idle
)

// Baselines returns the policies that the policy of the product is compared with,
// including the oracle.
func Baselines() []Policy {
	queue := []routing.Scorer{routing.QueueScorer{}}
	return []Policy{
		{Name: "round-robin", Router: routing.NewRoundRobin},
		{Name: "least-load", Router: func() *routing.Router {
			return &routing.Router{Filters: routing.AllFilters, Scorers: queue, Picker: routing.RandomBandPicker{Seconds: 0.001}}
		}},
		{Name: "rendezvous", Router: func() *routing.Router {
			return &routing.Router{Filters: routing.AllFilters, Scorers: queue, Picker: rendezvous{bound: 1.25}}
		}},
		{Name: "oracle", Router: routing.NewCost, Exact: true},
	}
}

// Product returns the policy of the product.
func Product() Policy { return Policy{Name: "cost", Router: routing.NewCost} }

// Variants returns the policy of the product with one source of information replaced
// by the actual state, or turned off.
func Variants() []Policy {
	return []Policy{
		{Name: "cost, exact cache", Router: routing.NewCost, ExactCache: true},
		{Name: "cost, exact load", Router: routing.NewCost, ExactLoad: true},
		{Name: "cost, no feed", Router: routing.NewCost, Ablation: Ablation{NoFeed: true}},
		{Name: "cost, no peers", Router: routing.NewCost, Ablation: Ablation{NoPeers: true}},
		{Name: "cost, no expect", Router: routing.NewCost, Ablation: Ablation{NoExpect: true}},
	}
}
