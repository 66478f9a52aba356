package routing

// BandPicker takes the cheapest target; among those within a band above the
// cheapest it takes the one with the highest rendezvous weight for the prompt's
// prefix, so that VMs with slightly different pictures agree.
type BandPicker struct {
	Ratio   float32 // band relative to the lowest cost
	Seconds float32 // plus this
}

// RandomBandPicker is BandPicker with a seeded random choice within the band.
type RandomBandPicker struct{ Ratio, Seconds float32 }

// RoundRobinPicker spreads requests by their seed and ignores costs: a baseline.
type RoundRobinPicker struct{}

var (
	_ Picker = BandPicker{}
	_ Picker = RandomBandPicker{}
	_ Picker = RoundRobinPicker{}
)

// Pick implements Picker.
func (p BandPicker) Pick(r *Request, v *View, e *Eligible, costs []float32) int {
	key := AffinityKey(r, e.Best)
	return pickInBand(costs, p.Ratio, p.Seconds, func(i int) uint64 { return Affinity(key, &v.Targets[i]) })
}

// Pick implements Picker.
func (p RandomBandPicker) Pick(r *Request, v *View, _ *Eligible, costs []float32) int {
	return pickInBand(costs, p.Ratio, p.Seconds, func(i int) uint64 {
		return Affinity(r.Seed, &v.Targets[i])
	})
}

func pickInBand(costs []float32, ratio, seconds float32, weight func(int) uint64) int {
	lowest := infinite
	for _, c := range costs {
		lowest = min(lowest, c)
	}
	if lowest == infinite {
		return -1
	}
	limit := lowest*(1+ratio) + seconds
	best, bestWeight := -1, uint64(0)
	for i, c := range costs {
		if c > limit {
			continue
		}
		if w := weight(i); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// Pick implements Picker.
func (RoundRobinPicker) Pick(r *Request, _ *View, _ *Eligible, costs []float32) int {
	eligible := 0
	for _, c := range costs {
		if c != infinite {
			eligible++
		}
	}
	if eligible == 0 {
		return -1
	}
	skip := int(r.Seed % uint64(eligible))
	for i, c := range costs {
		if c == infinite {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return -1
}

// Defaults of the cost policy; docs/design/routing.md gives the measurement.
const (
	defaultBandRatio       = 0.05
	defaultBandSeconds     = 0.002
	defaultDistanceSeconds = 0.004
	// defaultFetchDistanceSeconds is that where the KV cache moves and not the request: bytes
	// between failure domains are dear, and a holder elsewhere is as good as one nearby.
	defaultFetchDistanceSeconds = 0.04
	defaultSlowStart            = 0.25
	defaultPerSecondWait        = 4
)

// AllFilters are the filters of every policy.
var AllFilters = []Filter{ServesFilter{}, SoftwareFilter{}, StateFilter{}, BreakerFilter{}, TriedFilter{}, SignalsFilter{}, WeightsFilter{}}

// Defaults of the policy for opaque requests.
const (
	// defaultCrowdSeconds is the time for which one request keeps a place, about:
	// plain services work 15 to 60 ms, and several VMs send to each replica.
	defaultCrowdSeconds = 0.12
	// defaultFailureSeconds is what a failed attempt costs: the objective of most
	// routes.
	defaultFailureSeconds = 1
	// defaultOldWeightsSeconds makes a busy target with new weights better than an
	// idle one with old weights.
	defaultOldWeightsSeconds = 0.3
	// defaultCrowd is how many calls may meet at a target before the VMs hear of each other:
	// engines take so many in one batch.
	defaultCrowd = 10
	// defaultDrawn is how many targets are looked at whatever crosses: of two alone a VM may
	// meet two that are slow.
	defaultDrawn = 3
	// defaultAwayPerToken is the price of a token that is computed twice: 3,800 tokens,
	// a usual level, weigh as much as an answer that comes half a second late.
	defaultAwayPerToken = 1.3e-4
)

// NewFetching returns the policy for fleets whose engines take KV cache over from
// each other: a prefix that is held anywhere costs a move and not a computation,
// so load and failures weigh more than place.
func NewFetching() *Router {
	return &Router{
		Name:    "fetch",
		Filters: AllFilters,
		Scorers: []Scorer{
			QueueScorer{},
			FetchScorer{},
			InFlightScorer{Seconds: defaultCrowdSeconds},
			FailureScorer{Seconds: defaultFailureSeconds},
			OldWeightsScorer{Seconds: defaultOldWeightsSeconds},
			DistanceScorer{Seconds: defaultFetchDistanceSeconds},
			SlowStartScorer{Seconds: defaultSlowStart},
		},
		Picker:       BandPicker{Ratio: defaultBandRatio, Seconds: defaultBandSeconds},
		Sampling:         Sampling{MinTargets: defaultDrawn, MaxHerd: defaultCrowd},
		OffRendezvousPerToken: defaultAwayPerToken,
	}
}

// NewCost returns the default policy.
func NewCost() *Router {
	return &Router{
		Name:    "cost",
		Filters: AllFilters,
		Scorers: []Scorer{
			QueueScorer{},
			PrefillScorer{},
			RecomputeScorer{PerSecondWait: defaultPerSecondWait},
			DistanceScorer{Seconds: defaultDistanceSeconds},
			SlowStartScorer{Seconds: defaultSlowStart},
		},
		Picker: BandPicker{Ratio: defaultBandRatio, Seconds: defaultBandSeconds},
	}
}

// NewRoundRobin returns the baseline policy. Seeds must count up.
func NewRoundRobin() *Router {
	return &Router{Name: "round-robin", Filters: AllFilters, Picker: RoundRobinPicker{}}
}
