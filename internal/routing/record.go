package routing

import (
	"cmp"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Candidate is an eligible target of a recorded decision.
type Candidate struct {
	Target ids.Target        `json:"target"`
	Domain ids.FailureDomain `json:"failure_domain"`
	Cost   float32           `json:"cost_s"`
	Input  Input             `json:"input"`
}

// maxCandidates bounds the candidates of a recorded decision. The cheapest are kept, since
// the picked target lies in a narrow band above the lowest cost.
const maxCandidates = 8

// TopCandidates returns the cheapest candidates of the last decision made with s, cheapest
// first.
func TopCandidates(v *View, in []Input, s *Scratch) []Candidate {
	var out []Candidate
	for i, c := range s.costs {
		if c != infinite {
			out = append(out, Candidate{Target: v.Targets[i].ID, Domain: v.Targets[i].FailureDomain, Cost: c, Input: in[i]})
		}
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return out[:min(len(out), maxCandidates)]
}

var reasonNames = [reasonCount]string{"eligible", "other model or service", "not serving", "breaker open", "already tried", "other weights than wanted", "at its rate limit", "resting", "brittle and without room", "other software", "silent"}

// FilteredByName returns how many targets were rejected for each reason.
func (s *Scratch) FilteredByName() map[string]int {
	out := map[string]int{}
	for r, n := range s.Filtered {
		if n > 0 && Reason(r) != Passed {
			out[reasonNames[r]] = n
		}
	}
	return out
}

// AffinityKey returns the key by which BandPicker compares targets: the first level that no
// eligible target is estimated to have cached, since the picked target will compute it; the
// deepest level if all are cached; the seed if the request has no levels. best is the longest
// estimated cached prefix of any eligible target, in tokens.
func AffinityKey(r *Request, best int32) uint64 {
	for _, l := range r.Levels {
		if l.Tokens > best {
			return uint64(l.ID)
		}
	}
	if n := len(r.Levels); n > 0 {
		return uint64(r.Levels[n-1].ID)
	}
	return r.Seed
}

// Record is a decision with its inputs, sufficient to explain it and, for the cost policy, to
// replay it. It holds only the cheapest candidates.
type Record struct {
	Policy     string            `json:"policy"`
	Seed       uint64            `json:"seed,string"`
	Tokens     int32             `json:"tokens"`
	Weight     float32           `json:"recompute_weight"`
	Levels     []prefix.Level    `json:"levels"`
	Domain     ids.FailureDomain `json:"failure_domain"`
	Eligible   Eligible          `json:"eligible"`
	Filtered   map[string]int    `json:"filtered,omitempty"`
	Candidates []Candidate       `json:"candidates"`
	Chosen     ids.Target        `json:"chosen,omitempty"`
	Predicted  float32           `json:"predicted_ttft_s"`
	// OffPoolSeconds is Request.OffPoolSeconds.
	OffPoolSeconds float32 `json:"off_pool_s,omitempty"`
}

// NewRecord returns a record of d, which must be the last decision made with s.
func NewRecord(policy string, r *Request, v *View, in []Input, s *Scratch, d Decision) Record {
	rec := Record{
		Policy: policy, Seed: r.Seed, Tokens: r.Tokens, Weight: r.RecomputeWeight, Levels: r.Levels, Domain: r.FailureDomain,
		Eligible: s.eligible, Filtered: s.FilteredByName(), Candidates: TopCandidates(v, in, s), Predicted: d.PredictedTTFT,
		OffPoolSeconds: r.OffPoolSeconds,
	}
	if d.Index >= 0 {
		rec.Chosen = v.Targets[d.Index].ID
	}
	return rec
}

// Replay repeats a recorded decision with the scorers and the picker of the given policy among
// the recorded candidates. It returns the picked target, or the empty string if there is none.
func Replay(p *Router, rec *Record) ids.Target {
	r := Request{FailureDomain: rec.Domain, Levels: rec.Levels, Tokens: rec.Tokens, RecomputeWeight: rec.Weight, Seed: rec.Seed, OffPoolSeconds: rec.OffPoolSeconds}
	v := View{Targets: make([]Target, len(rec.Candidates))}
	costs := make([]float32, len(rec.Candidates))
	for i, c := range rec.Candidates {
		v.Targets[i] = Target{ID: c.Target, FailureDomain: c.Domain, Hash: HashTarget(c.Target)}
		for _, sc := range p.Scorers {
			costs[i] += sc.Cost(&r, &v.Targets[i], &c.Input, &rec.Eligible)
		}
	}
	if i := p.Picker.Pick(&r, &v, &rec.Eligible, costs); i >= 0 {
		return v.Targets[i].ID
	}
	return ""
}
