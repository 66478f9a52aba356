// Package ratelimit keeps the requests that all VMs send to a target within the rate that the
// target announces in its responses, for as long as it announces one.
//
// # Load
//
// An overloaded target announces one or two requests per second and continues to respond, so it
// looks idle and all VMs would select it: 90 VMs with one request each send several times what
// it tolerates in a window. A VM cannot ask the others for their remaining rate before each
// request, and some VMs may not reach each other.
//
// # Algorithm
//
// By rendezvous hashing, all VMs that receive each other's messages agree on the few that send
// to the target; VMs in its failure domain come first. Each sender has an equal share of the rate
// and a bucket of one request (Position, Limiter). A VM exchanges no messages before it sends a
// request, and the rate stays in bounds whatever is lost: VMs that reach only a part of the fleet
// use only that part of the rate. VMs report limits, and the end of limits, to each other.
//
// A VM that does not send to the target learns of the end of a limit from those that do. If no
// VM has confirmed a limit for a while (staleTime), each VM has an equal share of it to probe the
// target.
package ratelimit

import "time"

// Limit is the rate limit that a response announces for its target, for the requests of all VMs
// together. The zero value is no limit.
type Limit struct {
	Announced bool
	// Malformed is set if a limit was announced that cannot be parsed: the target is overloaded,
	// but the rate that it accepts is unknown.
	Malformed bool
	PerSecond float64 // requests/s
}

// maxPerSecond bounds the rate that a target may announce, in requests/s; a higher one is as
// good as no limit.
const maxPerSecond = 1e6

// PerSecond returns a limit of rate requests/s. A negative rate or NaN gives a malformed limit.
func PerSecond(rate float64) Limit {
	if !(rate >= 0) { // also true for NaN
		return Limit{Announced: true, Malformed: true}
	}
	return Limit{Announced: true, PerSecond: min(rate, maxPerSecond)}
}

// Lower returns the limit that applies if a target announces two: the lower of those that are
// not malformed.
func Lower(a, b Limit) Limit {
	switch {
	case !a.Announced, b.Announced && a.Malformed:
		return b
	case !b.Announced, b.Malformed, a.PerSecond <= b.PerSecond:
		return a
	default:
		return b
	}
}

// minPerSecond replaces lower limits, in requests/s: only a response shows that a target accepts
// work again.
const minPerSecond = 0.1

// rate returns the rate at which all VMs together may send, in requests/s.
func (l Limit) rate() float64 { return max(l.PerSecond, minPerSecond) }

// Position is the position of a VM among those that may send to a target.
type Position struct {
	Rank   int // live VMs that rank before it
	Live   int // VMs that it receives messages from, itself included
	Listed int // VMs that the platform lists, itself included
}

const (
	// minSenders is the number of VMs that send to a target with a low limit if all listed VMs
	// reach each other. It is more than one, since it takes seconds to detect that a sender is
	// gone.
	minSenders = 2
	// sendersPerRate is the number of additional senders for each request/s. The full buckets of
	// all senders stay within what targets tolerate beyond the rate.
	sendersPerRate = 1.5
	// creditTime is the time for which a sender accumulates its share beyond one request, since
	// calls arrive at random.
	creditTime = 500 * time.Millisecond
)

// senders returns how many of the VMs that reach each other send to a target.
func (p Position) senders(rate float64) int {
	n := int((minSenders + sendersPerRate*rate) * p.fraction())
	return min(max(n, 1), p.Live)
}

// fraction returns the fraction of the rate that belongs to the VMs that reach each other.
func (p Position) fraction() float64 { return min(float64(p.Live)/float64(max(p.Listed, 1)), 1) }

// share returns this VM's share of a rate, in requests/s, or zero if only others send.
func (p Position) share(rate float64) float64 {
	n := p.senders(rate)
	if p.Rank >= n {
		return 0
	}
	return rate * p.fraction() / float64(n)
}

// equalShare returns the rate at which each listed VM may send without knowledge of the others,
// in requests/s.
func (p Position) equalShare(rate float64) float64 { return rate / float64(max(p.Listed, 1)) }
