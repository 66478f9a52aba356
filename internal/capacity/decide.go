// Package capacity measures how the memory, CPU time and traffic of a VM grow with the
// size of the deployment, and draws plots of measurements. It calls production code in plain
// loops. docs/CAPACITY.md extrapolates the figures to the size that the router is designed for.
package capacity

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
)

// DecideFleet returns a fleet with the given numbers of replicas and cache view entries, for
// measurements of decisions.
func DecideFleet(replicas, entries int) *fleet.Fleet {
	var records []platform.Record
	for i := range replicas {
		records = append(records, platform.Record{
			ID: fmt.Sprint("engine-", i), Role: platform.RoleEngine, State: platform.StateLive, Incarnation: 1,
			Model: "m", Weights: "w", FailureDomain: "fd",
		})
	}
	members := membership.New("vm", membership.DefaultTuning)
	members.ApplyPlatform(records, time.Now())
	f := fleet.New(members, cacheview.New(entries, nil), loadview.New(), routing.NewCost(), nil)
	generation := cacheview.GenerationOf(1, "w")
	for i := range entries {
		f.Cache.Add(ids.Target(fmt.Sprint("engine-", i%replicas)), generation, []prefix.Level{{ID: prefix.ID(i + 1), Tokens: 64}})
	}
	return f
}

// DecideRequest returns the i-th request. Its prompt has three levels, and all requests share
// the first.
func DecideRequest(i int) routing.Request {
	return routing.Request{
		Model: "m", FailureDomain: "fd", Tokens: 9000, RecomputeWeight: 0.2, Seed: uint64(i),
		Levels: []prefix.Level{{ID: 1, Tokens: 5000}, {ID: prefix.ID(2 + i%100), Tokens: 6000}, {ID: prefix.ID(200 + i%50_000), Tokens: 9000}},
	}
}

// DecideRow is the cost of a decision at given numbers of replicas and cache view entries.
type DecideRow struct {
	Replicas int     `json:"replicas"`
	Entries  int     `json:"beliefs"`
	P50      float64 `json:"p50_us"`    // median time of a decision in microseconds
	P99      float64 `json:"p99_us"`    // its 99th percentile
	UpdateNS float64 `json:"update_ns"` // mean time to add one cache view entry, in nanoseconds
}

// decisions is the number of decisions, and of cache view updates, in a measurement.
const decisions = 100_000

// Decide measures decisions and cache view updates with the given numbers of replicas and
// cache view entries.
func Decide(replicas, entries int) DecideRow {
	f := DecideFleet(replicas, entries)
	h := hdrhistogram.New(1, 1_000_000_000, 3)
	scratch := f.Acquire()
	defer f.Release(scratch)
	var requests []routing.Request
	for i := range 1000 {
		requests = append(requests, DecideRequest(i*37))
	}
	for i := range decisions {
		r := requests[i%len(requests)]
		start := time.Now()
		f.Decide(&r, nil, scratch)
		_ = h.RecordValue(time.Since(start).Nanoseconds())
	}
	generation := cacheview.GenerationOf(1, "w")
	start := time.Now()
	for i := range decisions {
		f.Cache.Add("engine-1", generation, []prefix.Level{{ID: prefix.ID(i * 7), Tokens: 64}})
	}
	update := time.Since(start)
	return DecideRow{
		Replicas: replicas, Entries: entries, P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000,
		UpdateNS: float64(update.Nanoseconds()) / decisions,
	}
}
