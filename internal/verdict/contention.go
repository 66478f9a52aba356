package verdict

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/loadview"
)

// Workload: two workspaces send 20 and 150 calls/s to engines that compute 100 calls/s. When each VM
// judged a call only by its own predictions, the engines' queues grew to several seconds and no call
// was in time; with a bound on the queue alone, the small workspace was refused as often as the
// large one (27 of 60 calls in time). So all VMs act on one picture of the fleet's load (package
// demand): they correct predictions by the fleet's ratio, and admit from each workspace the part of
// its calls that its share of the capacity covers.
//
// Three controls of different speed work together:
//   - The shares follow the capacity within the decay time of the picture, 2 s. They keep the
//     refusals of all VMs alike.
//   - The local bound on the predicted queue follows within the age of load reports, some 100 ms. It
//     is lower for workspaces above their share, so the queue that they cause stays short
//     enough for all others.
//   - If targets have no queue on average, any call is admitted: no share keeps capacity idle.

const (
	// contentionFactor is the mean wait of the fleet's calls, as a fraction of the objective, above
	// which capacity counts as short. Callers notice nothing of a wait below it, and engines that
	// are slower than assumed but have no queue stay below it.
	contentionFactor = 0.4
	// idleFactor is the predicted mean queue over all targets, as a fraction of the objective, up to
	// which every call is admitted. With the queue of the best target instead, 66 VMs all sent their calls
	// to the few engines that had none at their last reports.
	idleFactor = 0.1
	// softFactor is the bound on the predicted time, as a fraction of the objective, for workspaces at
	// twice their share. It exceeds aimFactor, so that engines have enough queued to stay busy between
	// two load reports.
	softFactor = 0.75
	// aimFactor is the predicted mean queue, as a fraction of the objective, at which shares add up to the
	// measured capacity. Engines then have enough queued to stay busy between two load reports, and the
	// local bound seldom decides, whose refusals differ between VMs.
	aimFactor = 0.45
	// urgentAim is the factor on aimFactor for calls of the most urgent priority, which are admitted in full while
	// the shares of others are already cut.
	urgentAim = 1.2
	// gain is the fraction of the capacity by which shares add up to more for each aim that the mean queue is
	// below it, or to less above it; maxGrowth and maxCut bound it. The queue is used, not the measured
	// wait, which lags by seconds: after a sudden start at ten times the capacity it kept engines at
	// 0.74 of their capacity.
	gain      = 0.9
	maxGrowth = 1
	maxCut    = 0.5
	// minBegun is the decaying number of first events of all VMs below which the picture says too little
	// about capacity.
	minBegun = 8
	// maxSlotTime is the time, in seconds, in which a target is assumed to end one call, unless the fleet
	// measures a shorter one. It equals slotSeconds in package fleet.
	maxSlotTime = 0.25
	// maxRatio bounds the correction of predictions. Engines of a plain test stand computed 30 times
	// slower than the assumed rate.
	maxRatio = 100
)

// Contention is the state of a service on all VMs, from the picture of their load.
type Contention struct {
	// Wait is the mean time that calls waited at targets: the measured time until the first event
	// minus the work at the assumed rate and loadview.MinTTFT, which an idle target takes too.
	Wait time.Duration
	// Ratio is the factor by which times until the first event exceed the predicted ones; at least 1.
	Ratio float64
	// Capacity is the work begun per second. While calls wait, targets can do no more.
	Capacity float64
	// Offered is the work per second that callers ask for.
	Offered float64
	// Refused is the work that was refused within the decay time of the picture, in seconds of work.
	Refused float64
	VMs     int
	Age     time.Duration
	heard   bool // of most VMs
	picture *demand.Picture
	begun   float64 // first events
}

// Measure returns the state of a service. The zero value and a nil picture stand for a calm service.
func Measure(p *demand.Picture) Contention {
	c := Contention{Ratio: 1, picture: p}
	if p == nil {
		return c
	}
	c.VMs, c.Age, c.heard = p.VMs, p.Age, p.Listed > 0 && 2*p.VMs > p.Listed
	t := p.Total()
	if t.Work > 0 {
		c.begun = float64(t.Admitted) * float64(t.Begun) / float64(t.Work)
	}
	measured := max(float64(t.Measured)-c.begun*loadview.MinTTFT.Seconds(), 0)
	if t.Predicted > 0 {
		c.Ratio = min(max(measured/float64(t.Predicted), 1), maxRatio)
	}
	if c.begun > 0 {
		c.Wait = seconds(max(measured-float64(t.Begun), 0) / c.begun)
	}
	c.Capacity = demand.Rate(t.Begun)
	for _, w := range p.Workspaces {
		c.Offered += demand.Rate(w.Offered)
		c.Refused += max(float64(w.Offered-w.Admitted), 0)
	}
	return c
}

// Short reports whether capacity is short for calls with this objective, given the queues that this VM knows of:
// they follow a sudden burst within the age of load reports, the mean wait only after seconds. It is never short for
// a VM that hears of half of the VMs or fewer: if it took its own part of what engines begin for the capacity, a VM
// that has refused more than others would go on to refuse even more.
func (c *Contention) Short(objective time.Duration, q Queues) bool {
	if objective <= 0 || !c.heard || c.begun < minBegun {
		return false
	}
	return float64(c.Wait) > contentionFactor*float64(objective) || c.mean(q) > aimFactor*float64(objective)
}

// mean returns the mean time until targets start a call, corrected, in nanoseconds.
func (c *Contention) mean(q Queues) float64 {
	return float64(q.Wait)*c.Ratio + q.Over*c.slotTime(q.Targets)*float64(time.Second)
}

// Claim returns what a workspace, given by its hash, asks for, and its share of the measured capacity times a factor.
// Workspaces of low demand are known only as a sum under the hash 0. Its members are taken to be below the smallest of
// the others, so they count as the least number of equal workspaces of that size.
func (c *Contention) Claim(workspace uint32, factor float64) (claim Claim, share float64) {
	if c.picture == nil {
		return Claim{}, math.Inf(1)
	}
	claims := make([]Claim, 0, len(c.picture.Workspaces))
	smallest, rest := math.Inf(1), 0.0
	found := false
	for _, w := range c.picture.Workspaces {
		offered := demand.Rate(w.Offered)
		if w.Workspace == 0 {
			rest += offered
			continue
		}
		smallest = min(smallest, offered)
		claims = append(claims, Claim{Offered: offered})
		if w.Workspace == workspace {
			claim, found = Claim{Offered: offered}, true
		}
	}
	if rest > 0 {
		r := Claim{Offered: rest, Weight: 1}
		if smallest > 0 && !math.IsInf(smallest, 1) {
			r.Weight = max(math.Ceil(rest/smallest), 1)
		}
		claims = append(claims, r)
		if !found {
			claim = r
		}
	}
	return claim, Share(Level(c.Capacity*factor, claims), claim)
}

// adjustment returns the factor on the measured capacity that shares add up to, given the mean queue and
// its aim in the same unit.
func adjustment(queue, aim float64) float64 {
	return 1 - min(max(gain*(queue/aim-1), -maxGrowth), maxCut)
}

// Queues are the mean queues at the targets of a service.
type Queues struct {
	Wait    time.Duration // until the prompts that wait are computed, at the assumed rate
	Over    float64       // calls beyond the target's slots, a further one included
	Targets int
}

// slotTime returns the time in which a target ends one call. While calls wait, that is what the fleet measures;
// with 0.25 s, engines with one slot that take 60 ms stayed at 0.64 of their capacity.
func (c *Contention) slotTime(targets int) float64 {
	return min(float64(targets)/max(demand.Rate(float32(c.begun)), 1), maxSlotTime)
}

// Call is a call that awaits admission while capacity is short.
type Call struct {
	Arrival
	// Workspace is demand.HashOf the name of the call's workspace, which is empty on a public route.
	Workspace uint32
	// Sample is a number in [0, 1) from a sequence that is even over the calls of a workspace.
	Sample float64
	Mean   Queues
	// Left is the time until the call's deadline.
	Left time.Duration
}

// Cause tells why a call is refused.
type Cause string

// The causes.
const (
	Admitted  Cause = ""
	TooLate   Cause = "late"  // the predicted time exceeds the bound for all workspaces
	OverShare Cause = "share" // the workspace is above its share
)

// Ruling is the decision on a call, with its inputs.
type Ruling struct {
	Cause       Cause
	Queue       time.Duration // predicted at the best target, corrected
	Mean        time.Duration // the same over all targets
	Predicted   time.Duration // time until the first event, corrected
	Bound       time.Duration // for Predicted
	Offered     float64       // work per second of the workspace
	Share       float64
	Probability float64
	RetryAfter  time.Duration
}

// Rule decides on a call while capacity is short. b is the prediction at the assumed rate,
// without any correction.
func Rule(a Call, b Best, c *Contention) Ruling {
	objective, slotTime := float64(a.Objective), c.slotTime(a.Mean.Targets)
	mean := c.mean(a.Mean)
	aim := aimFactor * objective
	if a.Urgent {
		aim *= urgentAim
	}
	factor := adjustment(mean, aim)
	claim, share := c.Claim(a.Workspace, factor)
	r := Ruling{Offered: claim.Offered, Share: share, Probability: 1, Mean: time.Duration(mean)}
	over := 1.0
	if claim.Offered > 0 {
		r.Probability = min(share/claim.Offered, 1)
		over = claim.Offered / max(share, claim.Offered*minShare)
	}
	hard := lateFactor
	if a.Urgent {
		hard = lateUrgentFactor
	}
	waits := Waits{Soft: time.Duration(softFactor * objective), Hard: time.Duration(hard * objective), Step: 1}
	r.Bound = waits.Longest(0, over)
	r.Queue = time.Duration(float64(b.Queue)*c.Ratio) + seconds(b.Over*slotTime)
	r.Predicted = r.Queue + time.Duration(float64(seconds(a.Usual/max(b.Rate, 1)))*c.Ratio)
	switch {
	case mean <= idleFactor*objective && r.Predicted < time.Duration(hard*objective):
		return r
	case r.Predicted >= time.Duration(hard*objective):
		r.Cause = TooLate
	case r.Predicted >= r.Bound: // others would be admitted
		r.Cause = OverShare
	case a.Sample >= r.Probability:
		r.Cause = OverShare
	default:
		return r
	}
	r.RetryAfter = RetryAfter(Return{
		Excess: r.Predicted - r.Bound, Refused: c.Refused, Spare: c.Capacity*factor - c.Offered,
		Left: a.Left, Jitter: a.Jitter,
	})
	return r
}

// minShare is the least fraction of its offered work that a workspace is taken to have, to keep ratios finite.
const minShare = 1e-3
