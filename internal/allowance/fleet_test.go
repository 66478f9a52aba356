package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/draw"
)

// algorithm is one VM's instance of an algorithm that bounds a workspace's use on all VMs.
type algorithm interface {
	take(c Call) bool
	// report returns the VM's message to its peers, and receive handles one.
	report() any
	receive(from ids.VM, incarnation int64, seq uint64, msg any)
	sweep()
	setLimit(l Limit)
	setVMs(vms []ids.VM)
}

// scenario is a load on one workspace together with faults of the VMs.
type scenario struct {
	vms    int
	length time.Duration
	limit  func(t time.Duration) Limit
	// demand is the callers' demand on a VM, in units/s.
	demand func(vm int, t time.Duration) float64
	// partition returns the side of the network partition that a VM is on; nil: no partition.
	partition func(vm int, t time.Duration) int
	// down reports whether a VM is down; nil: none is.
	down func(vm int, t time.Duration) bool
	// listed reports whether the platform lists a VM; nil: all are.
	listed   func(vm int, t time.Duration) bool
	loss     float64 // fraction of messages lost
	tree     bool    // VMs receive only the total use of the others
	meanCost float64 // cost of a call, units
}

const (
	// tick is the step of virtual time.
	tick = 10 * time.Millisecond
	// startupTime is the time after which the result counts; start-up has scenarios of its own.
	startupTime = 3 * time.Second
	// directInterval is the time between two reports of a VM with 89 peers.
	directInterval = 445 * time.Millisecond
	// treeInterval is the time between two totals over a tree.
	treeInterval = 150 * time.Millisecond
	// window, excess and slack are the bounds of the operators of a large fleet: for all calls
	// in a window they tolerate a tenth more than the limit, plus a slack in tokens.
	window = 8 * time.Second
	excess = 0.1
	slack  = 110_000.0
)

// result is the result of one simulation.
type result struct {
	overuse   float64 // largest use beyond the limit in a window, as a fraction of the tolerance; over 1: the bound is violated
	shortfall float64 // fraction of ideal that was not admitted
	longRatio float64 // fraction admitted of the longest tenth of calls, over that of all calls
	messages  int
	admitted  float64 // units
	ideal     float64 // units that one bucket for all VMs would have admitted
}

// simulation runs a scenario in virtual time.
type simulation struct {
	scenario    scenario
	rng         *rand.Rand
	start       time.Time
	at          time.Duration
	vms         []algorithm
	incarnation []int64
	nextReport  []time.Duration // time of a VM's next report
	seq         uint64
	inTransit   map[time.Duration][]func()
	build       func(vm int, now func() time.Time) algorithm
	listedCount int // number of listed VMs
	limit       Limit

	used       []float64 // units admitted, by tick
	allowed    []float64 // units at the limit's rate, by tick
	bursts     []float64
	idealLevel float64 // level of one bucket for all VMs
	out        result
	calls      []callResult
}

type callResult struct {
	cost     float64
	admitted bool
}

func nameOf(vm int) ids.VM { return ids.VM(fmt.Sprint("vm", vm)) }

func (x *simulation) now() time.Time { return x.start.Add(x.at) }

func (x *simulation) isDown(vm int) bool { return x.scenario.down != nil && x.scenario.down(vm, x.at) }

func (x *simulation) isListed(vm int) bool {
	return x.scenario.listed == nil || x.scenario.listed(vm, x.at)
}

func (x *simulation) connected(from, to int) bool {
	return x.scenario.partition == nil || x.scenario.partition(from, x.at) == x.scenario.partition(to, x.at)
}

// simulate runs a scenario with one algorithm.
func simulate(p scenario, seed uint64, build func(vm int, now func() time.Time) algorithm) result {
	x := run(p, seed, build)
	x.out.overuse = x.maxOveruse()
	x.out.shortfall = max(x.out.ideal-x.out.admitted, 0) / max(x.out.ideal, 1)
	x.out.longRatio = x.longCallRatio()
	return x.out
}

// run runs a scenario to its end.
func run(p scenario, seed uint64, build func(vm int, now func() time.Time) algorithm) *simulation {
	x := &simulation{
		scenario: p, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0), build: build,
		vms: make([]algorithm, p.vms), incarnation: make([]int64, p.vms), nextReport: make([]time.Duration, p.vms), inTransit: map[time.Duration][]func(){},
	}
	for x.at = 0; x.at < p.length; x.at += tick {
		x.updateVMs()
		for _, f := range x.inTransit[x.at] {
			f()
		}
		delete(x.inTransit, x.at)
		x.issueCalls()
		if x.scenario.tree {
			x.exchangeTotals()
		} else {
			x.exchangeReports()
		}
		if x.at%SweepEvery == 0 {
			for _, w := range x.vms {
				if w != nil {
					w.sweep()
				}
			}
		}
	}
	return x
}

// updateVMs stops and starts VMs, and sets the list of VMs where it has changed.
func (x *simulation) updateVMs() {
	n := 0
	for i := range x.vms {
		if x.isListed(i) {
			n++
		}
	}
	var names []ids.VM
	for i := range x.vms {
		if x.isListed(i) {
			names = append(names, nameOf(i))
		}
	}
	for i := range x.vms {
		switch up := x.isListed(i) && !x.isDown(i); {
		case !up:
			x.vms[i] = nil
		case x.vms[i] == nil:
			x.vms[i] = x.build(i, x.now)
			x.vms[i].setVMs(names)
			x.vms[i].setLimit(x.scenario.limit(x.at))
			x.incarnation[i]++
			x.nextReport[i] = x.at
		case n != x.listedCount:
			x.vms[i].setVMs(names)
		}
	}
	x.listedCount = n
}

// issueCalls issues the calls of one tick.
func (x *simulation) issueCalls() {
	limit, dt := x.scenario.limit(x.at), tick.Seconds()
	if limit != x.limit {
		x.limit = limit
		for _, w := range x.vms {
			if w != nil {
				w.setLimit(limit)
			}
		}
	}
	x.idealLevel = min(x.idealLevel+limit.Rate*dt, limit.Burst)
	x.allowed, x.bursts, x.used = append(x.allowed, limit.Rate*dt), append(x.bursts, limit.Burst), append(x.used, 0)
	for i, w := range x.vms {
		for range draw.Poisson(x.rng, x.scenario.demand(i, x.at)*dt/x.scenario.meanCost) {
			if w == nil {
				continue // the VM is down
			}
			cost := x.scenario.meanCost * math.Exp(x.rng.NormFloat64()*0.8-0.32)
			admitted := w.take(Call{Workspace: "w", Cost: cost})
			counts := x.at >= startupTime
			if x.idealLevel > 0 {
				x.idealLevel -= cost
				if counts {
					x.out.ideal += cost
				}
			}
			if admitted {
				if counts {
					x.out.admitted += cost
				}
				x.used[len(x.used)-1] += cost
			}
			x.calls = append(x.calls, callResult{cost, admitted})
		}
	}
}

// exchangeReports sends the reports that are due.
func (x *simulation) exchangeReports() {
	for i, w := range x.vms {
		if w == nil || x.at < x.nextReport[i] {
			continue
		}
		x.nextReport[i] = x.at + directInterval
		if x.scenario.vms < 24 {
			x.nextReport[i] = x.at + treeInterval
		}
		msg, incarnation := w.report(), x.incarnation[i]
		x.seq++
		seq := x.seq
		for j := range x.vms {
			if i == j || x.rng.Float64() < x.scenario.loss || !x.connected(i, j) {
				continue
			}
			x.out.messages++
			x.deliver(time.Duration(1+x.rng.IntN(5))*tick, func() {
				if x.vms[j] != nil && x.connected(i, j) {
					x.vms[j].receive(nameOf(i), incarnation, seq, msg)
				}
			})
		}
	}
}

func (x *simulation) deliver(after time.Duration, f func()) {
	x.inTransit[x.at+after] = append(x.inTransit[x.at+after], f)
}

// totalReport is a message over a tree.
type totalReport struct {
	uses    []Use
	members []ids.VM
}

// exchangeTotals sends each VM the total of the VMs on its side of a partition, at most three
// rounds old.
func (x *simulation) exchangeTotals() {
	if x.at%treeInterval != 0 {
		return
	}
	reports := make([][]Use, len(x.vms))
	for i, w := range x.vms {
		if w != nil {
			reports[i], _ = w.report().([]Use)
		}
	}
	for j := range x.vms {
		if x.vms[j] == nil || x.rng.Float64() < x.scenario.loss {
			continue
		}
		total := Use{Workspace: HashOf("w")}
		var members []ids.VM
		for i := range x.vms {
			if x.vms[i] == nil || !x.connected(i, j) {
				continue
			}
			members = append(members, nameOf(i))
			if i == j {
				continue
			}
			for _, u := range reports[i] {
				total.Used += u.Used
				total.Offered += u.Offered
			}
		}
		x.out.messages++
		x.deliver(time.Duration(10+x.rng.IntN(30))*tick, func() {
			if x.vms[j] != nil {
				x.vms[j].receive("", 0, 0, totalReport{[]Use{total}, members})
			}
		})
	}
}

// maxOveruse returns the largest use beyond the limit in any window, as a fraction of the
// tolerance. If the limit changed, the highest limit in the window counts.
func (x *simulation) maxOveruse() float64 {
	n, most := int(window/tick), 0.0
	for end := n; end <= len(x.used); end++ {
		used, rate, burst := 0.0, 0.0, 0.0
		for i := end - n; i < end; i++ {
			used += x.used[i]
			rate = max(rate, x.allowed[i]/tick.Seconds())
			burst = max(burst, x.bursts[i])
		}
		limit := rate*window.Seconds() + burst
		most = max(most, (used-limit)/(limit*excess+slack))
	}
	return most
}

// maxUsed returns the most units used in any window of a length.
func (x *simulation) maxUsed(length time.Duration) float64 {
	used, most, n := 0.0, 0.0, int(length/tick)
	for i, u := range x.used {
		if used += u; i >= n {
			used -= x.used[i-n]
		}
		most = max(most, used)
	}
	return most
}

// longCallRatio returns the admitted fraction of the longest tenth of calls over that of all calls.
func (x *simulation) longCallRatio() float64 {
	// The longest tenth of a log-normal distribution of this width begins at 2.03 times its mean.
	threshold := 2.03 * x.scenario.meanCost
	var all, admitted, long, longAdmitted float64
	for _, s := range x.calls {
		all++
		if s.admitted {
			admitted++
		}
		if s.cost > threshold {
			long++
			if s.admitted {
				longAdmitted++
			}
		}
	}
	if long == 0 || admitted == 0 {
		return 1
	}
	return longAdmitted / long / (admitted / all)
}
