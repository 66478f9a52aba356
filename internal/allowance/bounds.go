package allowance

import "time"

// Bounds are the operators' criterion for what a workspace uses: in any window no more than the
// rate times the window's length plus the burst, with some tolerance.
type Bounds struct {
	Window time.Duration // zero: the operators' criterion is unknown
	Excess float64       // tolerated, as a fraction of what is allowed in a window
	Slack  float64       // tolerated in addition, in units
}

const (
	// toleranceUsed is the fraction of the tolerance that Limit adds to what is allowed. The rest
	// is for calls that VMs admit before reports arrive: a workspace at 4.2 times its limit, in a
	// fleet that is partitioned as its demand rises, took up to 0.2 of the tolerance with
	// toleranceUsed at zero. TestScenarios simulates such partitions.
	toleranceUsed = 0.4
	// immediateBurst is the fraction of a burst that may be used at once; the rest is spread over
	// the window. A workspace with a burst of 3.6 s of its rate and a demand of 1.7 times its
	// rate had 0.39 of its calls refused by a bucket that filled at its rate, although its use
	// did not come near what is allowed in any window.
	immediateBurst = 0.5
)

// Limit returns the bucket for a workspace with a rate, in units/s, and a burst, in units. In any
// window the bucket admits at most what is allowed plus toleranceUsed of the tolerance. If Window
// is zero, the bucket has the rate and the burst as given.
func (b Bounds) Limit(rate, burst float64) Limit {
	if b.Window <= 0 || rate <= 0 && burst <= 0 {
		return Limit{rate, burst}
	}
	allowed := rate*b.Window.Seconds() + burst
	total := allowed + toleranceUsed*(allowed*b.Excess+b.Slack)
	immediate := immediateBurst * burst
	return Limit{Rate: (total - immediate) / b.Window.Seconds(), Burst: immediate}
}
