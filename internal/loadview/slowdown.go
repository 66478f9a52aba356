package loadview

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// slowdown is the smoothed ratio of the measured to the predicted time to first token.
// Predictions assume a prefill rate, so the ratio exceeds 1 if a target is slower or has more
// requests running than this VM knows of. In a large fleet a VM sends too few requests to
// each target to measure its slowdown; the slowdown over all targets still shows a general
// overload.
type slowdown struct {
	value float64 // zero before the first measurement
	at    time.Time
}

const (
	// slowdownGain is the weight of one measurement.
	slowdownGain = 0.2
	// slowdownHalfLife is the half-life with which a slowdown decays to 1 without new
	// measurements: a load that slows a target down passes within seconds.
	slowdownHalfLife = 3 * time.Second
	// MinTTFT is the time to first token without any prefill: one step of the engine and
	// the network round trip.
	MinTTFT = 60 * time.Millisecond
	// maxSlowdown bounds each measurement, and thereby the slowdown.
	maxSlowdown = 8
)

// ObserveTTFT records the predicted and the measured time to first token of a request. It adds
// MinTTFT to the prediction.
func (t *Tracker) ObserveTTFT(target ids.Target, predicted, measured time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := min(max(float64(measured)/float64(max(predicted, 0)+MinTTFT), 1), maxSlowdown)
	t.loadOf(target).slowdown.add(sample, now)
	t.overall.add(sample, now)
}

func (s *slowdown) add(sample float64, now time.Time) {
	old := s.decayed(now)
	s.value, s.at = old+slowdownGain*(sample-old), now
}

// decayed returns the slowdown at the time now; at least 1.
func (s *slowdown) decayed(now time.Time) float64 {
	if s.value <= 1 {
		return 1
	}
	return 1 + (s.value-1)*math.Exp2(-float64(now.Sub(s.at))/float64(slowdownHalfLife))
}
