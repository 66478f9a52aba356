package canary

import (
	"math"
	"slices"
	"time"
)

// Verdict is the result of comparing a canary with the version in service.
type Verdict uint8

const (
	Undecided Verdict = iota // too little evidence so far
	Good
	Bad
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"open", "good", "bad"}[v] }

// Judge compares a canary with the version in service. It does no I/O and reads no clock.
type Judge interface {
	// Observe adds the calls in c, which are those that the cell has counted since it was last
	// observed.
	Observe(c Cell, now time.Time)
	// SetLoaded marks that from now on canary targets get as much work as in service.
	SetLoaded()
	// Verdict returns the verdict on the evidence so far.
	Verdict() Finding
}

// Finding is a verdict and the evidence behind it.
type Finding struct {
	Verdict
	Route     uint32  // hash of the name of the route on which the canary is worst; zero: all routes together
	Failed    float64 // log likelihood ratio of the evidence from failures against the canary
	Slow      float64 // log likelihood ratio of the evidence from slow answers
	Calls     uint32  // number of answers of the canary
	Tentative Verdict // verdict if no more evidence were to come; never Undecided
}

const (
	// referenceDecay is the time in which older counts of the reference decay to 1/e, so that
	// both versions are compared at the same time and a burst counts against neither.
	referenceDecay = 3 * time.Second
	// minReferenceAnswers is the number of timed answers of the version in service that the
	// comparison of times needs.
	minReferenceAnswers = 10
	// priorCalls and priorFailed are the prior of a route's failure rate: 0.5 of 10 calls.
	priorCalls, priorFailed = 10, 0.5

	// A failure rate on a route is good up to goodFailExcess above that of the version in
	// service, and bad from badFailExcess above the good rate. The tests compare these two rates.
	badFailExcess, goodFailExcess = 0.18, 0.03
	// The same limits for the fraction of slow answers. An answer is slow if its time is more
	// than half an octave above the histogram bucket that holds the 90th percentile (1 - slowTail)
	// of the version in service.
	badSlowExcess, goodSlowExcess = 0.30, 0.05
	slowTail                      = 0.1

	// badThreshold is the log likelihood ratio at which a canary is bad. Chance gives such a
	// ratio about once in a thousand (e^-7).
	badThreshold = 7
	// goodThreshold is the log likelihood ratio at which a canary is good on a route.
	goodThreshold = -3
	// tentativeBadThreshold is the log likelihood ratio from which the tentative verdict is
	// bad. It is lower than badThreshold, since no more evidence is to come.
	tentativeBadThreshold = 2.3
	// suspectThreshold is the log likelihood ratio from which a single target counts as
	// suspect. Lower values are chance.
	suspectThreshold = 1.5
	// maxPerTarget bounds the evidence of one target against its version, so that one broken
	// target does not make its version bad.
	maxPerTarget = badThreshold / 2.
	// trimDivisor sets how many targets are left out of a sum, the worst ones first, for the
	// same reason: one in four.
	trimDivisor = 4
	// severalTargets is the number of targets from which more than one is loaded at a time.
	severalTargets = 4
	// minRouteShare is the fraction of a service's calls from which the evidence on a route is
	// required for the verdict good.
	minRouteShare = 0.05
)

// Sequential updates its verdict with every answer. A CUSUM (cumulative sum), which does not
// carry credit for earlier good answers, detects a bad version, also one that turns bad later.
// An SPRT (sequential probability ratio test) detects a good one. Sequential keeps these sums
// for each route and canary target. Not safe for concurrent use.
type Sequential struct {
	routes map[uint32]*routeEvidence
	calls  uint32
	loaded bool
}

var _ Judge = (*Sequential)(nil)

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	reference reference
	targets   map[uint32]*targetEvidence
	timed     uint32 // answers of the canary with a time
	// failed and slow are joint CUSUMs over the targets that were not suspect before they
	// were loaded.
	failed, slow float64
}

// targetEvidence is the evidence on one canary target.
type targetEvidence struct {
	failed, slow sums
	// suspect is set if the target looked bad before it was loaded.
	suspect bool
}

// sums are the log likelihood sums of one kind of evidence.
type sums struct {
	cusum       float64 // cumulative sum, never below zero
	loadedCUSUM float64 // cumulative sum since the target was loaded
	sprt        float64 // sum of the sequential probability ratio test
}

// reference holds decaying counts of the results of calls at the version in service.
type reference struct {
	calls, failed, timed float64
	times                [buckets]float64
	at                   time.Time
}

func (r *reference) add(c *Cell, now time.Time) {
	keep := math.Exp(-max(now.Sub(r.at), 0).Seconds() / referenceDecay.Seconds())
	r.at = now
	r.calls, r.failed, r.timed = r.calls*keep+float64(c.Calls), r.failed*keep+float64(c.Failed), r.timed*keep
	for i := range r.times {
		r.times[i] *= keep
	}
	for i, n := range c.Times {
		r.times[i] += float64(n)
		r.timed += float64(n)
	}
}

// failRate is the fraction of calls that fail at the version in service.
func (r *reference) failRate() float64 { return (r.failed + priorFailed) / (r.calls + priorCalls) }

// slowFrom returns the first bucket that counts as slow, and the fraction of the answers of the
// version in service that fall into it or a later one.
func (r *reference) slowFrom() (from int, part float64) {
	above := 0.0
	from = buckets
	for from > 0 && above+r.times[from-1] <= slowTail*r.timed {
		from--
		above += r.times[from]
	}
	from++ // half an octave beyond the tail
	above = 0
	for i := from; i < buckets; i++ {
		above += r.times[i]
	}
	return from, above / r.timed
}

// allRoutes is the id of all routes together. The joint evidence detects a version that is bad
// on several routes sooner.
const allRoutes = 0

// Observe implements Judge.
func (s *Sequential) Observe(c Cell, now time.Time) {
	if c.Canary {
		s.calls += c.Calls
	}
	for _, id := range [...]uint32{c.Route, allRoutes} {
		r := s.route(id)
		if c.Canary {
			r.observe(&c, s.loaded)
		} else {
			r.reference.add(&c, now)
		}
	}
}

func (s *Sequential) route(id uint32) *routeEvidence {
	if s.routes == nil {
		s.routes = map[uint32]*routeEvidence{}
	}
	r := s.routes[id]
	if r == nil {
		r = &routeEvidence{targets: map[uint32]*targetEvidence{}}
		s.routes[id] = r
	}
	return r
}

func (r *routeEvidence) observe(c *Cell, loaded bool) {
	t := r.targets[c.Target]
	if t == nil {
		t = &targetEvidence{}
		r.targets[c.Target] = t
	}
	ref := &r.reference
	r.add(t, &t.failed, &r.failed, newRateTest(ref.failRate(), goodFailExcess, badFailExcess), loaded, c.Failed, c.Calls)
	if ref.timed < minReferenceAnswers {
		return
	}
	from, part := ref.slowFrom()
	slow, timed := uint32(0), uint32(0)
	for i, n := range c.Times {
		timed += n
		if i >= from {
			slow += n
		}
	}
	r.timed += timed
	r.add(t, &t.slow, &r.slow, newRateTest(part, goodSlowExcess, badSlowExcess), loaded, slow, timed)
}

// add adds hits (failed or slow calls) out of calls to the sums of a target and to the joint
// sum of its route.
func (r *routeEvidence) add(t *targetEvidence, s *sums, joint *float64, p rateTest, loaded bool, hits, calls uint32) {
	s.sprt = clampSPRT(s.sprt + p.logLikelihood(hits, calls))
	s.cusum = p.cusum(s.cusum, hits, calls)
	if !loaded {
		t.suspect = t.suspect || s.cusum >= suspectThreshold
		return
	}
	if !t.suspect || r.majoritySuspect() {
		s.loadedCUSUM = p.cusum(s.loadedCUSUM, hits, calls)
		*joint = p.cusum(*joint, hits, calls)
	}
}

// majoritySuspect reports whether most targets were suspect before they were loaded. Then the
// fault lies with the version and not with single targets.
func (r *routeEvidence) majoritySuspect() bool {
	n := 0
	for _, t := range r.targets {
		if t.suspect {
			n++
		}
	}
	return 2*n > len(r.targets)
}

// SetLoaded implements Judge.
func (s *Sequential) SetLoaded() { s.loaded = true }

// clampSPRT keeps the sum of a sequential test near its thresholds, so that later evidence can
// still change the result.
func clampSPRT(x float64) float64 { return min(max(x, 2*goodThreshold), badThreshold) }

// rateTest is a likelihood ratio test of two hit rates: a good one and a bad one. hit and miss are
// the log likelihood ratios of one call.
type rateTest struct{ hit, miss float64 }

// newRateTest returns a test for the good rate base+goodExcess and a bad rate badExcess above it.
// The bad rate is at most 0.97, so that the logarithms are finite.
func newRateTest(base, goodExcess, badExcess float64) rateTest {
	p0 := min(base+goodExcess, 0.97-badExcess)
	p1 := p0 + badExcess
	return rateTest{hit: math.Log(p1 / p0), miss: math.Log((1 - p1) / (1 - p0))}
}

// logLikelihood returns the log likelihood ratio of hits out of calls.
func (p rateTest) logLikelihood(hits, calls uint32) float64 {
	return float64(hits)*p.hit + float64(calls-min(hits, calls))*p.miss
}

// cusum adds hits out of calls to a cumulative sum. It adds the misses first, since the order
// of the calls is unknown.
func (p rateTest) cusum(s float64, hits, calls uint32) float64 {
	s = max(s+float64(calls-min(hits, calls))*p.miss, 0)
	return min(s+float64(hits)*p.hit, badThreshold)
}

// Verdict implements Judge.
func (s *Sequential) Verdict() Finding {
	f := Finding{Calls: s.calls, Tentative: Good}
	all := s.route(allRoutes).reference.calls
	good := s.calls > 0
	for id, r := range s.routes {
		failed := evidenceAgainst(r.targets, r.failed, func(t *targetEvidence) *sums { return &t.failed })
		slow := evidenceAgainst(r.targets, r.slow, func(t *targetEvidence) *sums { return &t.slow })
		allFailed := trimmedSum(r.targets, func(t *targetEvidence) float64 { return t.failed.sprt })
		allSlow := trimmedSum(r.targets, func(t *targetEvidence) float64 { return t.slow.sprt })
		if max(failed, slow) >= max(f.Failed, f.Slow) {
			f.Route, f.Failed, f.Slow = id, failed, slow
		}
		if max(allFailed, allSlow) > tentativeBadThreshold || max(failed, slow) > tentativeBadThreshold+singleTargetAllowance(r.targets) {
			f.Tentative = Bad
		}
		if r.reference.calls >= minRouteShare*all && (allFailed > goodThreshold || r.timed > 0 && allSlow > goodThreshold) {
			good = false
		}
	}
	switch {
	case max(f.Failed, f.Slow) >= badThreshold:
		f.Verdict, f.Tentative = Bad, Bad
	case good:
		f.Verdict = Good
	}
	return f
}

// singleTargetAllowance is the evidence that one of several targets may contribute without
// counting against the version.
func singleTargetAllowance(targets map[uint32]*targetEvidence) float64 {
	if len(targets) < severalTargets {
		return 0
	}
	return maxPerTarget
}

// evidenceAgainst returns the evidence of one kind against the version: the larger of the joint
// sum over loaded targets and the trimmed sum over all targets. maxPerTarget keeps one target
// of several from deciding.
func evidenceAgainst(targets map[uint32]*targetEvidence, joint float64, kind func(*targetEvidence) *sums) float64 {
	loaded, total := 0, 0.0
	for _, t := range targets {
		if x := kind(t).loadedCUSUM; x > 0 {
			loaded++
			total += min(x, maxPerTarget)
		}
	}
	if loaded > 1 || loaded == 1 && len(targets) >= severalTargets {
		joint = min(joint, total)
	}
	return max(joint, trimmedSum(targets, func(t *targetEvidence) float64 {
		switch x := kind(t).cusum; {
		case len(targets) == 1:
			return x
		case x < suspectThreshold:
			return 0 // small sums are chance; over many targets they would add up
		default:
			return min(x, maxPerTarget)
		}
	}))
}

// trimmedSum sums the evidence of the targets without the worst one in trimDivisor.
func trimmedSum(targets map[uint32]*targetEvidence, sum func(*targetEvidence) float64) float64 {
	all := make([]float64, 0, len(targets))
	for _, t := range targets {
		all = append(all, sum(t))
	}
	slices.Sort(all)
	total := 0.0
	for _, x := range all[:len(all)-len(all)/trimDivisor] {
		total += x
	}
	return total
}
