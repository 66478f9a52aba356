package canary

import (
	"math"
	"slices"
	"time"
)

// Verdict is what the evidence says of a canary.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota // not enough is known
	Good
	Bad
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"open", "good", "bad"}[v] }

// Judge compares a canary with the version in service. It does no I/O and reads no clock.
type Judge interface {
	// Observe takes in how calls ended that were counted since the cell was last seen.
	Observe(c Cell, now time.Time)
	// SetLoaded says that from now on targets get as much work as they would have in service.
	SetLoaded()
	// Verdict returns what the evidence says.
	Verdict() Finding
}

// Finding is a verdict and what it rests on.
type Finding struct {
	Verdict
	Route     uint32  // the route on which the canary is worst, by the hash of its name; zero: all together
	Failed    float64 // how strongly failures speak against it, as a log likelihood ratio
	Slow      float64 // the same of slow answers
	Calls     uint32  // answers of the canary
	Tentative Verdict // what the evidence would say if there were no more to come; never Open
}

const (
	// referenceMemory is within how long the reference forgets all but a 1/e: both versions
	// are compared at the same time, so that a burst is held against neither.
	referenceMemory = 3 * time.Second
	// referenceLeast is how many answers of the version in service make a reference.
	referenceLeast = 10
	// priorCalls and priorFailed stand for what is known of a route before that.
	priorCalls, priorFailed = 10, 0.5

	// A version counts as bad on a route if it fails failedMore of the calls more than the one
	// in service; up to failedSame more is taken for chance.
	failedMore, failedSame = 0.18, 0.03
	// The same of answers that are slower than all but a tenth of those of the version in
	// service, and a half octave beyond.
	slowMore, slowSame = 0.30, 0.05
	slowTail           = 0.1

	// badAt is the log likelihood ratio at which a canary is bad: one in a thousand.
	badAt = 7
	// goodAt is that at which it is good on a route, and leansBadAt that from which little
	// evidence counts against it where no more is to come.
	goodAt     = -3
	leansBadAt = 2.3
	// suspectAt is that from which a target may be broken by itself; less is chance.
	suspectAt = 1.5
	// targetMost bounds what one target says against its version, so that a target that is
	// broken is not taken for a version that is.
	targetMost = badAt / 2.
	// spared is one in how many targets is left out, the worst ones first, for the same reason.
	spared = 4
	// severalTargets is from how many targets more than one is loaded at a time.
	severalTargets = 4
	// routeLeast is the part of a service's calls from which a route must speak for the canary.
	routeLeast = 0.05
)

// Sequential judges after every answer: by a cumulative sum that forgets good answers, so that
// a version which turns bad later is found as soon, and by a sequential test for good. It
// holds two sums for each route and canary target.
type Sequential struct {
	routes map[uint32]*routeEvidence
	calls  uint32
	loaded bool
}

var _ Judge = (*Sequential)(nil)

// routeEvidence is what is known of one route.
type routeEvidence struct {
	reference reference
	targets   map[uint32]*targetEvidence
	timed     uint32
	// failed and slow are cumulative sums over targets that were well until they were loaded.
	failed, slow float64
}

// targetEvidence is what speaks against one canary target.
type targetEvidence struct {
	failed, slow sums
	// suspect tells that the target was bad before it was loaded.
	suspect bool
}

// sums are what one kind of evidence comes to.
type sums struct {
	worst  float64 // a cumulative sum, which forgets what is good
	loaded float64 // the same since the target was loaded
	all    float64 // the sum of the sequential test
}

// reference is how calls ended lately at the version in service.
type reference struct {
	calls, failed, timed float64
	times                [buckets]float64
	at                   time.Time
}

func (r *reference) add(c *Cell, now time.Time) {
	keep := math.Exp(-max(now.Sub(r.at), 0).Seconds() / referenceMemory.Seconds())
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

// failRate is the part of calls that fail at the version in service.
func (r *reference) failRate() float64 { return (r.failed + priorFailed) / (r.calls + priorCalls) }

// slowFrom returns the first class of time that counts as slow, and the part of the answers of
// the version in service that are in it or beyond.
func (r *reference) slowFrom() (from int, part float64) {
	above := 0.0
	from = buckets
	for from > 0 && above+r.times[from-1] <= slowTail*r.timed {
		from--
		above += r.times[from]
	}
	from++ // half an octave more
	above = 0
	for i := from; i < buckets; i++ {
		above += r.times[i]
	}
	return from, above / r.timed
}

// allRoutes stands for all routes together: what is bad on several of them is found sooner so.
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
	r.add(t, &t.failed, &r.failed, newTest(ref.failRate(), failedSame, failedMore), loaded, c.Failed, c.Calls)
	if ref.timed < referenceLeast {
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
	r.add(t, &t.slow, &r.slow, newTest(part, slowSame, slowMore), loaded, slow, timed)
}

// add adds so many hits of so many calls to a target's sums, and to that of its route.
func (r *routeEvidence) add(t *targetEvidence, s *sums, joint *float64, p test, loaded bool, hits, calls uint32) {
	s.all = clampSum(s.all + p.ratio(hits, calls))
	s.worst = p.sum(s.worst, hits, calls)
	if !loaded {
		t.suspect = t.suspect || s.worst >= suspectAt
		return
	}
	if !t.suspect || r.mostSuspect() {
		s.loaded = p.sum(s.loaded, hits, calls)
		*joint = p.sum(*joint, hits, calls)
	}
}

// mostSuspect tells whether most targets were bad before they were loaded: then it is not they
// that are broken.
func (r *routeEvidence) mostSuspect() bool {
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

// clampSum keeps the sum of a sequential test near its bounds, so that what comes later counts.
func clampSum(x float64) float64 { return min(max(x, 2*goodAt), badAt) }

// test compares two parts of calls that end in a way: one that is usual, and one that is bad.
type test struct{ hit, miss float64 } // log likelihood ratios of one call

func newTest(usual, same, more float64) test {
	p0 := min(usual+same, 0.97-more)
	p1 := p0 + more
	return test{hit: math.Log(p1 / p0), miss: math.Log((1 - p1) / (1 - p0))}
}

// ratio is what so many hits of so many calls say.
func (p test) ratio(hits, calls uint32) float64 {
	return float64(hits)*p.hit + float64(calls-min(hits, calls))*p.miss
}

// sum adds them to a cumulative sum, the misses first: in which order they came is not known.
func (p test) sum(s float64, hits, calls uint32) float64 {
	s = max(s+float64(calls-min(hits, calls))*p.miss, 0)
	return min(s+float64(hits)*p.hit, badAt)
}

// Verdict implements Judge.
func (s *Sequential) Verdict() Finding {
	f := Finding{Calls: s.calls, Tentative: Good}
	all := s.route(allRoutes).reference.calls
	good := s.calls > 0
	for id, r := range s.routes {
		failed := against(r.targets, r.failed, func(t *targetEvidence) *sums { return &t.failed })
		slow := against(r.targets, r.slow, func(t *targetEvidence) *sums { return &t.slow })
		allFailed := most(r.targets, func(t *targetEvidence) float64 { return t.failed.all })
		allSlow := most(r.targets, func(t *targetEvidence) float64 { return t.slow.all })
		if max(failed, slow) >= max(f.Failed, f.Slow) {
			f.Route, f.Failed, f.Slow = id, failed, slow
		}
		if max(allFailed, allSlow) > leansBadAt || max(failed, slow) > leansBadAt+oneTarget(r.targets) {
			f.Tentative = Bad
		}
		if r.reference.calls >= routeLeast*all && (allFailed > goodAt || r.timed > 0 && allSlow > goodAt) {
			good = false
		}
	}
	switch {
	case max(f.Failed, f.Slow) >= badAt:
		f.Verdict, f.Tentative = Bad, Bad
	case good:
		f.Verdict = Good
	}
	return f
}

// oneTarget is what one of several targets may say without speaking against the version.
func oneTarget(targets map[uint32]*targetEvidence) float64 {
	if len(targets) < severalTargets {
		return 0
	}
	return targetMost
}

// against is what one kind of evidence says against the version: by targets, whether they are loaded
// or not, and by those that are loaded. One target of several says too little.
func against(targets map[uint32]*targetEvidence, joint float64, kind func(*targetEvidence) *sums) float64 {
	loaded, total := 0, 0.0
	for _, t := range targets {
		if x := kind(t).loaded; x > 0 {
			loaded++
			total += min(x, targetMost)
		}
	}
	if loaded > 1 || loaded == 1 && len(targets) >= severalTargets {
		joint = min(joint, total)
	}
	return max(joint, most(targets, func(t *targetEvidence) float64 {
		switch x := kind(t).worst; {
		case len(targets) == 1:
			return x
		case x < suspectAt:
			return 0 // the small sums of many targets are chance
		default:
			return min(x, targetMost)
		}
	}))
}

// most adds up what most targets say, the worst of several left out.
func most(targets map[uint32]*targetEvidence, sum func(*targetEvidence) float64) float64 {
	all := make([]float64, 0, len(targets))
	for _, t := range targets {
		all = append(all, sum(t))
	}
	slices.Sort(all)
	total := 0.0
	for _, x := range all[:len(all)-len(all)/spared] {
		total += x
	}
	return total
}
