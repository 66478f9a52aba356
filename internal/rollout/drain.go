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
	// drainMin is how long it takes until all VMs know that a replica gets no new requests
	// and have reported the requests that they have there.
	drainMin = 350 * time.Millisecond
	// drainMax is the longest wait for requests that are not resumable elsewhere; most of
	// them have short responses.
	drainMax = 1500 * time.Millisecond
	// drainFraction limits the drain to this fraction of the time for which the replica's
	// weights may still be used: the order must reach the replica before that time is up.
	drainFraction = 0.25
	// drainPollInterval is the pause between two checks of the replica's load.
	drainPollInterval = 50 * time.Millisecond
	// maxCutOff is how many requests an order may cut off: each costs a retry from the
	// budget that all VMs share.
	maxCutOff = 24
)

// drain keeps new requests away from a replica until all requests left there can resume
// elsewhere, and returns what the order should do with them. An immediate order would wait
// for the longest request, some seconds, while the replica accepts nothing new.
func (r *Rollout) drain(ctx context.Context, c *Command, has ids.WeightsVersion) Method {
	began := clock.Now()
	defer func() { r.Stats.DrainMs.Add(clock.Since(began).Milliseconds()) }()
	r.announce(c.Target, "", false)
	left, _ := r.Weights.Left(c.Model, has, began)
	limit := min(drainMax, time.Duration(float64(left)*drainFraction))
	for clock.Since(began) < limit && timing.Sleep(ctx, drainPollInterval) {
		if clock.Since(began) >= drainMin && r.canCutOff(c.Target) {
			return CutOff
		}
	}
	if clock.Since(began) < drainMin {
		return r.finishOrKeepOn(c, has) // the replica may have requests that this VM does not know of
	}
	return r.methodAfterDrain(c, has)
}

// canCutOff reports whether all requests at a replica can resume elsewhere, and are few
// enough for that.
func (r *Rollout) canCutOff(id ids.Target) bool {
	work, _ := r.Targets.WorkOf(id)
	return work.NotResumable == 0 && work.InFlight <= maxCutOff
}

// methodAfterDrain returns what an order should do with the requests left at a replica
// after its drain.
func (r *Rollout) methodAfterDrain(c *Command, has ids.WeightsVersion) Method {
	if r.canCutOff(c.Target) {
		return CutOff
	}
	return r.finishOrKeepOn(c, has)
}

// finishOrKeepOn chooses between the two methods that continue requests at the replica. It
// returns Finish if there is time for that, estimated from how long other orders took.
func (r *Rollout) finishOrKeepOn(c *Command, has ids.WeightsVersion) Method {
	left, _ := r.Weights.Left(c.Model, has, clock.Now())
	if r.LoadGrace > 0 && left+r.LoadGrace < r.orderTime.mean(clock.Now(), 0)+finishSlack {
		return KeepOn
	}
	return Finish
}

// finishSlack is how much longer than the mean an order may take at a replica that first
// finishes its requests, since it waits for the longest of them.
const finishSlack = 3500 * time.Millisecond
