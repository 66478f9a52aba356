package forward

import (
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/loadview"
)

// Prediction error. A decision predicts the time until the first event of its target.
// How far the measured time lies from that tells how much the prediction can carry, for
// each route, and by the age of what was known of the target's load.

const (
	// ratioBuckets is the number of steps of a RatioHistogram; the last takes all above.
	ratioBuckets = 16
	// ratioFactor is the factor from step to step.
	ratioFactor = math.Sqrt2
	// firstRatioLimit is where the first step ends, as measured/predicted. With the factor
	// and the number of steps above the last step begins at 32.
	firstRatioLimit = 0.25
	// maxErrorRoutes bounds the routes with a histogram of their own.
	maxErrorRoutes = 32
	// otherRoutes is the name under which further routes are counted together.
	otherRoutes = "(other)"
	// ageBuckets is the number of steps by the age of the load; the last takes all above.
	ageBuckets = 6
	// firstAgeLimit is where the first step of ages ends. Engines and peers tell loads a few
	// times a second; each step is twice as long as the one before.
	firstAgeLimit = 100 * time.Millisecond
)

// RatioHistogram counts ratios of measured to predicted times. Safe for concurrent use.
type RatioHistogram struct {
	counts [ratioBuckets]atomic.Int64
}

// ratioBucket is one step of a RatioHistogram as operators see it.
type ratioBucket struct {
	UpTo  float64 `json:"up_to"` // zero: all above
	Count int64   `json:"count"`
}

// Observe counts one ratio.
func (h *RatioHistogram) Observe(ratio float64) { h.counts[ratioBucketOf(ratio)].Add(1) }

// ratioBucketOf returns the step that a ratio belongs to.
func ratioBucketOf(ratio float64) int {
	step, limit := 0, firstRatioLimit
	for step < ratioBuckets-1 && ratio > limit {
		step++
		limit *= ratioFactor
	}
	return step
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

// PredictionErrors counts by how much predicted times to the first event were wrong.
// Safe for concurrent use.
type PredictionErrors struct {
	mu     sync.Mutex
	routes map[string]*RatioHistogram
	ages   [ageBuckets]RatioHistogram
}

// Observe takes one send in: its route, the age of what was known of the target's load
// when it was decided, and the times until the first event.
func (p *PredictionErrors) Observe(route string, age, predicted, measured time.Duration) {
	ratio := errorRatio(predicted, measured)
	p.route(route).Observe(ratio)
	p.ages[ageBucketOf(age)].Observe(ratio)
}

// errorRatio is measured/predicted. To the prediction belongs what a first event takes
// beside queue and prompt, which decisions leave out since it is the same everywhere.
func errorRatio(predicted, measured time.Duration) float64 {
	return float64(measured) / float64(max(predicted, 0)+loadview.FirstTokenFloor)
}

func ageBucketOf(age time.Duration) int {
	step, limit := 0, firstAgeLimit
	for step < ageBuckets-1 && age > limit {
		step++
		limit *= 2
	}
	return step
}

// route returns the histogram of a route, or that of all further routes.
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

// ageErrors are the errors of one step of ages as operators see them.
type ageErrors struct {
	UpToMs int64           `json:"up_to_ms"` // zero: all above
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
