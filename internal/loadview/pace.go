package loadview

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// The pace of a target is its measured over its predicted time until the first event, relative to the
// other targets of its service: a general overload slows all targets alike and changes no pace.
//
// A VM of a large fleet sends too few calls to each target to tell a slow one from an unlucky answer, so
// VMs report their sums. A VM reports a target if its own answers stand out, and also if another VM
// reports it: sums of only those VMs that had slow answers would make every target look slow.

const (
	// paceTime is the time constant of the sums. At four answers a second from a target, as in a fleet of
	// 140 engines with 540 calls/s, they hold about twelve answers, enough to tell a target 3.5 times
	// slower from the others, and follow a recovery within 10 s.
	paceTime = 3 * time.Second
	// slowPace is the pace from which a target counts as slow, normalPace the one below which it no
	// longer does.
	slowPace   = 2
	normalPace = 1.5
	// minSlowAnswers is the decayed number of answers of at least slowPace that a target needs to count
	// as slow, so that two unlucky answers are not enough.
	minSlowAnswers = 2.2
	// minSlowFraction is the fraction of slow answers that a target needs to count as slow; at half of it
	// it no longer does. Once a target that was 7 times slower has recovered, its mean falls below
	// normalPace after two paceTime, this fraction below the bound after one.
	minSlowFraction = 0.5
	// paceDwell is how long a target must stand out before it counts as slow: two rounds of reports in a
	// fleet of 66 VMs, and about six over the tree, in which the other VMs add their answers.
	paceDwell = time.Second
	// minPaceAnswers is the decayed number of answers below which a target no longer counts as slow.
	// Calls then find out.
	minPaceAnswers = 0.5
	// minOwnAnswers is the decayed number of answers below which a VM's own sums of a target are dropped.
	minOwnAnswers = 0.05
	// minReferenceAnswers is the decayed number of answers of the other targets that a VM needs to
	// compare a target with them.
	minReferenceAnswers = 3
	// maxAnswerPace bounds the weight of one answer, and maxPace the pace of a target. Beyond it a
	// further increase changes no choice.
	maxAnswerPace = 8
	maxPace       = 8
	// Weights, in answers, of the assumption that a target is as fast as the others: of a VM's own
	// sums to report the target, of the sums of all VMs, and of those of one failure domain, which are
	// compared with the sums of all VMs.
	seedPrior   = 1
	fleetPrior  = 1
	domainPrior = 2
	// paceEvery is the interval at which paces are computed.
	paceEvery = 150 * time.Millisecond
	// MaxPaces is the number of targets in a VM's report.
	MaxPaces = 16
	// maxPlainRoutes bounds the routes whose mean times are kept.
	maxPlainRoutes = 1024
	// plainRouteTTL is how long a route without calls is kept once there are maxPlainRoutes. Without it,
	// replicas of later routes would never be judged.
	plainRouteTTL = 10 * time.Minute
)

// PaceSums are decaying sums over the answers of one target.
type PaceSums struct {
	Answers   float64
	Slow      float64 // answers that took at least slowPace times as long as those of the other targets
	Measured  float64 // seconds, divided by the reference: the mean ratio of the other targets
	Predicted float64 // seconds
}

func (s PaceSums) plus(o PaceSums) PaceSums {
	return PaceSums{s.Answers + o.Answers, s.Slow + o.Slow, s.Measured + o.Measured, s.Predicted + o.Predicted}
}

func (s PaceSums) times(f float64) PaceSums {
	return PaceSums{s.Answers * f, s.Slow * f, s.Measured * f, s.Predicted * f}
}

// minus subtracts sums that are part of s; rounding errors leave no negative sums.
func (s PaceSums) minus(o PaceSums) PaceSums {
	return PaceSums{max(s.Answers-o.Answers, 0), max(s.Slow-o.Slow, 0), max(s.Measured-o.Measured, 0), max(s.Predicted-o.Predicted, 0)}
}

// maxPaceSum bounds each sum of a report, to keep malformed reports out of the totals.
const maxPaceSum = 1e6

func (s PaceSums) valid() bool {
	for _, v := range []float64{s.Answers, s.Slow, s.Measured, s.Predicted} {
		if !(v >= 0 && v <= maxPaceSum) { // also false for NaN
			return false
		}
	}
	return s.Answers > 0 && s.Predicted > 0 && s.Slow <= s.Answers && s.Measured <= 2*maxAnswerPace*s.Predicted
}

// pace returns the mean ratio, drawn towards expected by the weight of prior answers.
func (s PaceSums) pace(expected, prior float64) float64 {
	if s.Answers <= 0 || s.Predicted <= 0 {
		return expected
	}
	return (s.Answers*s.Measured/s.Predicted + prior*expected) / (s.Answers + prior)
}

// Pace is what the VMs of one failure domain report of a target.
type Pace struct {
	Target ids.Target
	Domain uint16 // PaceDomain of the failure domain
	Seed   bool   // it stands out by the answers of one of the VMs alone
	PaceSums
}

// Valid reports whether the sums are plausible.
func (p *Pace) Valid() bool { return p.valid() }

// Plus returns the sum of two reports of the same target and failure domain.
func (p Pace) Plus(o Pace) Pace {
	p.Seed, p.PaceSums = p.Seed || o.Seed, p.plus(o.PaceSums)
	return p
}

// Score ranks reports: the higher, the more likely the target is slow.
func (p *Pace) Score() float64 { return p.pace(1, fleetPrior) }

// PaceDomain returns the number of a failure domain in reports.
func PaceDomain(d ids.FailureDomain) uint16 { return uint16(xxh3.HashString(string(d))) }

// targetPace is the pace of one target, as part of targetLoad.
type targetPace struct {
	service   string
	own       PaceSums // Measured is not divided by the reference
	at        time.Time
	factor    float64   // of all VMs' answers; not limited to targets that count as slow
	reported  bool      // by other VMs
	seeded    bool      // another VM reports it with Seed
	slow      bool      // it counts as slow
	counted   bool      // the sums of its service include its own sums
	standsOut time.Time // since when; zero: it doesn't
}

// current returns the own sums at the time now.
func (p *targetPace) current(now time.Time) PaceSums { return p.own.times(paceDecay(now.Sub(p.at))) }

func paceDecay(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-d.Seconds() / paceTime.Seconds())
}

// value is the factor on the predicted time; 1 unless the target counts as slow.
func (p *targetPace) value() float64 {
	if !p.slow {
		return 1
	}
	return min(max(p.factor, 1), maxPace)
}

// peerPaces is the last report of one VM.
type peerPaces struct {
	incarnation int64
	seq         uint64
	at          time.Time
	paces       []Pace
}

// paces is the Tracker's state of paces. Tracker.mu guards it.
type paces struct {
	domain    uint16
	services  map[string]*servicePace
	routes    map[string]*plainMean // by route
	peers     map[ids.VM]*peerPaces
	fleet     peerPaces // over the tree
	ownIn     bool      // fleet includes this VM's own sums
	forgotten map[ids.Target]time.Time
	at        time.Time                  // when the paces were last computed
	toReport  map[ids.Target]*targetPace // those that stood out then
}

// servicePace are the sums over the targets of a service that do not count as slow.
type servicePace struct {
	PaceSums
	at    time.Time
	plain float64 // mean seconds until the response of calls without a prompt
}

// plainMean is the mean time until the response of a route's calls.
type plainMean struct {
	seconds float64
	n       int
	at      time.Time // of the last response
}

// plainGain is the least weight of one response in the mean time of its route.
const plainGain = 0.02

// SetFailureDomain sets the failure domain of this VM. Answers of other domains count less: a target may
// be slow for the callers of one domain only.
func (t *Tracker) SetFailureDomain(d ids.FailureDomain) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.domain = PaceDomain(d)
}

// ObservePace records the time until the first event of a call with a prompt. predicted is the prediction
// for a target that isn't slow: without the factor Load.Slowdown, which would hide what it corrects. It
// adds MinTTFT to the prediction.
func (t *Tracker) ObservePace(target ids.Target, service string, predicted, measured time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addAnswer(target, service, (max(predicted, 0) + MinTTFT).Seconds(), measured.Seconds(), now)
}

// ObservePlain records the time until the response of a call without a prompt. It is compared with the
// mean of the route.
func (t *Tracker) ObservePlain(target ids.Target, service, route string, measured time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.paces.routes[route]
	if m == nil {
		if len(t.paces.routes) >= maxPlainRoutes {
			return
		}
		if t.paces.routes == nil {
			t.paces.routes = map[string]*plainMean{}
		}
		m = &plainMean{}
		t.paces.routes[route] = m
	}
	seconds := max(measured, 0).Seconds()
	if m.n > 0 && m.seconds > 0 { // one response that takes minutes must not dominate the mean
		seconds = min(seconds, maxAnswerPace*m.seconds)
	}
	m.n++
	m.at = now
	m.seconds += max(plainGain, 1/float64(m.n)) * (seconds - m.seconds)
	if m.seconds <= 0 {
		return
	}
	t.addAnswer(target, service, m.seconds, measured.Seconds(), now)
	t.paces.services[service].plain = m.seconds
}

// addAnswer adds one answer to the sums of its target and service. The caller holds t.mu.
func (t *Tracker) addAnswer(target ids.Target, service string, predicted, measured float64, now time.Time) {
	p := &t.loadOf(target).pace
	if t.paces.services == nil {
		t.paces.services = map[string]*servicePace{}
	}
	s := t.paces.services[service]
	if s == nil {
		s = &servicePace{at: now}
		t.paces.services[service] = s
	}
	if p.service != service {
		p.own, p.service = PaceSums{}, service
	}
	p.own, p.at = p.current(now), now
	if p.own.Answers == 0 {
		p.counted = !p.slow
	}
	answer := PaceSums{Answers: 1, Measured: max(measured, 0), Predicted: predicted}
	if ref, ok := s.reference(p, now); ok {
		answer.Measured = min(answer.Measured, maxAnswerPace*ref*predicted)
		if answer.Measured >= slowPace*ref*predicted {
			answer.Slow = 1
		}
	} else {
		answer.Measured = min(answer.Measured, maxAnswerPace*predicted)
	}
	p.own = p.own.plus(answer)
	if p.counted {
		s.PaceSums, s.at = s.times(paceDecay(now.Sub(s.at))).plus(answer), now
	}
}

// reference returns the mean ratio of the service's targets that are not slow, without p; false: there
// are too few answers.
func (s *servicePace) reference(p *targetPace, now time.Time) (float64, bool) {
	sums := s.times(paceDecay(now.Sub(s.at)))
	if p.counted {
		sums = sums.minus(p.current(now))
	}
	if sums.Answers < minReferenceAnswers || sums.Predicted <= 0 || sums.Measured <= 0 {
		return 0, false
	}
	return sums.Measured / sums.Predicted, true
}

// relative returns the own sums of a target with Measured divided by the reference; false: there are
// none, or there is no reference.
func (t *Tracker) relative(p *targetPace, now time.Time) (PaceSums, bool) {
	if p.own.Answers == 0 {
		return PaceSums{}, false
	}
	s := t.paces.services[p.service]
	if s == nil {
		return PaceSums{}, false
	}
	ref, ok := s.reference(p, now)
	out := p.current(now)
	if !ok || out.Answers < minOwnAnswers {
		return PaceSums{}, false
	}
	out.Measured = min(out.Measured/ref, maxAnswerPace*out.Predicted)
	return out, true
}

// SetPeerPaces replaces a peer's report by a new one. It ignores a report that is not newer than the last,
// by incarnation and sequence number.
func (t *Tracker) SetPeerPaces(vm ids.VM, incarnation int64, seq uint64, all []Pace, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.paces.peers[vm]
	if old != nil && (incarnation < old.incarnation || incarnation == old.incarnation && seq <= old.seq) {
		return
	}
	if len(all) == 0 && old == nil {
		return
	}
	if t.paces.peers == nil {
		t.paces.peers = map[ids.VM]*peerPaces{}
	}
	t.paces.peers[vm] = &peerPaces{incarnation, seq, now, all[:min(len(all), MaxPaces)]}
}

// SetFleetPaces replaces the sums over the tree. includesOwn is set if they include this VM's own.
func (t *Tracker) SetFleetPaces(all []Pace, includesOwn bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces.fleet, t.paces.ownIn = peerPaces{at: now, paces: all}, includesOwn
}

// merged are the sums of several VMs of one target.
type merged struct {
	all, domain PaceSums
	seeded      bool
}

// slowFraction is the fraction of slow answers in the own failure domain, drawn towards that of all.
func (m *merged) slowFraction() float64 {
	if m.all.Answers <= 0 {
		return 0
	}
	return (m.domain.Slow + domainPrior*m.all.Slow/m.all.Answers) / (m.domain.Answers + domainPrior)
}

// mergePaces adds up the reports of other VMs. The caller holds t.mu.
func (t *Tracker) mergePaces(now time.Time) (sums map[ids.Target]*merged, ownIn bool) {
	p := &t.paces
	sums = map[ids.Target]*merged{}
	add := func(r *peerPaces) {
		f := paceDecay(now.Sub(r.at))
		for i := range r.paces {
			e := &r.paces[i]
			if at, ok := p.forgotten[e.Target]; ok && now.Sub(at) < peerLoadTTL {
				continue // of the earlier incarnation
			}
			if !e.valid() {
				continue
			}
			m := sums[e.Target]
			if m == nil {
				m = &merged{}
				sums[e.Target] = m
			}
			s := e.times(f)
			m.all, m.seeded = m.all.plus(s), m.seeded || e.Seed
			if e.Domain == p.domain {
				m.domain = m.domain.plus(s)
			}
		}
	}
	if now.Sub(p.fleet.at) <= peerLoadTTL {
		add(&p.fleet)
		return sums, p.ownIn
	}
	for vm, r := range p.peers {
		if now.Sub(r.at) > peerLoadTTL {
			delete(p.peers, vm)
			continue
		}
		add(r)
	}
	return sums, false
}

// refreshPaces computes the paces, at most every paceEvery. The caller holds t.mu.
func (t *Tracker) refreshPaces(now time.Time) {
	if now.Sub(t.paces.at) < paceEvery {
		return
	}
	t.paces.at = now
	for id, at := range t.paces.forgotten {
		if now.Sub(at) >= peerLoadTTL {
			delete(t.paces.forgotten, id)
		}
	}
	if len(t.paces.routes) >= maxPlainRoutes {
		for name, m := range t.paces.routes {
			if now.Sub(m.at) > plainRouteTTL {
				delete(t.paces.routes, name)
			}
		}
	}
	t.refreshServices(now)
	t.paces.toReport = map[ids.Target]*targetPace{}
	sums, ownIn := t.mergePaces(now)
	for id := range sums {
		t.loadOf(id) // a target that this VM has sent nothing to
	}
	for id, o := range t.targets {
		p := &o.pace
		m := sums[id]
		p.reported, p.seeded = m != nil, m != nil && m.seeded
		own, ok := t.relative(p, now)
		if m == nil && !ok {
			p.factor, p.slow, p.standsOut = 1, false, time.Time{}
			continue
		}
		if m == nil {
			m = &merged{}
		}
		if !ownIn || !p.reported {
			m.all, m.domain = m.all.plus(own), m.domain.plus(own)
		}
		p.judge(own, m, now)
		if ok && p.reportable(own) {
			t.paces.toReport[id] = p
		}
	}
}

// refreshServices recomputes the sums of the services: targets that count as slow are not part of them.
// The caller holds t.mu.
func (t *Tracker) refreshServices(now time.Time) {
	for _, s := range t.paces.services {
		s.PaceSums, s.at = PaceSums{}, now
	}
	for _, o := range t.targets {
		p := &o.pace
		if p.own.Answers == 0 {
			continue
		}
		p.own, p.at = p.current(now), now
		s := t.paces.services[p.service]
		p.counted = false
		if p.own.Answers < minOwnAnswers {
			p.own = PaceSums{}
		} else if s != nil && !p.slow {
			s.PaceSums, p.counted = s.plus(p.own), true
		}
	}
	for name, s := range t.paces.services {
		if s.Answers == 0 {
			delete(t.paces.services, name) // also of services that are no longer configured
		}
	}
}

// judge decides whether the target counts as slow.
func (p *targetPace) judge(own PaceSums, m *merged, now time.Time) {
	p.factor = m.domain.pace(m.all.pace(1, fleetPrior), domainPrior)
	if own.Slow >= minSlowAnswers {
		p.factor = max(p.factor, own.pace(1, fleetPrior))
	}
	fraction := m.slowFraction()
	if own.Slow >= minSlowAnswers {
		fraction = max(fraction, own.Slow/own.Answers)
	}
	switch {
	case p.slow:
		p.slow = p.factor >= normalPace && fraction >= minSlowFraction/2 && m.all.Answers >= minPaceAnswers
	case p.factor < slowPace, fraction < minSlowFraction, m.all.Slow < minSlowAnswers:
		p.standsOut = time.Time{}
	case p.standsOut.IsZero():
		p.standsOut = now
	case now.Sub(p.standsOut) >= paceDwell:
		p.slow, p.standsOut = true, time.Time{}
	}
}

// seeds reports whether a target stands out by these sums of one VM alone.
func (s PaceSums) seeds() bool { return s.pace(1, seedPrior) >= slowPace }

// reportable reports whether this VM reports a target of which it has the given sums.
func (p *targetPace) reportable(own PaceSums) bool {
	return own.seeds() || p.slow || p.seeded || p.reported && p.factor >= normalPace
}

// OwnPaces returns this VM's report: at most MaxPaces targets, worst first. It is empty while no target
// stands out.
func (t *Tracker) OwnPaces(now time.Time) []Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPaces(now)
	type scored struct {
		Pace
		score float64
	}
	var all []scored
	for id, p := range t.paces.toReport {
		if own, ok := t.relative(p, now); ok && p.reportable(own) {
			all = append(all, scored{Pace{Target: id, Domain: t.paces.domain, Seed: own.seeds(), PaceSums: own}, p.factor})
		}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Target, b.Target)) })
	var out []Pace
	for _, s := range all[:min(len(all), MaxPaces)] {
		out = append(out, s.Pace)
	}
	return out
}

// SlowTarget is a target that counts as slow at this VM.
type SlowTarget struct {
	Target  ids.Target `json:"target"`
	Pace    float64    `json:"pace"`    // factor on the predicted time
	Answers float64    `json:"answers"` // this VM's own, decayed
}

// SlowTargets returns the targets that count as slow, sorted by name.
func (t *Tracker) SlowTargets(now time.Time) []SlowTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPaces(now)
	var out []SlowTarget
	for id, o := range t.targets {
		if o.pace.slow {
			out = append(out, SlowTarget{id, o.pace.value(), o.pace.current(now).Answers})
		}
	}
	slices.SortFunc(out, func(a, b SlowTarget) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// forgetPace makes a target start afresh: reports of the other VMs may still be of the earlier
// incarnation. The caller holds t.mu.
func (t *Tracker) forgetPace(id ids.Target) {
	if t.paces.forgotten == nil {
		t.paces.forgotten = map[ids.Target]time.Time{}
	}
	t.paces.forgotten[id] = t.paces.at
	delete(t.paces.toReport, id)
}
