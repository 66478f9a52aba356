package rollout

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/routing"
)

// Paces of a rollout, as one in how many engines may be out of service.
const (
	// paceIdle: an engine first finishes its runs and then loads; loads of more than
	// about a fifth of a model's engines at a time slow each other down, so about as
	// many finish runs while others load.
	paceIdle = 2
	// paceIdleLarge is that of a large fleet. There the engines that load at a time are
	// so many that they slow each other, and the rest is too small a part for long.
	paceIdleLarge = 3
	paceBusy      = 4
	// paceFull: each engine out of service makes all others' callers late, and an
	// answer on old weights loses less than a late one.
	paceFull = 9
)

// largeFleet is from how many engines a fleet is large.
const largeFleet = 16

// Waits that tell the paces apart: a part of the usual objective of half a second.
const (
	waitBusy = 100 * time.Millisecond
	waitFull = 350 * time.Millisecond
)

// lastBegin is how long before the end of its time an engine must be begun with at the
// latest: 0.3 s to drain it, 0.6 s for its order to arrive, 0.3 s for rounds. An order
// that gets lost then is given anew 1.4 s later; calls that wait at the engine meanwhile
// are withdrawn. With 2.5 s, in which a second order would be in time, whole fleets were
// told at once though half of them could have served until the other half had loaded.
const lastBegin = 1200 * time.Millisecond

// MaxUnavailable returns how many engines of a model may be out of service at a time: by how long
// callers wait at those that are in it, and as many as it takes to be done in time,
// whatever callers wait for and whatever is down.
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
	pace := orders.MaxUnavailable{OneIn: r.shareFor(mean, n, r.Weights.Since(m, now)), AtLeast: r.needed(m, engines, mean, now)}
	r.tell(m, pace, mean)
	return pace
}

// shareFor returns one in how many engines may be out of service, by how long callers
// wait at those that are in it.
func (r *Rollout) shareFor(wait time.Duration, engines int, since time.Duration) int {
	switch {
	case wait < waitBusy && engines > largeFleet:
		return paceIdleLarge
	case wait < waitBusy:
		return paceIdle
	case wait < waitFull || since > r.ThrottleFor:
		return paceBusy
	default:
		return paceFull
	}
}

// needed returns how many living engines must carry out orders at a time, so that each
// has taken its order while its weights may still be used. Those whose time is up first
// come first. wait is how long callers wait.
func (r *Rollout) needed(m ids.Model, engines []orders.EngineStatus, wait time.Duration, now time.Time) int {
	var lefts []time.Duration // of the engines that wait for their order
	busy := 0
	for _, e := range engines {
		left, _ := r.Weights.Left(m, e.Weights, now)
		switch {
		case e.Model != m || !r.isBehind(m, e.Weights, now) || e.State < routing.Joining && !e.Busy:
		case e.Busy:
			busy++
		default:
			lefts = append(lefts, left)
		}
	}
	each := r.orderTime.mean(now, wait)
	return places(lefts, busy, each, max(each-r.orderTime.elapsed(now), 0))
}

// places returns how many places it takes to begin with all engines that wait, which
// have so much time left, when busy others are being brought to their weights and need
// the rest for that. Each takes a place for so long; soon after its beginning it takes
// its order, and that is what has to be in time. Where the window is too short for one after
// the other, half of the engines begin at once and the others when it ends: told together,
// nine engines were all out of service for 2.7 s, since loads slow each other.
func places(lefts []time.Duration, busy int, each, rest time.Duration) int {
	slices.Sort(lefts)
	most := 0
	for i, left := range lefts {
		window := left - lastBegin // in which to begin
		if window < 0 {
			most = busy + i + 1 // all of them now
			continue
		}
		need := i + 1 - busy*begins(window-rest, each)
		if need <= 0 {
			continue
		}
		if perPlace := begins(window, each); perPlace > 1 {
			most = max(most, busy+(need+perPlace-1)/perPlace)
		} else {
			most = max(most, (busy+need+1)/2)
		}
	}
	return most
}

// begins returns how many engines one place can begin with in a window of time, each of
// which keeps it for so long.
func begins(window, each time.Duration) int {
	if window < 0 {
		return 0
	}
	return 1 + int(window/each)
}
