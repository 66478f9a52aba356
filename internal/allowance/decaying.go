package allowance

import (
	"math"
	"time"
)

// memory is within how long a decaying sum forgets all but a 1/e of what went in: about one
// round of news of 100 VMs. Longer, and demand that comes up is taken for less than it is.
const memory = 500 * time.Millisecond

// decaying is a sum that forgets. Divided by memory it is the present rate; and what went in
// between two looks is what the sum has grown by, plus the rate over the time between them.
// Sums of several VMs add up to that of all.
type decaying struct {
	sum float64
	at  time.Time
}

// now returns the sum at a moment.
func (d *decaying) now(t time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decay(t.Sub(d.at))
}

// add puts units in at a moment, or takes them out.
func (d *decaying) add(units float64, t time.Time) {
	d.sum, d.at = max(d.now(t)+units, 0), t
}

// decay is what is left of a sum after a time.
func decay(d time.Duration) float64 { return math.Exp(-max(d, 0).Seconds() / memory.Seconds()) }

// flow is the rate that a sum stands for, in units/s.
func flow(sum float64) float64 { return sum / memory.Seconds() }

// Rate is the rate that a sum of Use stands for, in units/s.
func Rate(sum float32) float64 { return flow(float64(sum)) }

// Sum is the sum of Use that a rate in units/s keeps up.
func Sum(rate float64) float32 { return float32(rate * memory.Seconds()) }
