// Package ratelimit keeps the requests that all VMs send to a target within the rate that
// the target names in its answers, for as long as it names one.
//
// # The load
//
// A target in need names one or two requests a second and goes on answering, so it looks
// idle and all VMs would send to it: 90 of them, one request each, are several times what it
// tolerates in a window. Which VM has how much left can't be asked for each request, and
// some VMs may not hear each other.
//
// # The mechanism
//
// All VMs that hear each other agree by rendezvous on the few that send to the target, those
// of its failure domain first, and each of these has an equal part of the rate and a bucket
// of one request (Standing, Limiter). So no message goes before a request, and what is sent
// stays in bounds whatever is lost on the way: VMs that hear only a part of the fleet have
// only that part of the rate. VMs tell each other of limits, and of their end.
//
// A VM that does not send to the target learns of the end from those that do. Where nobody
// has confirmed a limit for long, each VM has an equal part of it, to find out by itself.
package ratelimit

import "time"

// Limit is what an answer says of the requests that its target takes from all VMs together.
// The zero value names none.
type Limit struct {
	Announced bool
	// Malformed tells that a limit was named that can't be read. It says that the target is in
	// need, and not how much it takes.
	Malformed bool
	PerSecond float64 // requests a second
}

// maxPerSecond bounds what a target may name, in requests/s; what is above it is as good
// as no limit.
const maxPerSecond = 1e6

// PerSecond returns a limit of so many requests a second. What is no rate is garbled.
func PerSecond(rate float64) Limit {
	if !(rate >= 0) { // NaN is none, too
		return Limit{Announced: true, Malformed: true}
	}
	return Limit{Announced: true, PerSecond: min(rate, maxPerSecond)}
}

// Lower returns the limit that binds where a target names two: the lower of those that can be
// read.
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

// leastPerSecond is taken for lower limits, in requests/s: only an answer tells that a target
// takes work again.
const leastPerSecond = 0.1

// rate is what all VMs together may send, in requests/s.
func (l Limit) rate() float64 { return max(l.PerSecond, leastPerSecond) }

// Position is a VM's place among those that may send to a target.
type Position struct {
	Rank   int // living VMs that come before it
	Live   int // VMs that it hears, itself included
	Listed int // VMs that the platform lists, itself included
}

const (
	// leastSenders is how many VMs of a whole fleet send to a target that names a low limit:
	// one that is gone is not noticed for seconds.
	leastSenders = 2
	// sendersPerRate is how many more there are for each request a second. Full buckets of
	// all of them stay within what targets tolerate beyond the rate.
	sendersPerRate = 1.5
	// saved is the time for which a sender saves up its part beyond one request: calls come
	// at random.
	saved = 500 * time.Millisecond
)

// senders is how many of the VMs that hear each other send to a target.
func (s Position) senders(rate float64) int {
	n := int((leastSenders + sendersPerRate*rate) * s.part())
	return min(max(n, 1), s.Live)
}

// part is the part of the rate that belongs to the VMs that hear each other.
func (s Position) part() float64 { return min(float64(s.Live)/float64(max(s.Listed, 1)), 1) }

// share is this VM's part of a rate, in requests/s; zero: others send.
func (s Position) share(rate float64) float64 {
	n := s.senders(rate)
	if s.Rank >= n {
		return 0
	}
	return rate * s.part() / float64(n)
}

// equalShare is what each of all VMs may send without knowing of the others, in requests/s.
func (s Position) equalShare(rate float64) float64 { return rate / float64(max(s.Listed, 1)) }
