package routing

// BandPicker picks, among the targets within a band above the lowest cost, the one with
// the highest rendezvous weight for the prompt's prefix. VMs whose snapshots differ
// slightly therefore agree.
type BandPicker struct {
	Ratio   float32 // width of the band relative to the lowest cost
	Seconds float32 // added to the width
}

// RandomBandPicker picks a random target within the band of BandPicker, by the request's seed.
type RandomBandPicker struct{ Ratio, Seconds float32 }

// RoundRobinPicker distributes requests by their seed and ignores costs. It serves as a
// baseline.
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

// Defaults of the cost policy, which the fetch policy shares in part; docs/design/routing.md has
// the measurement.
const (
	defaultBandRatio       = 0.05
	defaultBandSeconds     = 0.002
	defaultDistanceSeconds = 0.004
	// defaultFetchDistanceSeconds replaces defaultDistanceSeconds in the fetch policy, under
	// which the KV cache is transferred instead of the request: transfers between failure domains
	// are expensive, and a holder in another domain is as good as one nearby.
	defaultFetchDistanceSeconds = 0.04
	defaultSlowStart            = 0.25
	defaultPerSecondWait        = 4
)

// AllFilters holds the filters that every policy applies, in order.
var AllFilters = []Filter{ServesFilter{}, SoftwareFilter{}, StateFilter{}, BreakerFilter{}, TriedFilter{}, SignalsFilter{}, WeightsFilter{}, SilenceFilter{}}

// Defaults of the fetch policy.
const (
	// defaultInFlightSeconds is about the time for which one request occupies a slot: plain
	// services take 15 to 60 ms per request, and several VMs send to each target.
	defaultInFlightSeconds = 0.12
	// defaultFailureSeconds is the cost of a failed attempt. It equals the latency objective
	// of most routes.
	defaultFailureSeconds = 1
	// defaultSilenceGrace is a time in which services that work usually answer, in seconds.
	defaultSilenceGrace = 0.1
	// defaultOldWeightsSeconds is large enough that a busy target with new weights is
	// preferred to an idle one with old weights.
	defaultOldWeightsSeconds = 0.3
	// defaultMaxHerd is how many requests in transit may choose the same target: engines run
	// that many in one batch.
	defaultMaxHerd = 10
	// defaultMinTargets is the least number of targets considered, however many requests are
	// in transit: two targets might both be slow.
	defaultMinTargets = 3
	// defaultOffRendezvousPerToken is the cost of a token that is computed twice, in seconds:
	// 3,800 tokens, the size of a typical level, cost as much as half a second of latency.
	defaultOffRendezvousPerToken = 1.3e-4
)

// NewFetching returns the policy for fleets whose engines fetch KV cache from each other.
// A prefix that any target has cached costs a transfer instead of a prefill, so load and
// failures matter more than where the prefix is cached.
func NewFetching() *Router {
	return &Router{
		Name:    "fetch",
		Filters: AllFilters,
		Scorers: []Scorer{
			QueueScorer{},
			FetchScorer{},
			InFlightScorer{Seconds: defaultInFlightSeconds},
			FailureScorer{Seconds: defaultFailureSeconds},
			SilenceScorer{GraceSeconds: defaultSilenceGrace},
			OldWeightsScorer{Seconds: defaultOldWeightsSeconds},
			DistanceScorer{Seconds: defaultFetchDistanceSeconds},
			SlowStartScorer{Seconds: defaultSlowStart},
			OffPoolScorer{},
		},
		Picker:                BandPicker{Ratio: defaultBandRatio, Seconds: defaultBandSeconds},
		Sampling:              Sampling{MinTargets: defaultMinTargets, MaxHerd: defaultMaxHerd},
		OffRendezvousPerToken: defaultOffRendezvousPerToken,
	}
}

// NewCost returns the policy for fleets whose engines can't fetch KV cache from each other.
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
			OffPoolScorer{},
		},
		Picker: BandPicker{Ratio: defaultBandRatio, Seconds: defaultBandSeconds},
	}
}

// NewRoundRobin returns the baseline policy. The requests' seeds must be consecutive.
func NewRoundRobin() *Router {
	return &Router{Name: "round-robin", Filters: AllFilters, Picker: RoundRobinPicker{}}
}
