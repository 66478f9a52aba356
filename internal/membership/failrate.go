package membership

import (
	"math"
	"time"
)

// failRate is the recent fraction of attempts that failed. It decays over time, so that
// a target which gets no requests because of it is tried again.
type failRate struct {
	value float64   // without the decay since at
	at    time.Time // of the last failure
}

const (
	// failGain is the weight of one attempt: three failures of ten show as 0.4.
	failGain = 0.25
	// failedCallGain is the weight of a failure that was returned to the caller. It is smaller,
	// since the call may be at fault as well as the target.
	failedCallGain = 0.1
	// failHalfLife is the half-life of the rate while nothing fails.
	failHalfLife = 3 * time.Second
)

// add records one attempt: 1 failed, 0 succeeded.
func (f *failRate) add(failed float64) { f.value += failGain * (failed - f.value) }

// addCall records a failure that was returned to the caller.
func (f *failRate) addCall(now time.Time) {
	f.value, f.at = f.value+failedCallGain*(1-f.value), now
}

// now returns the decayed rate.
func (f *failRate) now(now time.Time) float32 {
	if f.at.IsZero() {
		return 0
	}
	return float32(f.value * math.Exp2(-float64(now.Sub(f.at))/float64(failHalfLife)))
}
