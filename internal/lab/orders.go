package lab

import (
	"net/http"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/blockcache"
	"github.com/threadwall/threadwall/internal/orders"
)

// loadPoll is the interval at which an engine checks whether its requests have ended before
// it loads weights.
const loadPoll = 10 * time.Millisecond

// serveOrder applies an order. If the order names other weights, the engine loads them after its
// requests in flight have ended, empties its cache, and responds only then.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var m orders.Message
	if !decode(w, r, &m) {
		return
	}
	e.mu.Lock()
	if m.Fence < e.fence && !e.spec.IgnoresFences {
		e.mu.Unlock()
		http.Error(w, "fencing token is outdated", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, m.Fence)
	e.appliedFences = append(e.appliedFences, m.Fence)
	if m.Serve != "" {
		e.leaving = m.Serve == orders.ServeDrain
	}
	load := m.Weights != "" && m.Weights != e.weights && !e.loading
	e.loading = e.loading || load
	e.mu.Unlock()
	if load {
		e.loadWeights(m.Weights)
	}
	encode(w, m)
}

func (e *Engine) loadWeights(weights ids.WeightsVersion) {
	for e.inFlight() > 0 {
		time.Sleep(loadPoll)
	}
	time.Sleep(e.spec.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights, e.loading = weights, false
	e.events = nil
	e.cache = blockcache.New(e.spec.CacheBlocks, e.cacheEvent)
}

func (e *Engine) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + e.queued
}

// AppliedFences returns the fencing tokens of the applied orders, in order of arrival.
func (e *Engine) AppliedFences() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.appliedFences)
}

// Weights returns the weights version that the engine serves.
func (e *Engine) Weights() ids.WeightsVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}
