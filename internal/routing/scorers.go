package routing

// QueueScorer reads reported and own load: seconds until the target turns to
// this request.
type QueueScorer struct{}

// PrefillScorer reads cache beliefs: seconds to compute what is not cached.
type PrefillScorer struct{}

// RecomputeScorer reads the deepest belief of any eligible target: seconds of
// engine time spent on tokens that another target holds, weighed by the
// template. It is what keeps a storm from filling every engine with copies.
//
// The weight grows by PerSecondWait for each second of mean wait over all
// eligible targets: where everybody queues, a second of engine time is taken from
// everybody behind, so avoidable work has a price that rises with the load.
type RecomputeScorer struct{ PerSecondWait float32 }

// DistanceScorer reads the failure domain: going elsewhere costs a fixed time.
type DistanceScorer struct{ Seconds float32 }

// SlowStartScorer reads how long ago the target came back: full traffic at once
// would queue behind its cold cache.
type SlowStartScorer struct{ Seconds float32 }

// InFlightScorer reads this VM's requests in flight: each slows the next one down by
// a part of Seconds, more where a target has few places.
type InFlightScorer struct{ Seconds float32 }

// FailureScorer reads the rate of recent failures: a failed attempt costs the
// caller Seconds.
type FailureScorer struct{ Seconds float32 }

// OldWeightsScorer reads the target's weights: an answer made on others than the
// wanted ones is worth less, as if it came Seconds later.
type OldWeightsScorer struct{ Seconds float32 }

// FetchScorer is PrefillScorer where targets take KV cache over from each other:
// what another eligible target holds is moved, the rest is computed.
type FetchScorer struct{}

var (
	_ Scorer = InFlightScorer{}
	_ Scorer = FailureScorer{}
	_ Scorer = OldWeightsScorer{}
	_ Scorer = FetchScorer{}
	_ Scorer = QueueScorer{}
	_ Scorer = PrefillScorer{}
	_ Scorer = RecomputeScorer{}
	_ Scorer = DistanceScorer{}
	_ Scorer = SlowStartScorer{}
)

// minPrefillRate guards against a target whose rate is not known, in tokens/s.
const minPrefillRate = 1

func rate(in *Input) float32 { return max(in.PrefillRate, minPrefillRate) }

func queueWait(in *Input) float32 { return in.QueueTokens/rate(in) + in.SlotWait }

func prefillTime(r *Request, in *Input) float32 {
	return float32(max(r.Tokens-in.Cached, 0)) / rate(in)
}

// Cost implements Scorer.
func (QueueScorer) Cost(_ *Request, _ *Target, in *Input, _ *Eligible) float32 { return queueWait(in) }

// Cost implements Scorer.
func (PrefillScorer) Cost(r *Request, _ *Target, in *Input, _ *Eligible) float32 {
	return prefillTime(r, in)
}

// Cost implements Scorer.
func (s RecomputeScorer) Cost(r *Request, _ *Target, in *Input, e *Eligible) float32 {
	weight := r.RecomputeWeight + s.PerSecondWait*e.MeanWait
	return weight * float32(max(e.Best-in.Cached, 0)) / rate(in)
}

// Cost implements Scorer.
func (s DistanceScorer) Cost(r *Request, t *Target, _ *Input, _ *Eligible) float32 {
	if t.FailureDomain == r.FailureDomain {
		return 0
	}
	return s.Seconds
}

// Cost implements Scorer.
func (s SlowStartScorer) Cost(_ *Request, _ *Target, in *Input, _ *Eligible) float32 {
	return s.Seconds * (1 - in.SlowStart)
}

// assumedSlots stands for a target's places where they are not known.
const assumedSlots = 8

// Cost implements Scorer.
func (s InFlightScorer) Cost(_ *Request, _ *Target, in *Input, _ *Eligible) float32 {
	slots := in.Slots
	if slots == 0 {
		slots = assumedSlots
	}
	return s.Seconds * float32(in.InFlight) / float32(slots)
}

// Cost implements Scorer.
func (s FailureScorer) Cost(_ *Request, _ *Target, in *Input, _ *Eligible) float32 {
	return s.Seconds * in.FailRate
}

// Cost implements Scorer.
func (s OldWeightsScorer) Cost(r *Request, t *Target, _ *Input, _ *Eligible) float32 {
	if r.Weights == "" || t.Weights == r.Weights {
		return 0
	}
	return s.Seconds
}

// Cost implements Scorer.
func (FetchScorer) Cost(r *Request, _ *Target, in *Input, e *Eligible) float32 {
	if r.FetchRate <= 0 {
		return prefillTime(r, in)
	}
	moved := float32(max(e.Best-in.Cached, 0))
	computed := float32(max(r.Tokens-max(e.Best, in.Cached), 0))
	return moved/r.FetchRate + computed/rate(in)
}
