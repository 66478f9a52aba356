package allowance

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// pastLooks is how many looks at what is asked of all are kept, one at each sweep: over the
	// time until a silent VM is noticed.
	pastLooks = int(silentAfter / SweepEvery)
	// equalPart is the part of a limit that is split evenly where it is kept for VMs that
	// are not heard; the rest goes by what each of them was asked for. Without it nothing would be
	// kept for a VM that was idle when it was cut off.
	equalPart = 0.1
	// longestDebt bounds a debt, in seconds of the rate. One that is longer comes of a limit
	// that was lowered or of a cut that healed, and callers would pay for it after the window
	// in which use is counted.
	longestDebt = 4 * time.Second
	// shortestCount is for how long a VM is taken to have counted at least: a single call right
	// after its start says little.
	shortestCount = 50 * time.Millisecond
	// forgetAfter is after how long without a call or news an account is dropped: its bucket
	// is full again.
	forgetAfter = time.Minute
)

// account is one workspace's bucket.
type account struct {
	name  ids.Workspace // empty: the configuration does not name it
	limit Limit
	level float64
	at    time.Time // of level
	last  time.Time // a call or news of use

	used, offered decaying  // by this VM
	started       time.Time // of this VM: nothing was counted before

	// Of the VMs that are heard, as last told; this one left out.
	othersUsed, othersOffered float64
	reserved                  float64 // part of the limit kept for VMs that are not heard

	draws uint64 // the last draw, as a part of 2^64

	past   [pastLooks]float64 // what was asked of all at the last sweeps
	looked int

	admitted, refused float64 // units, since the account began
	refusals          int64
}

// goldenStep is 2^64 divided by the golden ratio.
const goldenStep = 0x9E3779B97F4A7C15

// nextDraw returns a number in [0, 1). Numbers in a row lie as evenly as can be, so that the part
// of the calls that is let in is the part that may be: with independent draws a VM that sees
// a few calls a second lets in far fewer or more than that.
func (a *account) nextDraw() float64 {
	a.draws += goldenStep
	return float64(a.draws>>11) / (1 << 53)
}

// advance brings the level up to now.
func (a *account) advance(now time.Time) {
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.at = now
	if a.limit.Unlimited() {
		return
	}
	a.level += (a.limit.Rate*(1-a.reserved) - flow(a.othersUsed)) * dt
	a.bound()
}

// bound keeps the level between the longest debt and the burst.
func (a *account) bound() {
	a.level = min(a.level, a.limit.Burst*(1-a.reserved))
	a.level = max(a.level, -a.limit.Rate*longestDebt.Seconds())
}

// setLimit puts a limit in force. A higher one counts at once, and so does a lower one;
// what was used before is held against it as far as its own longest debt.
func (a *account) setLimit(limit Limit, now time.Time) {
	if limit == a.limit {
		return
	}
	a.advance(now)
	a.level += max(limit.Burst-a.limit.Burst, 0)
	a.limit = limit
	a.bound()
}

// state is what is known for the verdict on a call.
func (a *account) state(cost float64, now time.Time) State {
	return State{
		Limit: a.limit, Level: a.level, Reserved: a.reserved, Cost: cost,
		Demand: flow(a.asked(now) + a.othersOffered), ObservedDemand: flow(a.offered.now(now) + a.othersOffered),
	}
}

// asked is the sum that what callers ask of this VM keeps up. Of a VM that has just started the
// sum holds only what came since, and taken as it is makes demand that was there before for one
// that comes up: VMs that start together would let in several times the rate.
func (a *account) asked(now time.Time) float64 {
	return a.offered.now(now) / (1 - decay(max(now.Sub(a.started), shortestCount)))
}

// look keeps what is asked of all for later.
func (a *account) look(now time.Time) {
	a.past[a.looked%pastLooks] = a.asked(now) + a.othersOffered
	a.looked++
}

// before is what was asked of all when a VM that is noticed to be silent was last heard.
func (a *account) before() float64 { return a.past[a.looked%pastLooks] }

// part is the part of the limit of a VM of which a sum was asked when it was last heard. What
// is let in of it changes from moment to moment where more is asked than the limit, and two
// sides of a cut that saw it at different moments kept too little for each other.
func (a *account) part(asked float64, vms int) float64 {
	if a.limit.Unlimited() {
		return 1 / float64(vms)
	}
	equal := equalPart * a.limit.Rate * memory.Seconds() / float64(vms)
	return min((asked+equal)/(max(a.before(), asked)+equal*float64(vms)), 1)
}

// told takes in what a VM says of its use, after what it said a time ago.
func (a *account) told(was, is Use, since time.Duration, now time.Time) {
	a.advance(now)
	before, after := float64(was.Used), float64(is.Used)
	a.othersUsed = max(a.othersUsed+after-before, 0)
	a.othersOffered = max(a.othersOffered+float64(is.Offered)-float64(was.Offered), 0)
	// A sum can't shrink faster than it decays: one that did lost what a VM had told that is
	// gone now, and that stays used.
	grown := max(after, before*decay(since)) - before
	// The rate in between was taken to be the former; on average it was in the middle.
	a.level -= grown * (1 + since.Seconds()/memory.Seconds()/2)
	a.bound()
	if after > 0 {
		a.last = now
	}
}

// forget takes out what a VM said without taking it for used or not.
func (a *account) forget(was Use, now time.Time) {
	a.advance(now)
	a.othersUsed = max(a.othersUsed-float64(was.Used), 0)
	a.othersOffered = max(a.othersOffered-float64(was.Offered), 0)
}

// trust begins to count what a VM says that was not heard before.
func (a *account) trust(is Use, now time.Time) {
	a.advance(now)
	a.othersUsed += float64(is.Used)
	a.othersOffered += float64(is.Offered)
}

// reserve keeps a part of the limit for a VM that is not heard: of the rate from now on, and
// of the burst as if it had been used.
func (a *account) reserve(part float64, now time.Time) {
	a.advance(now)
	a.reserved = min(a.reserved+part, 1)
	a.level -= part * a.limit.Burst
	a.bound()
}
