package peers

import (
	"slices"

	"github.com/threadwall/threadwall/internal/peerpb"
)

// maxMerged bounds each kind of state in a merged update; the latest is kept. Reports and demands
// take some 20 bytes each, and dispatches some 30.
const maxMerged = 128

// mergeUpdates returns one update with the state of several, which are ordered from the oldest to the
// newest. It does not change them, since the senders to other peers share them.
func mergeUpdates(all []*peerpb.News) *peerpb.News {
	out := &peerpb.News{}
	for _, m := range all {
		out.Hlc = max(out.Hlc, m.Hlc)
		if m.Beat != nil {
			out.Beat = m.Beat
		}
		out.Reports = append(out.Reports, m.Reports...)
		out.Dispatches = append(out.Dispatches, m.Dispatches...)
		out.Demands = append(out.Demands, m.Demands...)
		out.Suspects = append(out.Suspects, m.Suspects...)
	}
	out.Reports = lastOfEach(out.Reports, (*peerpb.TargetReport).GetTarget)
	out.Demands = lastOfEach(out.Demands, (*peerpb.Demand).GetWorkspace)
	out.Suspects = lastOfEach(out.Suspects, func(s *peerpb.Suspect) string { return string(s.Fingerprint) })
	out.Dispatches = out.Dispatches[max(len(out.Dispatches)-maxMerged, 0):]
	return out
}

// lastOfEach returns the last element with each key, at most maxMerged of them, in their order.
func lastOfEach[T any, K comparable](all []T, key func(T) K) []T {
	var out []T
	seen := map[K]bool{}
	for _, x := range slices.Backward(all) {
		if k := key(x); !seen[k] && len(out) < maxMerged {
			seen[k] = true
			out = append(out, x)
		}
	}
	slices.Reverse(out)
	return out
}
