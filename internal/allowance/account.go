package allowance

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

const (
	// demandSamples is the number of samples of the fleet's demand that are kept, one per sweep:
	// they cover the time until a VM counts as unresponsive.
	demandSamples = int(unresponsiveAfter / SweepEvery)
	// equalFraction is the fraction of a limit that is split evenly when shares are reserved for
	// unresponsive VMs; the rest is split by demand. Without it nothing would be reserved for a
	// VM that was idle when it was partitioned.
	equalFraction = 0.1
	// maxDebt bounds a debt, as the time in which the limit's rate pays it. A lowered limit or a
	// healed partition would cause a longer debt, and callers would still pay for it after the
	// window in which operators count use.
	maxDebt = 4 * time.Second
	// minCountingTime is the shortest counting time assumed when demand is extrapolated: a single
	// call right after the start says little.
	minCountingTime = 50 * time.Millisecond
	// forgetAfter is the time without a call or reported use after which the account of a
	// workspace for which no limit is set is dropped: if a limit is set again, its bucket would
	// be full in any case.
	forgetAfter = time.Minute
)

// account is the bucket of one workspace. The lock of the Limiter guards it.
type account struct {
	name       ids.Workspace // empty: the configuration sets no limit for it
	limit      Limit
	level      float64
	levelAt    time.Time // time of level
	lastActive time.Time // last call or report of use

	used, offered decayingSum // admitted by this VM, and demanded of it
	started       time.Time   // start of this VM, before which nothing was counted

	// Sums last reported by the responsive peers, in units.
	peersUsed, peersOffered float64
	reserved                float64 // fraction of the limit reserved for unresponsive VMs

	sequence uint64 // last result of nextSample, times 2^64

	demandHistory [demandSamples]float64 // the fleet's demand at the last sweeps
	sampleCount   int

	admitted, refused float64 // units, since the account was created
	refusals          int64
}

// goldenStep is 2^64 divided by the golden ratio.
const goldenStep = 0x9E3779B97F4A7C15

// nextSample returns a number in [0, 1) of a low-discrepancy sequence, so that the fraction of
// admitted calls stays close to the probability: with independent random numbers a VM that
// receives a few calls per second admits far fewer or more.
func (a *account) nextSample() float64 {
	a.sequence += goldenStep
	return float64(a.sequence>>11) / (1 << 53)
}

// advance updates the level to now.
func (a *account) advance(now time.Time) {
	dt := now.Sub(a.levelAt).Seconds()
	if dt <= 0 {
		return
	}
	a.levelAt = now
	if a.limit.Unlimited() {
		return
	}
	a.level += (a.limit.Rate*(1-a.reserved) - rateOf(a.peersUsed)) * dt
	a.clampLevel()
}

// clampLevel keeps the level between the largest debt and the burst.
func (a *account) clampLevel() {
	a.level = min(a.level, a.limit.Burst*(1-a.reserved))
	a.level = max(a.level, -a.limit.Rate*maxDebt.Seconds())
}

// setLimit puts a limit into force, raised or lowered, at once. Earlier use counts against the
// new limit up to the new limit's largest debt.
func (a *account) setLimit(limit Limit, now time.Time) {
	if limit == a.limit {
		return
	}
	a.advance(now)
	a.level += max(limit.Burst-a.limit.Burst, 0)
	a.limit = limit
	a.clampLevel()
}

// state returns the state for the verdict on a call, without DrainTime.
func (a *account) state(cost float64, now time.Time) State {
	return State{
		Limit: a.limit, Level: a.level, Reserved: a.reserved, Cost: cost,
		Demand: rateOf(a.demand(now) + a.peersOffered), ObservedDemand: rateOf(a.offered.value(now) + a.peersOffered),
	}
}

// demand returns the sum that the callers' demand on this VM sustains. It extrapolates the counted
// sum, which after a start holds only the calls since then. Without that, constant demand would
// look like rising demand, and VMs that start together would admit several times the rate.
func (a *account) demand(now time.Time) float64 {
	return a.offered.value(now) / (1 - decay(max(now.Sub(a.started), minCountingTime)))
}

// sampleDemand records the fleet's demand.
func (a *account) sampleDemand(now time.Time) {
	a.demandHistory[a.sampleCount%demandSamples] = a.demand(now) + a.peersOffered
	a.sampleCount++
}

// pastDemand returns the fleet's demand at the time when a VM that now counts as unresponsive
// last sent a message.
func (a *account) pastDemand() float64 { return a.demandHistory[a.sampleCount%demandSamples] }

// share returns the fraction of the limit that belongs to one of vms VMs, given the demand that
// it last reported. The admitted load is unsuitable: it fluctuates while demand exceeds the
// limit, and two sides of a partition that sampled it at different times reserved too little
// for each other.
func (a *account) share(demand float64, vms int) float64 {
	if a.limit.Unlimited() {
		return 1 / float64(vms)
	}
	equal := equalFraction * a.limit.Rate * decayTime.Seconds() / float64(vms)
	return min((demand+equal)/(max(a.pastDemand(), demand)+equal*float64(vms)), 1)
}

// updateReport replaces a VM's previous report by its current one, which arrived the duration
// since after the previous one.
func (a *account) updateReport(previous, current Use, since time.Duration, now time.Time) {
	a.advance(now)
	before, after := float64(previous.Used), float64(current.Used)
	a.peersUsed = max(a.peersUsed+after-before, 0)
	a.peersOffered = max(a.peersOffered+float64(current.Offered)-float64(previous.Offered), 0)
	// The sum of a VM cannot shrink faster than it decays. If a total shrinks faster, it no longer
	// includes a VM that is gone, and the use of that VM still counts.
	grown := max(after, before*decay(since)) - before
	// advance assumed the previous rate for the whole interval. On average the rate was halfway
	// between the previous and the current one.
	a.level -= grown * (1 + since.Seconds()/decayTime.Seconds()/2)
	a.clampLevel()
	if after > 0 {
		a.lastActive = now
	}
}

// removeReport drops a VM's last report and leaves the level as it is.
func (a *account) removeReport(last Use, now time.Time) {
	a.advance(now)
	a.peersUsed = max(a.peersUsed-float64(last.Used), 0)
	a.peersOffered = max(a.peersOffered-float64(last.Offered), 0)
}

// addReport adds the first report of a VM and leaves the level as it is.
func (a *account) addReport(first Use, now time.Time) {
	a.advance(now)
	a.peersUsed += float64(first.Used)
	a.peersOffered += float64(first.Offered)
}

// reserve reserves a fraction of the limit for an unresponsive VM: of the rate from now on, and
// of the burst as if that VM had used it.
func (a *account) reserve(fraction float64, now time.Time) {
	a.advance(now)
	a.reserved = min(a.reserved+fraction, 1)
	a.level -= fraction * a.limit.Burst
	a.clampLevel()
}
