package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestUnknownAgeCountsFromStart lists a version of unknown age late: old weights may be used no longer after a VM's start for that.
func TestUnknownAgeCountsFromStart(t *testing.T) {
	for _, listed := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := startedVM(12 * time.Second)
			time.Sleep(listed)
			w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
			if until, limit := listed+leftTo(w, "1"), 4*time.Second; until >= limit {
				t.Errorf("listed %v after the start, old weights are used until %v after it, want less than %v", listed, until, limit)
			}
		})
	}
}

// TestUnknownAgeIsOverBeforeVMCounts lists a version of unknown age at once: its use is over before a started VM's promises count.
func TestUnknownAgeIsOverBeforeVMCounts(t *testing.T) {
	for _, c := range []struct{ within, counts time.Duration }{
		{10 * time.Second, 3 * time.Second},
		{12 * time.Second, 4 * time.Second},
		{15 * time.Second, 4 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := startedVM(c.within)
			w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
			if left := leftTo(w, "1"); left >= c.counts {
				t.Errorf("bound of %v: old weights are used until %v after the start, want less than %v", c.within, left, c.counts)
			}
		})
	}
}

// transit is what the daemon keeps of the bound for the way to a replica.
const transit = time.Second

// startedVM returns the weights of a VM that starts now, with version 2 declared at an unknown time. bound is that of the promise.
func startedVM(bound time.Duration) *Weights {
	w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: 2}, nil }}
	w.SetWithin(bound - transit)
	return w
}

func leftTo(w *Weights, has ids.WeightsVersion) time.Duration {
	left, _ := w.Left("m", has, time.Now())
	return left
}
