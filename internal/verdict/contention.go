package verdict

import (
	"math"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
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
//   - A target without a queue is given any call: no share keeps capacity idle.

const (
	// contentionFactor is the mean wait of the fleet's calls, as a fraction of the objective, above
	// which capacity counts as short. Callers notice nothing of a wait below it, and engines that
	// are slower than assumed but have no queue stay below it.
	contentionFactor = 0.2
	// idleFactor is the predicted queue at the best target, as a fraction of the objective, up to
	// which every call is admitted.
	idleFactor = 0.1
	// softFactor is the bound on the predicted queue for workspaces at twice their share. With half of
	// the objective engines have enough queued to stay busy between two load reports, and
	// calls of others that wait behind it are in time.
	softFactor = 0.5
	// headroom is the factor on the measured capacity that shares add up to. It lets the measured
	// capacity grow when more engines come; what it admits in excess is refused at the local bound.
	headroom = 1.05
	// minBegun is the number of first events in the picture below which it says too little about
	// capacity.
	minBegun = 8
	// maxRatio bounds the correction of predictions. Engines of a plain test stand computed 30 times
	// slower than the assumed rate.
	maxRatio = 100
)

// Contention is the state of a service on all VMs, from the picture of their load.
type Contention struct {
	// Wait is the mean time that calls waited at targets: measured time until the first event
	// minus the work at the assumed rate.
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
	picture *demand.Picture
	begun   float64 // first events
}

// Measure returns the state of a service. The zero value and a nil picture stand for a calm service.
func Measure(p *demand.Picture) Contention {
	c := Contention{Ratio: 1, picture: p}
	if p == nil {
		return c
	}
	c.VMs, c.Age = p.VMs, p.Age
	t := p.Total()
	if t.Predicted > 0 {
		c.Ratio = min(max(float64(t.Measured)/float64(t.Predicted), 1), maxRatio)
	}
	if t.Work > 0 {
		c.begun = float64(t.Admitted) * float64(t.Begun) / float64(t.Work)
	}
	if c.begun > 0 {
		c.Wait = seconds(max(float64(t.Measured-t.Begun), 0) / c.begun)
	}
	c.Capacity = demand.Rate(t.Begun)
	for _, w := range p.Workspaces {
		c.Offered += demand.Rate(w.Offered)
		c.Refused += max(float64(w.Offered-w.Admitted), 0)
	}
	return c
}

// Short reports whether capacity is short for calls with this objective.
func (c *Contention) Short(objective time.Duration) bool {
	return objective > 0 && c.begun >= minBegun && float64(c.Wait) > contentionFactor*float64(objective)
}

// Claim returns what a workspace, given by its hash, asks for, and its share of the capacity.
// Workspaces of low demand are known only as a sum under the hash 0. Its members are all below the
// smallest of the others, so they count as the least number of equal workspaces of that size.
func (c *Contention) Claim(workspace uint32) (claim Claim, share float64) {
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
	level := Level(c.Capacity*headroom, claims)
	return claim, Share(level, claim)
}

// Call is a call that awaits admission while capacity is short.
type Call struct {
	Arrival
	// Workspace is the hash of the call's workspace (demand.HashOf); zero: none.
	Workspace uint32
	// Sample is a number in [0, 1) from a sequence that is even over the calls of a workspace.
	Sample float64
	// Left is the time until the call's deadline.
	Left time.Duration
}

// Cause tells why a call is refused.
type Cause string

// The causes.
const (
	Admitted  Cause = ""
	TooLate   Cause = "late"  // the predicted time exceeds the bound
	OverShare Cause = "share" // the workspace has had its share
)

// Ruling is the decision on a call, with its inputs.
type Ruling struct {
	Cause       Cause
	Queue       time.Duration // predicted at the best target, corrected
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
	claim, share := c.Claim(a.Workspace)
	r := Ruling{Offered: claim.Offered, Share: share, Probability: 1}
	over := 1.0
	if claim.Offered > 0 {
		r.Probability = min(share/claim.Offered, 1)
		over = claim.Offered / max(share, claim.Offered*minShare)
	}
	hard := lateFactor
	if a.Urgent {
		hard = lateUrgentFactor
	}
	objective := float64(a.Objective)
	r.Bound = Waits{Soft: time.Duration(softFactor * objective), Hard: time.Duration(hard * objective), Step: 1}.Longest(0, over)
	r.Queue = time.Duration(float64(b.Queue) * c.Ratio)
	r.Predicted = r.Queue + time.Duration(float64(seconds(a.Usual/max(b.Rate, 1)))*c.Ratio)
	switch {
	case float64(r.Queue) <= idleFactor*objective && r.Predicted < time.Duration(hard*objective):
		return r
	case r.Predicted >= r.Bound:
		r.Cause = TooLate
	case a.Sample >= r.Probability:
		r.Cause = OverShare
	default:
		return r
	}
	r.RetryAfter = RetryAfter(Return{Excess: r.Predicted - r.Bound, Refused: c.Refused, Spare: c.Capacity - c.Offered, Left: a.Left, Jitter: a.Jitter})
	return r
}

// minShare is the least fraction of its offered work that a workspace is taken to have, to keep ratios finite.
const minShare = 1e-3
