package rollout

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/timing"
)

// Bounds of the drain before an order.
const (
	// drainLeast is how long all VMs need to hear that a replica gets no new requests,
	// and to tell what they have there.
	drainLeast = 350 * time.Millisecond
	// drainMost is how long requests that can't go on elsewhere are waited for: most
	// have short answers.
	drainMost = 1500 * time.Millisecond
	// drainPart is the part of the time left to the replica's weights in which it is
	// drained at most: the order must reach it before the time is up.
	drainPart = 0.25
	// drainEvery is the pause between two looks.
	drainEvery = 50 * time.Millisecond
	// cutMost is how many runs may be cut off: each costs a retry of the budget that
	// all VMs share.
	cutMost = 24
)

// drain keeps new requests from a replica until none is left there that can't go on
// elsewhere, and returns what is to become of the rest. An order right away would
// wait for the longest run, some seconds, while the replica takes nothing new.
func (r *Rollout) drain(ctx context.Context, c *Command, has ids.WeightsVersion) Method {
	began := clock.Now()
	defer func() { r.Stats.DrainMs.Add(clock.Since(began).Milliseconds()) }()
	r.announce(c.Target, "", false)
	left, _ := r.Named.Left(c.Model, has, began)
	most := min(drainMost, time.Duration(float64(left)*drainPart))
	for clock.Since(began) < most && timing.Sleep(ctx, drainEvery) {
		if clock.Since(began) >= drainLeast && r.mayCutOff(c.Target) {
			return CutOff
		}
	}
	if clock.Since(began) < drainLeast {
		return r.goOn(c, has) // calls may be there that this VM does not know of
	}
	return r.lastResort(c, has)
}

// mayCutOff tells whether the runs at a replica can all go on elsewhere.
func (r *Rollout) mayCutOff(id ids.Target) bool {
	work, _ := r.Loads.WorkOf(id)
	return work.NotResumable == 0 && work.InFlight <= cutMost
}

// lastResort chooses what becomes of the runs at a replica whose drain is over.
func (r *Rollout) lastResort(c *Command, has ids.WeightsVersion) Method {
	if r.mayCutOff(c.Target) {
		return CutOff
	}
	return r.goOn(c, has)
}

// goOn chooses between the two ways in which runs go on at a replica. They may finish if
// there is time for that; how long they take is taken from other orders.
func (r *Rollout) goOn(c *Command, has ids.WeightsVersion) Method {
	left, _ := r.Named.Left(c.Model, has, clock.Now())
	if r.Beyond > 0 && left+r.Beyond < r.orderTime.mean(clock.Now(), 0)+finishDoubt {
		return KeepOn
	}
	return Finish
}

// finishDoubt is how much longer than the mean an order may take at a replica that
// finishes its runs first: it waits for the longest of them.
const finishDoubt = 3500 * time.Millisecond
