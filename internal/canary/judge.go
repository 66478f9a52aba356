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
	timed     uint32           // answers of the canary with a time
	waiting   []waitingAnswers // answers of the canary whose times have not been judged
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
			r.observe(&c, s.loaded, now)
		} else {
			r.reference.add(&c, now)
			r.judgeTimes(s.loaded, now)
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

func (r *routeEvidence) observe(c *Cell, loaded bool, now time.Time) {
	t := r.targets[c.Target]
	if t == nil {
		t = &targetEvidence{}
		r.targets[c.Target] = t
	}
	ref := &r.reference
	r.add(t, &t.failed, &r.failed, newRateTest(ref.failRate(), goodFailExcess, badFailExcess), loaded, c.Failed, c.Calls)
	if _, _, ok := ref.slow(now); ok && len(c.Times) > 0 {
		w := waitingAnswers{target: c.Target, times: c.Times, at: now}
		r.timed += w.count()
		r.waiting = append(r.waiting, w)
	}
}

// waitingAnswers holds the times of answers of one canary target until the version in service has
// given answers after them.
type waitingAnswers struct {
	target uint32
	times  []uint32 // histogram by bucket
	at     time.Time
}

const (
	// judgeDelay is the time until the times of answers are compared with the reference. By then
	// all VMs have reported the answers of the version in service from the same time.
	judgeDelay = 200 * time.Millisecond
	// maxJudgeDelay is the time after which answers are dropped that could not be compared.
	maxJudgeDelay = time.Second
)

func (w *waitingAnswers) count() (n uint32) {
	for _, k := range w.times {
		n += k
	}
	return n
}

// countSlow returns the number of answers in a bucket from the given one on.
func (w *waitingAnswers) countSlow(from int) (n uint32) {
	for i := from; i < len(w.times); i++ {
		n += w.times[i]
	}
	return n
}

// judgeTimes compares the times of the canary's answers with those of the version in service around
// them.
func (r *routeEvidence) judgeTimes(loaded bool, now time.Time) {
	from, part, ok := r.reference.slow(now)
	if !ok {
		return
	}
	rest := r.waiting[:0]
	for _, w := range r.waiting {
		switch waited := now.Sub(w.at); {
		case waited < judgeDelay:
			rest = append(rest, w)
		case waited <= maxJudgeDelay:
			t := r.targets[w.target]
			p := newRateTest(part, goodSlowExcess, badSlowExcess)
			r.add(t, &t.slow, &r.slow, p, loaded, w.countSlow(from), w.count())
		}
	}
	r.waiting = rest
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
