package allowance

import (
	"math"
	"time"
)

// decayTime is the time in which a sum decays to 1/e: about one round of reports of 100 VMs. A
// longer one underestimates rising demand.
const decayTime = 500 * time.Millisecond

// decayingSum is a sum that decays exponentially. Divided by decayTime it is the current rate,
// and what was added between two readings is the growth of the sum plus the rate times the time
// between them. The sums of several VMs add up to the sum of all.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value returns the sum at time t.
func (d *decayingSum) value(t time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decay(t.Sub(d.at))
}

// add adds units at time t; a negative number removes them.
func (d *decayingSum) add(units float64, t time.Time) {
	d.sum, d.at = max(d.value(t)+units, 0), t
}

// decay returns the fraction of a sum that is left after d.
func decay(d time.Duration) float64 { return math.Exp(-max(d, 0).Seconds() / decayTime.Seconds()) }

// rateOf returns the rate that sustains a sum, in units/s.
func rateOf(sum float64) float64 { return sum / decayTime.Seconds() }

// Rate returns the rate that sustains a sum of Use, in units/s.
func Rate(sum float32) float64 { return rateOf(float64(sum)) }

// Sum returns the sum of Use that a rate in units/s sustains.
func Sum(rate float64) float32 { return float32(rate * decayTime.Seconds()) }
