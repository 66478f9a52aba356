// Package ratelimit keeps the requests that all VMs send to a target within the rate that
// the target names in its answers.
package ratelimit

// Limit is what an answer says of the requests that its target takes from all VMs together.
// The zero value names none.
type Limit struct {
	Named bool
	// Garbled tells that a limit was named that can't be read. It says that the target is in
	// need, and not how much it takes.
	Garbled   bool
	PerSecond float64 // requests a second
}

// maxPerSecond bounds what a target may name, in requests/s; what is above it is as good
// as no limit.
const maxPerSecond = 1e6

// PerSecond returns a limit of so many requests a second. What is no rate is garbled.
func PerSecond(rate float64) Limit {
	if !(rate >= 0) { // NaN is none, too
		return Limit{Named: true, Garbled: true}
	}
	return Limit{Named: true, PerSecond: min(rate, maxPerSecond)}
}
