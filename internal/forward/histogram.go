package forward

import (
	"encoding/json"
	"sync/atomic"
	"time"
)

// Histogram counts latencies in steps of a factor of two. Safe for concurrent use.
type Histogram struct {
	counts [histogramSteps]atomic.Int64
}

// histogramSteps covers 1 ms to 33 s; the last step takes all above.
const histogramSteps = 16

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) {
	step, limit := 0, time.Millisecond
	for step < histogramSteps-1 && d > limit {
		step++
		limit *= 2
	}
	h.counts[step].Add(1)
}

// step is one step of a histogram as operators see it.
type step struct {
	UpToMs int64 `json:"up_to_ms"` // zero: all above
	Count  int64 `json:"count"`
}

// MarshalJSON implements json.Marshaler.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	out := make([]step, histogramSteps)
	for i := range out {
		out[i].Count = h.counts[i].Load()
		if i < histogramSteps-1 {
			out[i].UpToMs = 1 << i
		}
	}
	return json.Marshal(out)
}
