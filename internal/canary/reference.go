package canary

import (
	"math"
	"time"
)

const (
	// referenceDecay is the time in which older counts of the reference decay to 1/e.
	referenceDecay = 3 * time.Second
	// minReferenceAnswers is the number of timed answers of the version in service that the
	// comparison of times needs.
	minReferenceAnswers = 10
	// priorCalls and priorFailed are the prior of a route's failure rate: 0.5 of 10 calls.
	priorCalls, priorFailed = 10, 0.5
	// recentGain is the weight of one answer among the recent ones.
	recentGain = 1. / 16
	// staleAnswers is the number of answers which the version in service would have given since its
	// last one, had it not stopped, from which the reference is stale; staleAfter is the least time
	// since then: each VM reports its counts several times within it.
	staleAnswers = 5
	staleAfter   = 500 * time.Millisecond
)

// reference holds the results of calls at the version in service, with which those of the canary
// are compared: decaying counts, and the distribution of the most recent answers, so that a pause
// of all machines that slows down both versions for a moment counts against neither.
type reference struct {
	calls, failed, timed float64
	times                [buckets]float64
	recent               [buckets]float64 // fractions of the recent timed answers, by bucket
	at                   time.Time
	timedAt              time.Time // when timed answers were last added
}

// add adds the results in c.
func (r *reference) add(c *Cell, now time.Time) {
	keep := math.Exp(-max(now.Sub(r.at), 0).Seconds() / referenceDecay.Seconds())
	r.at = now
	r.calls, r.failed, r.timed = r.calls*keep+float64(c.Calls), r.failed*keep+float64(c.Failed), r.timed*keep
	for i := range r.times {
		r.times[i] *= keep
	}
	added := 0.
	for i, n := range c.Times {
		r.times[i] += float64(n)
		added += float64(n)
	}
	if added > 0 {
		r.addRecent(c.Times, added)
		r.timed += added
		r.timedAt = now
	}
}

// addRecent adds answers, given by bucket, to the recent ones.
func (r *reference) addRecent(times []uint32, answers float64) {
	keep := math.Pow(1-recentGain, answers)
	if r.timedAt.IsZero() {
		keep = 0
	}
	for i := range r.recent {
		r.recent[i] *= keep
	}
	for i, n := range times {
		r.recent[i] += (1 - keep) * float64(n) / answers
	}
}

// failRate is the fraction of calls that fail at the version in service.
func (r *reference) failRate() float64 { return (r.failed + priorFailed) / (r.calls + priorCalls) }

// slow returns the first bucket that counts as slow, and the fraction of the answers of the
// version in service that fall into it or a later one: that of all answers or, if larger, that of
// the recent ones. It returns false if the version in service has given too few answers or has
// stopped giving any, so that the canary can't be compared with it.
func (r *reference) slow(now time.Time) (from int, part float64, ok bool) {
	if r.timed < minReferenceAnswers {
		return 0, 0, false
	}
	silent := now.Sub(r.timedAt)
	missed := r.timed / referenceDecay.Seconds() * silent.Seconds()
	if silent > staleAfter && missed > staleAnswers {
		return 0, 0, false
	}
	from = r.slowFrom()
	return from, max(sumFrom(&r.times, from)/r.timed, sumFrom(&r.recent, from)), true
}

// slowFrom returns the first bucket that counts as slow: half an octave beyond the one that holds
// the answer slower than all but slowTail of the others.
func (r *reference) slowFrom() int {
	above, from := 0.0, buckets
	for from > 0 && above+r.times[from-1] <= slowTail*r.timed {
		from--
		above += r.times[from]
	}
	return from + 1
}

func sumFrom(times *[buckets]float64, from int) (sum float64) {
	for i := from; i < buckets; i++ {
		sum += times[i]
	}
	return sum
}
