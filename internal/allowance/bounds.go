package allowance

import "time"

// Bounds are how operators judge what workspaces use: in any window no more than a rate over
// its length and a burst, with some tolerance.
type Bounds struct {
	Window time.Duration // zero: not known
	Excess float64       // tolerated, as a part of what is allowed in a window
	Slack  float64       // tolerated beyond that, in units
}

const (
	// aimed is the part of the tolerance that is used. The rest is for calls that cross: a
	// workspace of 4.2 times its limit, cut off in parts as it turns hot, took up to 0.2 of
	// the tolerance with none of it used on purpose (TestWays).
	aimed = 0.4
	// burstKept is the part of a burst that may be used at once; the rest is given out over
	// the window. A workspace whose burst was 3.6 s of its rate, and that asked for 1.7 times
	// its rate, had 0.39 of its calls refused by a bucket of its rate, though in no window it
	// came near what it was allowed.
	burstKept = 0.5
)

// Limit is the bucket for a workspace that may use a rate, in units/s, and a burst: in no
// window it gives out more than is allowed and the part of the tolerance that is aimed at.
func (b Bounds) Limit(rate, burst float64) Limit {
	if b.Window <= 0 || rate <= 0 && burst <= 0 {
		return Limit{rate, burst}
	}
	inWindow := rate*b.Window.Seconds() + burst
	aim := inWindow + aimed*(inWindow*b.Excess+b.Slack)
	kept := burstKept * burst
	return Limit{Rate: (aim - kept) / b.Window.Seconds(), Burst: kept}
}
