package routing

import (
	"cmp"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
)

// Candidate is one eligible target in a recorded decision.
type Candidate struct {
	Target ids.Target        `json:"target"`
	Domain ids.FailureDomain `json:"failure_domain"`
	Cost   float32           `json:"cost_s"`
	Input  Input             `json:"input"`
}

// maxCandidates bounds a recorded decision. The cheapest are kept: the choice
// lies in a narrow band above the lowest cost.
const maxCandidates = 8

// TopCandidates returns the cheapest candidates of the last decision.
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

var reasonNames = [reasonCount]string{"eligible", "other model or service", "not serving", "breaker open", "already tried"}

// FilteredByName returns how many targets each filter turned down.
func (s *Scratch) FilteredByName() map[string]int {
	out := map[string]int{}
	for r, n := range s.Filtered {
		if n > 0 && Reason(r) != Passed {
			out[reasonNames[r]] = n
		}
	}
	return out
}

// AffinityKey returns the rendezvous key of a request: the first level that no
// eligible target is believed to hold, since that is what the choice will make
// some target compute; the deepest level if all are held; the seed if there is
// none. best is the deepest expected prefix of any eligible target.
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
