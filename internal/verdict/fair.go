package verdict

import "slices"

// Workload: one workspace asks for ten times what the engines can compute, others for a fraction of
// it. Max-min fairness gives each workspace what it asks for, up to a level that is the same
// for all; what some leave over goes to those that ask for more.

// Claim is the work per second that one or several equal workspaces ask for.
type Claim struct {
	Offered float64 // of all of them together
	Weight  float64 // the number of workspaces; zero counts as one
}

func (c Claim) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}

// Level returns the highest work per second that a workspace of weight 1 may have, so that the shares
// add up to the capacity. It is negative if the capacity covers all claims, so there is no bound.
// Level sorts claims.
func Level(capacity float64, claims []Claim) float64 {
	slices.SortFunc(claims, func(a, b Claim) int {
		switch x, y := a.Offered*b.weight(), b.Offered*a.weight(); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	weights := 0.0
	for _, c := range claims {
		weights += c.weight()
	}
	left := max(capacity, 0)
	for _, c := range claims {
		if c.Offered*weights >= left*c.weight() {
			return left / weights
		}
		left -= c.Offered
		weights -= c.weight()
	}
	return -1
}

// Share returns the share of a claim at a level that Level returned.
func Share(level float64, c Claim) float64 {
	if level < 0 {
		return c.Offered
	}
	return min(c.Offered, level*c.weight())
}
