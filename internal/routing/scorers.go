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

var (
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
