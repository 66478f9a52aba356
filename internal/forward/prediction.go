package forward

import (
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/loadview"
)

// A decision predicts the time until the first event of its target. The ratio of measured to
// predicted time shows how reliable predictions are, for each route and by the age of the
// target's load report.

const (
	// ratioBuckets is the number of buckets of a RatioHistogram; the last one has no limit.
	ratioBuckets = 16
	// ratioFactor is the factor between the limits of adjacent buckets.
	ratioFactor = math.Sqrt2
	// firstRatioLimit is the limit of the first bucket, as measured/predicted. With
	// ratioFactor and ratioBuckets the last bucket starts at 32.
	firstRatioLimit = 0.25
	// maxErrorRoutes bounds the number of routes with a histogram of their own.
	maxErrorRoutes = 32
	// otherRoutes is the name under which all further routes are counted.
	otherRoutes = "(other)"
	// ageBuckets is the number of buckets by the age of the load report; the last one has no limit.
	ageBuckets = 6
	// firstAgeLimit is the limit of the first age bucket; each further limit is twice the
	// previous one. Engines and peers report loads a few times a second.
	firstAgeLimit = 100 * time.Millisecond
)

// RatioHistogram counts ratios of measured to predicted times. Safe for concurrent use.
type RatioHistogram struct {
	counts [ratioBuckets]atomic.Int64
}

// ratioBucket is one bucket of a RatioHistogram as operators see it.
type ratioBucket struct {
	UpTo  float64 `json:"up_to"` // zero: no limit
	Count int64   `json:"count"`
}

// Observe counts one ratio.
func (h *RatioHistogram) Observe(ratio float64) { h.counts[ratioBucketOf(ratio)].Add(1) }

// ratioBucketOf returns the index of the bucket for a ratio.
func ratioBucketOf(ratio float64) int {
	index, limit := 0, firstRatioLimit
	for index < ratioBuckets-1 && ratio > limit {
		index++
		limit *= ratioFactor
	}
	return index
}

// MarshalJSON implements json.Marshaler.
func (h *RatioHistogram) MarshalJSON() ([]byte, error) {
	out := make([]ratioBucket, ratioBuckets)
	limit := firstRatioLimit
	for i := range out {
		out[i].Count = h.counts[i].Load()
		if i < ratioBuckets-1 {
			out[i].UpTo = math.Round(limit*1000) / 1000
		}
		limit *= ratioFactor
	}
	return json.Marshal(out)
}

// PredictionErrors counts the ratios of measured to predicted times to the first event, by route
// and by the age of the load report. Safe for concurrent use.
type PredictionErrors struct {
	mu     sync.Mutex
	routes map[string]*RatioHistogram
	ages   [ageBuckets]RatioHistogram
}

// Observe records one send: its route, the age of the target's load report at the decision, and
// the predicted and measured times until the first event.
func (p *PredictionErrors) Observe(route string, age, predicted, measured time.Duration) {
	ratio := errorRatio(predicted, measured)
	p.route(route).Observe(ratio)
	p.ages[ageBucketOf(age)].Observe(ratio)
}

// errorRatio returns measured/predicted. It adds loadview.MinTTFT, the part of the time
// to the first event that neither queue nor prompt causes, to the prediction: decisions omit it
// because it is the same for all targets.
func errorRatio(predicted, measured time.Duration) float64 {
	return float64(measured) / float64(max(predicted, 0)+loadview.MinTTFT)
}

func ageBucketOf(age time.Duration) int {
	index, limit := 0, firstAgeLimit
	for index < ageBuckets-1 && age > limit {
		index++
		limit *= 2
	}
	return index
}

// route returns the histogram of a route, or the shared one once maxErrorRoutes is reached.
func (p *PredictionErrors) route(name string) *RatioHistogram {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes == nil {
		p.routes = map[string]*RatioHistogram{}
	}
	if _, known := p.routes[name]; !known && len(p.routes) >= maxErrorRoutes {
		name = otherRoutes
	}
	h := p.routes[name]
	if h == nil {
		h = &RatioHistogram{}
		p.routes[name] = h
	}
	return h
}

// ageErrors are the errors of one age bucket as operators see them.
type ageErrors struct {
	UpToMs int64           `json:"up_to_ms"` // zero: no limit
	Ratios *RatioHistogram `json:"ratios"`
}

// MarshalJSON implements json.Marshaler.
func (p *PredictionErrors) MarshalJSON() ([]byte, error) {
	ages := make([]ageErrors, ageBuckets)
	limit := firstAgeLimit
	for i := range ages {
		ages[i].Ratios = &p.ages[i]
		if i < ageBuckets-1 {
			ages[i].UpToMs = limit.Milliseconds()
		}
		limit *= 2
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return json.Marshal(struct {
		Routes map[string]*RatioHistogram `json:"routes"`
		Ages   []ageErrors                `json:"load_ages"`
	}{p.routes, ages})
}
