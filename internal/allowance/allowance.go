// Package allowance bounds what a workspace may use over all VMs together: a rate and a
// burst, counted in whatever a call costs (requests, tokens).
//
// # The load
//
// One workspace sends several times its usual all of a sudden, to all VMs at once, while
// the others go on. Its calls cost thousands of tokens each and the longest tenth several
// times that, so an even split of the limit over 90 VMs leaves each less than one prompt;
// and within one round of news between VMs it sends as much as its whole burst.
//
// # The mechanism
//
// Each VM keeps, for each workspace, one bucket that stands for the whole fleet: it fills at
// the limit's rate, its own calls are taken out at once, and so is what peers say they have
// let in. The bucket may go into debt, so a call is let in or not whatever its size, and what
// crossed on the way is paid back. As the bucket runs dry, calls are thinned out by chance
// so that what is let in meets the rate: VMs that look only at whether there is anything left
// all let everything in for as long as news take.
//
// What a VM has let in is told as a sum that decays (see decaying): it can be added up over
// VMs, a message that is lost makes it old and not wrong, and between two messages peers take
// it that a VM goes on as before.
//
// # What is not known
//
// A VM that is listed and not heard may be serving behind a cut. From silentAfter on, a part of
// the limit is kept for it, by what it was asked for when it was last heard, so that the sides
// of a cut together have one limit. A VM that has just started has heard nobody: it has an
// equal part, and no burst.
package allowance

import (
	"slices"
	"time"
)

// Limit is what a workspace may use over all VMs together.
type Limit struct {
	Rate  float64 // units/s; zero: there is no limit
	Burst float64 // units that may be used at once beyond it
}

// Unlimited tells whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate <= 0 && l.Burst <= 0 }

// State is what a VM knows of a workspace's use when a call comes.
type State struct {
	Limit Limit
	// Level is what is left of the burst over all VMs, in units; negative: a debt.
	Level float64
	// Demand is what callers ask of all VMs that are heard, this call left out, in units/s.
	Demand float64
	// ObservedDemand is Demand without what is taken to have been asked before this VM started, in units/s.
	ObservedDemand float64
	// Cost is the call's, in units.
	Cost float64
	// Reserved is the part of the limit that is kept for VMs that are not heard.
	Reserved float64
	// DrainTime is within how long what is left of the burst is given out when more is asked
	// than the limit; zero where no other VM is heard.
	DrainTime time.Duration
}

const (
	// settleRounds is in how many rounds of news what is left of a burst is given out: in
	// two, VMs that all see the same don't overshoot together.
	settleRounds = 2
	// treeRounds is how many rounds old what is told over a tree is, about: to the root, to
	// the other roots, and back.
	treeRounds = 3
	// longestReturn bounds the spread of the times at which callers are asked to return.
	longestReturn = 3 * time.Second
	// shortestReturn keeps them from coming back within one round of news.
	shortestReturn = 250 * time.Millisecond
)

// Verdict says whether a call is let in.
type Verdict struct {
	Admitted bool
	// RetryAfter is when to come back if not.
	RetryAfter time.Duration
}

// Decide lets a call in or not. draw is a random number in [0, 1). As long as all VMs are
// heard, what the call itself costs plays no part: long prompts are turned away no more often
// than short ones.
func (s State) Decide(draw float64) Verdict {
	if s.Limit.Unlimited() {
		return Verdict{Admitted: true}
	}
	chance := s.chance()
	if draw < chance {
		return Verdict{Admitted: true}
	}
	// Those refused are the upper part of the draws, so they are scaled anew.
	return Verdict{RetryAfter: s.comeBack((draw - chance) / (1 - chance))}
}

// chance is the part of the calls that may be let in.
//
// A VM that hears few others must not let its first call in whatever it costs: 90 VMs that
// were killed and start again, each with a ninetieth of the limit, would let in 90 prompts,
// four seconds' worth of the limit. So as much of the call's cost counts as demand as is
// kept for others.
func (s State) chance() float64 {
	if s.DrainTime <= 0 {
		if s.Level > 0 {
			return 1
		}
		return 0
	}
	room := s.rate() + s.Level/s.DrainTime.Seconds()
	demand := s.Demand + flow(s.Cost)*s.Reserved
	switch {
	case room <= 0:
		return 0
	case demand <= room:
		return 1
	default:
		return room / demand
	}
}

// rate is the part of the limit's rate that the VMs that are heard have together.
func (s State) rate() float64 { return s.Limit.Rate * (1 - s.Reserved) }

// comeBack is when the debt is paid, and a time by the draw within which what was refused
// in a second fits: callers don't come back together, and the more there are the later.
func (s State) comeBack(draw float64) time.Duration {
	rate := max(s.rate(), leastRate)
	wait := max(-s.Level, 0) / rate
	spread := max(s.ObservedDemand-rate, 0) / rate
	after := time.Duration((wait + draw*spread) * float64(time.Second))
	return min(max(after, 0), longestReturn) + time.Duration((1+draw)*float64(shortestReturn))
}

// leastRate keeps a limit of nothing from dividing by zero, units/s.
const leastRate = 1e-3

// Use is what one or several VMs have let in and were asked for of one workspace, as sums
// that decay with memory.
type Use struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32   // HashOf its name
	Used      float32
	Offered   float32
}

// mostUsed bounds what a VM can say, in units; what is beyond is garbled.
const mostUsed = 1e12

// plausible tells whether both sums are numbers that a VM can have counted. One that is none
// would stay in the sums of all for good.
func (u Use) plausible() bool {
	return u.Used >= 0 && u.Used < mostUsed && u.Offered >= 0 && u.Offered < mostUsed
}

// Plus adds the use of the same workspace by another VM.
func (u Use) Plus(o Use) Use {
	return Use{Workspace: o.Workspace, Used: u.Used + o.Used, Offered: u.Offered + o.Offered}
}

// Without takes the parts of one VM out of sums over several.
func Without(sums, parts []Use) []Use {
	out := slices.Clone(sums)
	for _, p := range parts {
		if i := slices.IndexFunc(out, func(u Use) bool { return u.Workspace == p.Workspace }); i >= 0 {
			out[i].Used = max(out[i].Used-p.Used, 0)
			out[i].Offered = max(out[i].Offered-p.Offered, 0)
		}
	}
	return out
}
