package routing

// Pool is one of the two parts into which the engines of a service are divided, so that long
// prompts do not delay the events of long streams (package pools).
type Pool uint8

// The pools. A request or a target without a pool is not restricted.
const (
	NoPool Pool = iota
	DecodePool
	PrefillPool
)

// String returns the pool's name in logs.
func (p Pool) String() string { return [...]string{"none", "decode", "prefill"}[p] }

// Excludes reports whether a target of the pool t is off the request's pool p.
func (p Pool) Excludes(t Pool) bool { return p != NoPool && t != NoPool && p != t }

// OffPoolScorer returns Request.OffPoolSeconds for targets of the other pool than the request's,
// for requests with a prompt. The cost is finite, so that an idle target of the other pool is used
// if all targets of the own one are busier than that. Targets with other weights than the wanted ones
// cost as much as if they were in no pool: otherwise requests would prefer old weights in their own
// pool to new ones in the other.
type OffPoolScorer struct{}

var _ Scorer = OffPoolScorer{}

// Cost implements Scorer.
func (OffPoolScorer) Cost(r *Request, t *Target, in *Input, _ *Eligible) float32 {
	oldWeights := r.Weights != "" && t.Weights != r.Weights
	if r.Pool == NoPool || r.Tokens <= 0 || !in.OffPool && !oldWeights {
		return 0
	}
	return r.OffPoolSeconds
}
