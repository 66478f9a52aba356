package forward

import (
	"encoding/json"
	"sync/atomic"
	"time"
)

// Histogram counts latencies in buckets whose limits grow by a factor of two. Safe for
// concurrent use.
type Histogram struct {
	counts [histogramBuckets]atomic.Int64
}

// histogramBuckets is the number of buckets. Their limits range from 1 ms to 16 s; the last
// bucket has no limit.
const histogramBuckets = 16

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) {
	index, limit := 0, time.Millisecond
	for index < histogramBuckets-1 && d > limit {
		index++
		limit *= 2
	}
	h.counts[index].Add(1)
}

// bucket is one bucket of a histogram as operators see it.
type bucket struct {
	UpToMs int64 `json:"up_to_ms"` // zero: no limit
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
