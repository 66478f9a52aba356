package verdict

import "time"

// Workload: callers at 1.5 times the capacity for 5 s, who come back once when told. Those who come
// back while the overload lasts are refused again, and those who come back at once add to it. So
// callers are told to come back after the backlog, spread over the time in which spare capacity
// serves all of them, but within a third of the time that they have left, as far as they wait.

const (
	// minReturn is the shortest time: reports that a VM decides by are that old.
	minReturn = 250 * time.Millisecond
	// leftFraction is the fraction of the time left that callers wait.
	leftFraction = 1.0 / 3
	// capSpread is the part of the longest time over which callers are spread who are told the
	// longest one. A larger part would bring back callers while the overload lasts.
	capSpread = 0.05
)

// Return is the input for the time after which a refused caller may come back.
type Return struct {
	Excess  time.Duration // predicted time beyond the bound
	Refused float64       // work that was refused lately, in seconds of work
	Spare   float64       // capacity that is left over by the present demand, in work per second; may be negative
	Left    time.Duration // until the caller's deadline
	Jitter  float64       // random number in [0, 1)
}

// RetryAfter returns the time after which a refused caller may come back.
func RetryAfter(r Return) time.Duration {
	longest := time.Duration(max(float64(r.Left), 0) * leftFraction)
	after := max(r.Excess, 0)
	if r.Spare > 0 {
		after += max(seconds(r.Jitter*min(r.Refused/r.Spare, longest.Seconds())), time.Duration(r.Jitter*float64(minReturn)))
	} else {
		after = longest // no capacity is left over as long as the demand lasts
	}
	after = min(after, longest-time.Duration(r.Jitter*capSpread*float64(longest)))
	return min(max(after, minReturn), longest)
}
