package routing

// QueueScorer returns the expected time until the target starts the request.
type QueueScorer struct{}

// PrefillScorer returns the expected time to compute the tokens that are not cached.
type PrefillScorer struct{}

// RecomputeScorer returns the engine time spent on tokens that another eligible target has
// cached, multiplied by the request's RecomputeWeight. It prevents a burst of requests from filling
// every engine's cache with copies of one prefix.
//
// The weight grows by PerSecondWait for each second of mean wait over all eligible targets:
// if requests queue at every target, a second of engine time delays all requests behind it,
// so the cost of avoidable work rises with the load.
type RecomputeScorer struct{ PerSecondWait float32 }

// DistanceScorer returns a fixed cost for targets in another failure domain.
type DistanceScorer struct{ Seconds float32 }

// SlowStartScorer returns a cost that falls from Seconds to zero after a target has
// returned: full traffic at once would queue because of its cold cache.
type SlowStartScorer struct{ Seconds float32 }

// InFlightScorer returns a cost for the requests in flight at the target: each slows down
// the next one by Seconds divided by the target's slots.
type InFlightScorer struct{ Seconds float32 }

// FailureScorer returns the expected cost of a failed attempt, given that a failure costs
// the caller Seconds.
type FailureScorer struct{ Seconds float32 }

// SilenceScorer returns the time for which the target has been silent, without the first
// GraceSeconds, for requests without a prompt: services usually answer within that time, and the
// longer one has been silent, the longer it is likely to stay so. Engines may be silent because of
// their queues, which QueueScorer predicts.
type SilenceScorer struct{ GraceSeconds float32 }

// OldWeightsScorer returns a cost of Seconds for targets that run other weights than the
// wanted ones: their responses are worth less, as if they came that much later.
type OldWeightsScorer struct{ Seconds float32 }

// FetchScorer is PrefillScorer for targets that fetch KV cache from each other: it adds
// the time to transfer what another eligible target has cached and to compute the rest.
type FetchScorer struct{}

var (
	_ Scorer = InFlightScorer{}
	_ Scorer = SilenceScorer{}
	_ Scorer = FailureScorer{}
	_ Scorer = OldWeightsScorer{}
	_ Scorer = FetchScorer{}
	_ Scorer = QueueScorer{}
	_ Scorer = PrefillScorer{}
	_ Scorer = RecomputeScorer{}
	_ Scorer = DistanceScorer{}
	_ Scorer = SlowStartScorer{}
)

// minPrefillRate is the lower bound for prefill rates, in tokens/s. It prevents a division
// by zero for a target of unknown rate.
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

// assumedSlots is the assumed number of a target's slots if it is unknown.
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
func (s SilenceScorer) Cost(r *Request, _ *Target, in *Input, _ *Eligible) float32 {
	if r.Tokens > 0 {
		return 0
	}
	return max(in.Silence-s.GraceSeconds, 0)
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
	fetched := float32(max(e.Best-in.Cached, 0))
	computed := float32(max(r.Tokens-max(e.Best, in.Cached), 0))
	return fetched/r.FetchRate + computed/rate(in)
}
