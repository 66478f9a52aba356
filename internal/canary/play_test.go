package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/draw"
)

// load is a service, its callers and a version that is brought into service, in virtual time.
type load struct {
	vms       int
	perSecond float64
	within    time.Duration
	old, new  int // targets
	routes    []route
	bad       bool // what the end should be
	// failed and slower tell how likely the canary fails a call beside its route's rate, and by
	// how much slower it is.
	failed func(c moment) float64
	slower func(c moment) float64
	// both slows both versions down.
	both func(t time.Duration) float64
	// grey are new targets that fail three of ten calls, whatever they run; the first one differs by seed.
	grey int
	seed int
	// dark are new targets that do not answer.
	dark int
	loss float64 // of reports
}

// route is a part of the calls.
type route struct {
	part   float64
	failed float64
	took   time.Duration // in the middle
	spread float64       // of the logarithm
}

// moment is when and where a call ran.
type moment struct {
	at    time.Duration // since the order
	route int
	work  float64 // of its target, as a part of what it has in service
}

func plainRoutes() []route {
	return []route{{part: 0.6, failed: 0.005, took: 30 * time.Millisecond, spread: 0.3}, {part: 0.4, failed: 0.005, took: 60 * time.Millisecond, spread: 0.5}}
}

// loads are the loads that the ways are compared on: good and bad versions, and bad luck.
func loads() map[string]load {
	out := map[string]load{}
	add := func(name string, change func(*load)) {
		l := load{vms: 90, perSecond: 145, within: 12 * time.Second, old: 4, new: 4, routes: plainRoutes(), loss: 0.05}
		change(&l)
		out[name] = l
	}
	always := func(x float64) func(moment) float64 { return func(moment) float64 { return x } }
	add("good", func(*load) {})
	add("good, 6 VMs", func(l *load) { l.vms = 6 })
	add("good, 380 VMs", func(l *load) { l.vms, l.perSecond, l.old, l.new = 380, 1400, 40, 40 })
	add("good, few calls", func(l *load) { l.perSecond = 20 })
	add("good, fewer targets", func(l *load) { l.new = 2 })
	add("good, half of them dark", func(l *load) { l.new, l.dark = 4, 2 })
	add("good, a grey target", func(l *load) { l.grey = 1 })
	add("good, routes that fail", func(l *load) { l.routes[0].failed, l.routes[1].failed = 0.14, 0.14 })
	add("good, burst", func(l *load) {
		l.both = func(t time.Duration) float64 {
			if t > time.Second && t < 4*time.Second {
				return 4
			}
			return 1
		}
	})
	add("good, engines", func(l *load) {
		l.perSecond, l.old, l.new, l.within = 448, 90, 90, 20*time.Second
		l.routes = []route{{part: 0.44, failed: 0.01, took: 120 * time.Millisecond, spread: 0.8}, {part: 0.56, failed: 0.01, took: 80 * time.Millisecond, spread: 0.8}}
	})
	bad := func(name string, change func(*load)) { add(name, func(l *load) { l.bad = true; change(l) }) }
	bad("bad, fails two thirds", func(l *load) { l.failed = always(0.67) })
	bad("bad, fails two thirds, 6 VMs", func(l *load) { l.vms, l.failed = 6, always(0.67) })
	bad("bad, fails two thirds, 380 VMs", func(l *load) { l.vms, l.perSecond, l.old, l.new, l.failed = 380, 1400, 40, 40, always(0.67) })
	bad("bad, fails a third", func(l *load) { l.failed = always(0.33) })
	bad("bad, fails a third, routes that fail", func(l *load) {
		l.routes[0].failed, l.routes[1].failed, l.failed = 0.14, 0.14, always(0.33)
	})
	bad("bad, three times slower", func(l *load) { l.slower = always(3) })
	bad("bad, ten times slower in a burst", func(l *load) {
		l.slower = always(10)
		l.both = func(t time.Duration) float64 { return 1 + 3*math.Min(t.Seconds()/3, 1) }
	})
	bad("bad on one route", func(l *load) {
		l.routes = []route{{part: 0.85, failed: 0.005, took: 30 * time.Millisecond, spread: 0.3}, {part: 0.15, failed: 0.005, took: 60 * time.Millisecond, spread: 0.5}}
		l.failed = func(m moment) float64 { return 0.67 * float64(m.route) }
	})
	bad("bad after 2 s", func(l *load) {
		l.failed = func(m moment) float64 {
			if m.at < 2*time.Second {
				return 0
			}
			return 0.67
		}
	})
	bad("bad under load", func(l *load) {
		l.failed = func(m moment) float64 {
			if m.work < 0.8 {
				return 0
			}
			return 0.67
		}
	})
	bad("bad, engines three times slower", func(l *load) {
		l.perSecond, l.old, l.new, l.within, l.slower = 448, 90, 90, 20*time.Second, always(3)
		l.routes = []route{{part: 0.44, failed: 0.01, took: 120 * time.Millisecond, spread: 0.8}, {part: 0.56, failed: 0.01, took: 80 * time.Millisecond, spread: 0.8}}
	})
	return out
}

// way is one way to judge and to raise the share.
type way struct {
	name  string
	judge func() Judge
	next  func(b Bounds, r Record, f Facts) Step
}

// result is what came of a play.
type result struct {
	end     End
	took    time.Duration // until the end
	exposed float64       // calls to the canary until the end of the order's time, as a part of those that are allowed
	badRun  int           // bad answers of the canary until its end
	badAt   time.Duration // when it gave the one that is too many; zero: it did not
}

const (
	playStep       = 20 * time.Millisecond
	lookPause      = 200 * time.Millisecond
	storeDelay     = 60 * time.Millisecond // until all VMs have a record
	reportDelay    = 100 * time.Millisecond
	clearTime      = 300 * time.Millisecond // until all VMs are done with other versions
	badMost        = 50                     // bad answers
	rollbackWithin = 5 * time.Second        // after these
	rebuildGap     = time.Second            // after which a report that was lost is told again
)

var playBounds = Bounds{Share: 0.1, Slack: 50}

// play plays a load.
func play(l load, w way, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 7))
	l.seed = int(seed)
	order := &Order{OrderID: OrderID{Created: 1, Target: "v2"}, Service: "s", Within: l.within, HasStatus: true}
	ledger := NewLedger(order.OrderID, w.judge())
	versions := map[ids.SoftwareVersion]int{"v1": l.old, "v2": l.new}
	step := w.next(playBounds, Record{Service: "s", Stable: "v1"}, Facts{Self: "a", Order: order, Versions: versions})
	record, inForce := step.Record, step.Record
	changedAt := time.Duration(0)
	vms := make([]counts, l.vms)
	base := time.Unix(1_000_000, 0)
	var out result
	exposed, all := 0.0, 0.0
	type sent struct {
		at     time.Duration
		vm     int
		report Report
	}
	var onWay []sent
	for t := time.Duration(0); t < l.within; t += playStep {
		if t-changedAt >= storeDelay {
			inForce = record
		}
		for range draw.Poisson(rng, l.perSecond*playStep.Seconds()) {
			all++
			vm := &vms[rng.IntN(l.vms)]
			toCanary := inForce.Canary != "" && rng.Float64() < inForce.Share
			if toCanary || out.end == Completed {
				exposed++
			}
			a, target, route, answered := l.run(rng, t, toCanary, inForce)
			if !answered {
				continue
			}
			vm.add(fmt.Sprint("r", route), target, toCanary, a)
			if toCanary && a.Failed && out.end == Running {
				if out.badRun++; out.badRun == badMost {
					out.badAt = t
				}
			}
		}
		for i := range vms {
			turn := time.Duration(i) * lookPause / time.Duration(l.vms) / playStep * playStep
			if (t-turn)%lookPause != 0 {
				continue
			}
			r := Report{Service: "s", Order: order.OrderID, Cells: vms[i].told((t-turn)%rebuildGap == 0)}
			if rng.Float64() >= l.loss {
				onWay = append(onWay, sent{t + reportDelay, i, r})
			}
		}
		for len(onWay) > 0 && onWay[0].at <= t {
			ledger.Merge(ids.VM(fmt.Sprint(onWay[0].vm)), 1, &onWay[0].report, base.Add(t))
			onWay = onWay[1:]
		}
		if t%lookPause != 0 || out.end != Running {
			continue
		}
		if record.Stage == Loading || record.Stage == Promoting {
			ledger.Judge.SetLoaded()
		}
		f := Facts{
			Self: "a", Order: order, Elapsed: t, Finding: ledger.Judge.Verdict(), Rate: ledger.Calls() / max(t.Seconds(), 0.1),
			Versions: versions, Warm: l.new, Drained: record.Stage == Promoting && t-record.Entered >= clearTime,
		}
		step = w.next(playBounds, record, f)
		if !step.Record.same(&record) {
			record, changedAt = step.Record, t
		}
		if step.Report != Running || record.End != Running {
			out.end, out.took = max(step.Report, record.End), t
		}
	}
	if out.end == Running {
		out.took = l.within
	}
	out.exposed = exposed / (playBounds.Share*all + playBounds.Slack)
	return out
}

// run lets one call run.
func (l *load) run(rng *rand.Rand, t time.Duration, toCanary bool, r Record) (a Answer, target ids.Target, routeIndex int, answered bool) {
	x := rng.Float64()
	for x -= l.routes[0].part; x > 0 && routeIndex < len(l.routes)-1; x -= l.routes[routeIndex].part {
		routeIndex++
	}
	ro := l.routes[routeIndex]
	failed, took := ro.failed, float64(ro.took)*math.Exp(rng.NormFloat64()*ro.spread)
	if l.both != nil {
		took *= l.both(t)
	}
	if toCanary {
		n := max(int(math.Ceil(r.Part*float64(l.new))), 1)
		i := rng.IntN(n)
		target = ids.Target(fmt.Sprint("new", i))
		m := moment{at: t, route: routeIndex, work: r.Share * float64(l.old) / float64(n)}
		if l.failed != nil {
			failed += (1 - failed) * l.failed(m)
		}
		if l.slower != nil {
			took *= l.slower(m)
		}
		if (i+l.seed)%l.new < l.grey {
			failed += (1 - failed) * 0.3
		}
		if i < l.dark {
			return a, target, routeIndex, false
		}
	}
	if rng.Float64() < failed {
		return Answer{Failed: true}, target, routeIndex, true
	}
	return Answer{Took: time.Duration(took)}, target, routeIndex, true
}

// playSeeds is how often each load is played, and waySeeds how often for the comparison of ways.
const playSeeds, waySeeds = 12, 3

// used is the way that is used.
var used = way{"sequential, in steps", func() Judge { return &Sequential{} }, Bounds.Next}

// TestVerdicts plays each load with the way that is used. A good version is completed within
// eight tenths of its time; a bad one is rolled back with fewer calls than may reach it, and
// soon after so many bad answers. A target that is broken by itself is bad luck; where it is one of
// few it may hold up a good version, but not in more than one play of twelve.
func TestVerdicts(t *testing.T) {
	for name, l := range loads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wrong, most, longest := 0, 0.0, time.Duration(0)
			for seed := range uint64(playSeeds) {
				r := play(l, used, seed)
				if (r.end == RolledBack) != l.bad || r.end == Running {
					wrong++
				}
				longest = max(longest, r.took)
				if l.bad {
					most = max(most, r.exposed)
				}
				if l.bad && r.badAt > 0 && r.took-r.badAt > rollbackWithin {
					t.Errorf("seed %d: %v from bad answer %d to the end", seed, r.took-r.badAt, badMost)
				}
			}
			t.Logf("%d of %d wrong, %.2f of what is allowed at most, ended after %.2f of the time at most", wrong, playSeeds, most, float64(longest)/float64(l.within))
			allowed := 0
			if l.grey > 0 {
				allowed = 1
			}
			if wrong > allowed || most > 1 || !l.bad && longest > l.within*8/10 {
				t.Errorf("%d of %d wrong, %.2f of what is allowed, ended after %.2f of the time", wrong, playSeeds, most, float64(longest)/float64(l.within))
			}
		})
	}
}

// TestWaysToJudge compares ways on the same loads and seeds; docs/design/canary.md has the table.
func TestWaysToJudge(t *testing.T) {
	if testing.Short() {
		t.Skip("a comparison, not a check")
	}
	ways := []way{
		used,
		{"fixed window, in steps", func() Judge { return &fixedWindow{} }, Bounds.Next},
		{"sequential, at once", func() Judge { return &Sequential{} }, atOnce},
		{"fixed window, at once", func() Judge { return &fixedWindow{} }, atOnce},
	}
	names := make([]string, 0, len(loads()))
	for name := range loads() {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, w := range ways {
		wrongGood, wrongBad, good, bad, exposed, took, badRun := 0, 0, 0, 0, 0.0, 0.0, 0
		for _, name := range names {
			l := loads()[name]
			wrong := 0
			for seed := range uint64(waySeeds) {
				r := play(l, w, seed)
				if l.bad {
					bad++
					exposed = max(exposed, r.exposed)
					badRun = max(badRun, r.badRun)
				} else {
					good++
					took += float64(r.took) / float64(l.within)
				}
				if (r.end == RolledBack) != l.bad || r.end == Running {
					wrong++
				}
			}
			if l.bad {
				wrongBad += wrong
			} else {
				wrongGood += wrong
			}
			if wrong > 0 {
				t.Logf("    %s: %s: %d of %d wrong", w.name, name, wrong, waySeeds)
			}
		}
		t.Logf("%-24s good taken for bad or not done %d of %d, bad for good %d of %d, exposed %.2f of what is allowed and %d bad answers at most, good done after %.2f of the time",
			w.name, wrongGood, good, wrongBad, bad, exposed, badRun, took/float64(good))
	}
}

// atOnce raises the share to all that may be exposed and then to everything.
func atOnce(b Bounds, r Record, f Facts) Step {
	s := b.Next(r, f)
	switch {
	case s.Record.Stage == Proving:
		s.Record.Share = b.Share * 0.9
	case s.Record.Stage == Loading:
		s.Record.Stage, s.Record.Share, s.Record.Part = Promoting, 1, 1
	}
	return s
}

// fixedWindow judges by all answers since the order, with a test of two parts for failures and one
// for means of times.
type fixedWindow struct {
	cells map[uint32]*[2]Cell
	calls uint32
}

// Observe implements Judge.
func (w *fixedWindow) Observe(c Cell, _ time.Time) {
	if w.cells == nil {
		w.cells = map[uint32]*[2]Cell{}
	}
	pair := w.cells[c.Route]
	if pair == nil {
		pair = &[2]Cell{}
		w.cells[c.Route] = pair
	}
	into := &pair[0]
	if c.Canary {
		into = &pair[1]
		w.calls += c.Calls
	}
	into.Calls += c.Calls
	into.Failed += c.Failed
	for i, n := range c.Times {
		for len(into.Times) <= i {
			into.Times = append(into.Times, 0)
		}
		into.Times[i] += n
	}
}

// SetLoaded implements Judge.
func (w *fixedWindow) SetLoaded() {}

// Verdict implements Judge.
func (w *fixedWindow) Verdict() Finding {
	const least, strong = 20, 3.3
	f := Finding{Calls: w.calls, Tentative: Good, Verdict: Good}
	for id, pair := range w.cells {
		o, n := &pair[0], &pair[1]
		if n.Calls < least {
			f.Verdict = Undecided
			continue
		}
		p := float64(o.Failed+n.Failed) / float64(o.Calls+n.Calls)
		z := (float64(n.Failed)/float64(n.Calls) - float64(o.Failed)/float64(max(o.Calls, 1))) /
			math.Sqrt(max(p*(1-p), 1e-3)*(1/float64(n.Calls)+1/float64(max(o.Calls, 1))))
		om, ov, on := o.moments()
		nm, nv, nn := n.moments()
		slow := 0.0
		if on > least && nn > least {
			slow = (nm - om - 1) / math.Sqrt(ov/on+nv/nn) // an octave is twice the time
		}
		if max(z, slow) >= max(f.Failed, f.Slow) {
			f.Route, f.Failed, f.Slow = id, z, slow
		}
	}
	if max(f.Failed, f.Slow) > strong {
		f.Verdict, f.Tentative = Bad, Bad
	}
	return f
}

// moments are the mean and variance of a cell's times, in octaves.
func (c *Cell) moments() (mean, variance, n float64) {
	for i, k := range c.Times {
		n += float64(k)
		mean += float64(k) * float64(i) / perOctave
	}
	mean /= max(n, 1)
	for i, k := range c.Times {
		variance += float64(k) * math.Pow(float64(i)/perOctave-mean, 2)
	}
	return mean, max(variance/max(n, 1), 0.05), n
}
