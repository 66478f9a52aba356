package loadview

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// pace is how many times longer than predicted a target needs until the first token.
// Predictions count prefill work at an assumed speed; a target that is slower, or
// that has more running than this VM knows of, shows here. In a large fleet a VM sends to
// each target too seldom to know its pace; that of all together shows when everything is
// overloaded.
type pace struct {
	value float64 // zero: nothing was measured yet
	at    time.Time
}

const (
	// paceGain is the weight of one measurement.
	paceGain = 0.2
	// paceHalfLife is how fast a pace fades to 1 when nothing is measured: a load that
	// made a target slow passes in seconds.
	paceHalfLife = 3 * time.Second
	// MinTTFT is what a first token takes beside all prefill: a step of the engine
	// and the way there and back.
	MinTTFT = 60 * time.Millisecond
	// maxPace bounds what one measurement says, and with it the pace.
	maxPace = 8
)

// ObserveTTFT takes in how long a target's first token took, and what was predicted.
func (t *Tracker) ObserveTTFT(target ids.Target, predicted, actual time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := min(max(float64(actual)/float64(max(predicted, 0)+MinTTFT), 1), maxPace)
	t.of(target).pace.add(sample, now)
	t.overall.add(sample, now)
}

func (p *pace) add(sample float64, now time.Time) {
	old := p.now(now)
	p.value, p.at = old+paceGain*(sample-old), now
}

// now returns the faded pace.
func (p *pace) now(now time.Time) float64 {
	if p.value <= 1 {
		return 1
	}
	return 1 + (p.value-1)*math.Exp2(-float64(now.Sub(p.at))/float64(paceHalfLife))
}
