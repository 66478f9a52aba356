package forward

import (
	"encoding/json"
	"sync/atomic"
	"time"
)

// Histogram counts latencies in steps of a factor of two. Safe for concurrent use.
type Histogram struct {
	counts [histogramBuckets]atomic.Int64
}

// histogramBuckets covers 1 ms to 33 s; the last step takes all above.
const histogramBuckets = 16

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) {
	step, limit := 0, time.Millisecond
	for step < histogramBuckets-1 && d > limit {
		step++
		limit *= 2
	}
	h.counts[step].Add(1)
}

// bucket is one bucket of a histogram as operators see it.
type bucket struct {
	UpToMs int64 `json:"up_to_ms"` // zero: all above
	Count  int64 `json:"count"`
}

// MarshalJSON implements json.Marshaler.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	out := make([]bucket, histogramBuckets)
	for i := range out {
		out[i].Count = h.counts[i].Load()
		if i < histogramBuckets-1 {
			out[i].UpToMs = 1 << i
		}
	}
	return json.Marshal(out)
}
