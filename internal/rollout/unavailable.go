package rollout

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/routing"
)

// Limits of a rollout: at most one in this many engines may be out of service.
const (
	// oneInIdle is the limit without load. An engine first finishes its requests and then
	// loads weights. More than about a fifth of a model's engines loading at a time slow
	// each other down, so about as many may finish requests while others load.
	oneInIdle = 2
	// oneInIdleLarge is the limit for a large fleet without load. With oneInIdle so many of
	// its engines would load at a time that they slow each other down, and too few would
	// serve for too long.
	oneInIdleLarge = 3
	// oneInBusy is the limit when requests wait for at least waitBusy. Once ThrottleFor has
	// passed, it replaces oneInFull.
	oneInBusy = 4
	// oneInFull is the limit under full load: each engine out of service delays the
	// requests at all others, and a late response costs more than one on old weights.
	oneInFull = 9
)

// largeFleet is the number of engines above which oneInIdleLarge applies.
const largeFleet = 16

// Mean waits of requests from which oneInBusy and oneInFull apply: fractions of the usual
// latency objective of 0.5 s.
const (
	waitBusy = 100 * time.Millisecond
	waitFull = 350 * time.Millisecond
)

// latestStart is how long before its weights expire the update of an engine must start at
// the latest: 0.3 s to drain it, 0.6 s for its order to arrive, 0.3 s for the interval of
// reconciliation. If that order gets lost, the next one follows 1.4 s later; requests that
// wait at the engine in the meantime are withdrawn. A value of 2.5 s, which leaves time for
// a second order, sent orders to whole fleets at once although half of the engines could
// have served until the other half had loaded.
const latestStart = 1200 * time.Millisecond

// MaxUnavailable returns how many engines of a model may be out of service at a time. The
// limit depends on how long requests wait at the engines in service; AtLeast is as many as
// it takes to meet the deadline, regardless of those waits and of engines that are down.
func (r *Rollout) MaxUnavailable(m ids.Model, engines []orders.EngineStatus) orders.MaxUnavailable {
	now := clock.Now()
	var sum time.Duration
	n := 0
	for _, e := range engines {
		if e.Model != m || e.Busy || e.State < routing.Joining {
			continue
		}
		_, wait := r.Targets.WorkOf(e.Target)
		sum += wait
		n++
	}
	mean := sum / time.Duration(max(n, 1))
	limit := orders.MaxUnavailable{OneIn: r.oneInFor(mean, n, r.Weights.Since(m, now)), AtLeast: r.requiredConcurrent(m, engines, mean, now)}
	r.logProgress(m, limit, mean)
	return limit
}

// oneInFor returns OneIn of the limit for the mean wait of requests, the number of engines
// in service and the time since the newest version was set.
func (r *Rollout) oneInFor(wait time.Duration, engines int, since time.Duration) int {
	switch {
	case wait < waitBusy && engines > largeFleet:
		return oneInIdleLarge
	case wait < waitBusy:
		return oneInIdle
	case wait < waitFull || since > r.ThrottleFor:
		return oneInBusy
	default:
		return oneInFull
	}
}

// requiredConcurrent returns how many live engines must carry out orders at a time so that
// each accepts its order before its weights expire. Engines whose weights expire first come
// first. wait is how long requests wait at the engines.
func (r *Rollout) requiredConcurrent(m ids.Model, engines []orders.EngineStatus, wait time.Duration, now time.Time) int {
	var timesLeft []time.Duration // time left to the engines that wait for an order
	busy := 0
	for _, e := range engines {
		left, _ := r.Weights.Left(m, e.Weights, now)
		switch {
		case e.Model != m:
		case e.Busy:
			busy++ // also if it has its weights already: it holds its slot until its update has ended
		case !r.isBehind(m, e.Weights, now) || e.State < routing.Joining:
		default:
			timesLeft = append(timesLeft, left)
		}
	}
	each := r.orderTime.mean(now, wait)
	return slotsNeeded(timesLeft, busy, each, max(each-r.orderTime.elapsed(now), 0))
}

// slotsNeeded returns how many slots it takes to start the updates of all waiting engines
// in time. timesLeft holds how much longer each of them may use its weights, busy is the number
// of updates in progress, remaining is how much longer these take, and each is how long an update
// occupies a slot. An engine accepts its order soon after its update starts, and only that must
// happen in time. If the window is too short for one update after the other, half of the engines
// start now and the others at the end of the window: when nine engines got their orders together,
// all were out of service for 2.7 s, since concurrent loads slow each other down.
func slotsNeeded(timesLeft []time.Duration, busy int, each, remaining time.Duration) int {
	slices.Sort(timesLeft)
	slots := 0
	for i, left := range timesLeft {
		window := left - latestStart // in which the update must start
		if window < 0 {
			slots = busy + i + 1 // all of them must start now
			continue
		}
		need := i + 1 - busy*startsPerSlot(window-remaining, each)
		if need <= 0 {
			continue
		}
		if perSlot := startsPerSlot(window, each); perSlot > 1 {
			slots = max(slots, busy+(need+perSlot-1)/perSlot)
		} else {
			slots = max(slots, (busy+need+1)/2)
		}
	}
	return slots
}

// startsPerSlot returns how many updates can start in one slot within a window of time if
// each occupies the slot for the given duration.
func startsPerSlot(window, each time.Duration) int {
	if window < 0 {
		return 0
	}
	return 1 + int(window/each)
}
