// Package allowance limits what a workspace may use on all VMs together: a rate and a burst,
// in the unit in which calls are charged (requests, tokens).
//
// # Load
//
// A workspace suddenly sends several times its usual load, to all VMs at once, while the load of
// the other workspaces stays as it was. Its calls cost thousands of tokens each and the longest
// tenth several times that, so an even split of the limit over 90 VMs leaves each VM less than one
// prompt; and within one round of reports between VMs the workspace sends as much as its whole
// burst.
//
// # Algorithm
//
// Each VM keeps one token bucket per workspace, which represents the whole fleet: the bucket
// fills at the limit's rate, and the VM takes out the cost of its own calls at once and that of
// the calls that its peers report. The level may be negative, so that a call is admitted or
// refused regardless of its size and calls admitted before the reports arrived are paid back.
// As the bucket empties, each call is admitted with a probability that keeps the admitted load
// at the rate: VMs that only checked whether anything is left would all admit everything until
// the next reports arrive.
//
// A VM reports what it has admitted as an exponentially decaying sum (see decayingSum): the
// sums of VMs can be added, a lost message leaves a peer with an older sum until the next one
// arrives, and between two messages peers assume that the VM continues at the same rate.
//
// # VMs without reports
//
// A listed VM that sends no messages may be serving on the other side of a network partition.
// After unresponsiveAfter, the other VMs reserve a share of the limit for it, by the demand that
// it last reported, so that the sides of a partition together use one limit. A VM that has just
// started has received no reports: it has an equal share and no burst.
package allowance

import (
	"slices"
	"time"
)

// Limit is what a workspace may use on all VMs together.
type Limit struct {
	Rate  float64 // units/s
	Burst float64 // units that may be used at once beyond the rate
}

// Unlimited reports whether there is no limit: neither a rate nor a burst.
func (l Limit) Unlimited() bool { return l.Rate <= 0 && l.Burst <= 0 }

// State is what a VM knows of a workspace's use when a call arrives.
type State struct {
	Limit Limit
	// Level is what is left of the burst on all VMs, in units; a negative level is a debt.
	Level float64
	// Demand is the callers' demand on all responsive VMs without this call, in units/s.
	Demand float64
	// ObservedDemand is Demand without the demand that this VM extrapolates to the time before
	// its start, in units/s.
	ObservedDemand float64
	// Cost is the cost of the call, in units.
	Cost float64
	// Reserved is the fraction of the limit that is reserved for unresponsive VMs.
	Reserved float64
	// DrainTime is the time over which the rest of the burst is spent while demand exceeds the
	// limit; zero if no other VM is listed.
	DrainTime time.Duration
}

const (
	// drainRounds is the number of report rounds over which the rest of a burst is spent: with
	// two, VMs that all see the same level do not overshoot together.
	drainRounds = 2
	// treeRounds is the approximate age, in rounds, of totals that are aggregated over a tree of
	// VMs: to the root, to the other roots, and back.
	treeRounds = 3
	// maxRetryDelay bounds the part of Verdict.RetryAfter that depends on debt and demand.
	maxRetryDelay = 3 * time.Second
	// minRetryAfter is the shortest Verdict.RetryAfter of a refused call. retryAfter adds up to as
	// much again, so that refused callers do not retry within one round of reports.
	minRetryAfter = 250 * time.Millisecond
)

// Verdict says whether a call is admitted.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time after which a refused caller may retry; zero if it was admitted.
	RetryAfter time.Duration
}

// Decide admits or refuses a call. sample is a uniformly distributed number in [0, 1). While
// Reserved is zero, the verdict does not depend on the cost of the call itself: long prompts are
// refused no more often than short ones.
func (s State) Decide(sample float64) Verdict {
	if s.Limit.Unlimited() {
		return Verdict{Admitted: true}
	}
	probability := s.admitProbability()
	if sample < probability {
		return Verdict{Admitted: true}
	}
	// The samples of refused calls lie above probability; rescale them to [0, 1).
	return Verdict{RetryAfter: s.retryAfter((sample - probability) / (1 - probability))}
}

// admitProbability returns the fraction of calls to admit.
//
// The call's own cost counts as demand too, in proportion to the fraction of the limit that is
// reserved for other VMs. Otherwise a VM with few responsive peers would admit its first call at
// any cost: 90 VMs that were killed and restarted, each with a ninetieth of the limit, would
// admit 90 prompts, which use up the limit for four seconds.
func (s State) admitProbability() float64 {
	if s.DrainTime <= 0 {
		if s.Level > 0 {
			return 1
		}
		return 0
	}
	available := s.rate() + s.Level/s.DrainTime.Seconds()
	demand := s.Demand + rateOf(s.Cost)*s.Reserved
	switch {
	case available <= 0:
		return 0
	case demand <= available:
		return 1
	default:
		return available / demand
	}
}

// rate returns the part of the limit's rate that the responsive VMs have together, in units/s.
func (s State) rate() float64 { return s.Limit.Rate * (1 - s.Reserved) }

// retryAfter returns the time until the debt is paid plus a delay that is proportional to sample.
// The delays spread the load refused in one second over the time in which the rate can serve it:
// callers do not retry all at once, and the more load there is, the later they retry.
func (s State) retryAfter(sample float64) time.Duration {
	rate := max(s.rate(), minRate)
	wait := max(-s.Level, 0) / rate
	spread := max(s.ObservedDemand-rate, 0) / rate
	delay := time.Duration((wait + sample*spread) * float64(time.Second))
	return min(max(delay, 0), maxRetryDelay) + time.Duration((1+sample)*float64(minRetryAfter))
}

// minRate, in units/s, prevents a division by zero if the responsive VMs have no rate.
const minRate = 1e-3

// Use holds what one or several VMs have admitted of a workspace and what callers demanded of
// them, as sums in units that decay with decayTime.
type Use struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32   // HashOf its name
	Used      float32
	Offered   float32
}

// maxUse bounds the sums of a report, in units; a report with a larger one is malformed.
const maxUse = 1e12

// valid reports whether both sums are numbers that a VM can have counted. NaN or infinity would
// stay in the totals of all VMs for good.
func (u Use) valid() bool {
	return u.Used >= 0 && u.Used < maxUse && u.Offered >= 0 && u.Offered < maxUse
}

// Plus returns the sum of u and the use of the same workspace by another VM.
func (u Use) Plus(o Use) Use {
	return Use{Workspace: o.Workspace, Used: u.Used + o.Used, Offered: u.Offered + o.Offered}
}

// Without returns the sums over several VMs less the uses of one of them.
func Without(sums, uses []Use) []Use {
	out := slices.Clone(sums)
	for _, p := range uses {
		if i := slices.IndexFunc(out, func(u Use) bool { return u.Workspace == p.Workspace }); i >= 0 {
			out[i].Used = max(out[i].Used-p.Used, 0)
			out[i].Offered = max(out[i].Offered-p.Offered, 0)
		}
	}
	return out
}
