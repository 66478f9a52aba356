package news

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/draw"
)

// The tests in this file guard against VMs that see different loads of the same fleet, and therefore
// refuse different fractions of it.

// demandFleet simulates exchanges of demand in virtual time. Datagrams take one to five steps, unless
// they are lost.
type demandFleet struct {
	t         *testing.T
	rng       *rand.Rand               // of the calls
	links     map[[2]ids.VM]*rand.Rand // of the datagrams: their order within a step is not fixed
	all       []Peer
	vms       map[ids.VM]*Exchange
	due       map[ids.VM]time.Time
	started   int64 // incarnation of the latest start
	cutOff    ids.VM
	loss      float64
	step      int
	inTransit map[int][]demandDatagram
	skew      time.Duration // bound of the differences of the wall clocks
	withheld  bool          // the VMs have no Tracker, to measure the bytes of all else
	// sent and received are the bytes by VM.
	sent, received map[ids.VM]int
}

type demandDatagram struct {
	from, to ids.VM
	data     []byte
}

const (
	demandStep = 10 * time.Millisecond
	// demandRate is the load of the fleet in calls per second, as in the larger deployments of the
	// project, demandWork the mean work of a call in seconds of prefill.
	demandRate       = 600
	demandWork       = 0.05
	demandWorkspaces = 580
	seed             = 7
)

// largeParts are the parts of the large workspaces in the demand. All others have equal parts.
var largeParts = [3]float64{0.3, 0.15, 0.1}

func newDemandFleet(t *testing.T, vms, domains int, loss float64, withheld bool) *demandFleet {
	f := &demandFleet{
		t: t, rng: rand.New(rand.NewPCG(uint64(vms), seed)), links: map[[2]ids.VM]*rand.Rand{}, vms: map[ids.VM]*Exchange{}, due: map[ids.VM]time.Time{}, loss: loss, skew: 20 * time.Millisecond, inTransit: map[int][]demandDatagram{}, withheld: withheld,
		sent: map[ids.VM]int{}, received: map[ids.VM]int{},
	}
	for i := range vms {
		link := 20
		if i < 3*domains {
			link = 200
		}
		f.all = append(f.all, Peer{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: ids.FailureDomain(fmt.Sprint("z", i%domains)), Addr: "127.0.0.1:1", LinkMbps: link})
	}
	for _, p := range f.all {
		f.start(p)
	}
	return f
}

// start starts a VM without any state.
func (f *demandFleet) start(p Peer) {
	x := newExchange()
	x.VM, x.FailureDomain = p.VM, p.FailureDomain
	f.started++
	x.incarnation = f.started
	x.Unresponsive, x.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
	x.CacheChanges = func() []cacheview.Change { return nil }
	x.tree.wake = make(chan struct{}, 1)
	if !f.withheld {
		x.Demand = demand.New(nil)
		x.Demand.SetListed(len(f.all))
	}
	x.transmit = func(data []byte, to Peer) error {
		f.transmit(p.VM, to.VM, data)
		return nil
	}
	skew := time.Duration(f.rng.Int64N(int64(2*f.skew+1))) - f.skew
	for _, r := range []*demandRounds{&x.demandRounds, &x.tree.demandUp, &x.tree.demandDown} {
		r.wall = func() time.Time { return time.Now().Add(skew) }
	}
	x.Load.Sent("e1", 700, time.Now()) // the call goes on to the end, so that each round has loads
	x.SetPeers(f.all)
	f.vms[p.VM] = x
	f.due[p.VM] = time.Now().Add(time.Duration(f.rng.Int64N(int64(x.RoundInterval()))))
	x.sendRound(Message{})
}

func (f *demandFleet) transmit(from, to ids.VM, data []byte) {
	f.sent[from] += len(data)
	link := [2]ids.VM{from, to}
	if f.links[link] == nil {
		f.links[link] = rand.New(rand.NewPCG(uint64(shortenVM(from)), uint64(shortenVM(to))))
	}
	lost, delay := f.links[link].Float64() < f.loss, f.links[link].IntN(5)
	if from == f.cutOff || to == f.cutOff || lost {
		return
	}
	f.received[to] += len(data)
	at := f.step + 1 + delay
	f.inTransit[at] = append(f.inTransit[at], demandDatagram{from, to, slices.Clone(data)})
}

// run runs the fleet for d and calls check after each step.
func (f *demandFleet) run(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(demandStep) {
		f.step++
		for _, m := range f.inTransit[f.step] {
			f.vms[m.to].handle(m.data)
		}
		delete(f.inTransit, f.step)
		for i, p := range f.all {
			x := f.vms[p.VM]
			f.issueCalls(i)
			now := time.Now()
			if now.Before(f.due[p.VM]) {
				continue
			}
			f.due[p.VM] = now.Add(x.RoundInterval())
			if x.usesTree() {
				x.sendTreeRound(now)
			} else {
				x.sendOwnLoads()
			}
		}
		if check != nil {
			check()
		}
	}
}

// settle brings the decaying sums of all VMs to their steady state, three and a half decay times, and
// then lets the VMs exchange them. Without exchanges in the first part the tests take half the time.
func (f *demandFleet) settle() {
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(demandStep) {
		for i := range f.all {
			f.issueCalls(i)
		}
	}
	for _, p := range f.all {
		f.due[p.VM] = time.Now().Add(time.Duration(f.rng.Int64N(int64(f.vms[p.VM].RoundInterval()))))
	}
	f.run(2*time.Second, nil)
}

// issueCalls issues the calls of one step at a VM. The VMs have uneven loads.
func (f *demandFleet) issueCalls(vm int) {
	x, weight := f.vms[f.all[vm].VM], weightOf(vm)
	for range draw.Poisson(f.rng, weight*demandRate/float64(len(f.all))*demandStep.Seconds()) {
		c := demand.Class{Service: "models", Route: fmt.Sprint("route", f.rng.IntN(4)), Workspace: f.workspace()}
		work := demandWork * (0.5 + f.rng.Float64())
		x.Demand.Decided(c, work, f.rng.IntN(10) > 0)
		x.Demand.FirstEvent(c, work, 100*time.Millisecond, 150*time.Millisecond)
		x.Demand.Ended(c, time.Second, false, false)
	}
}

func largeWorkspace(i int) ids.Workspace { return ids.Workspace(fmt.Sprint("large", i)) }

func (f *demandFleet) workspace() ids.Workspace {
	at := f.rng.Float64()
	for i, part := range largeParts {
		if at < part {
			return largeWorkspace(i)
		}
		at -= part
	}
	return ids.Workspace(fmt.Sprint("w", f.rng.IntN(demandWorkspaces-len(largeParts))))
}

// spread is the largest difference between VMs of the service's calls, and of the part of each large
// workspace in the demand, as fractions of their means.
type spread struct {
	calls float64
	parts [3]float64
}

// spread returns the spread over all VMs except those to leave out.
func (f *demandFleet) spread(leaveOut ...ids.VM) spread {
	var calls []float64
	var parts [3][]float64
	for _, p := range f.all {
		if slices.Contains(leaveOut, p.VM) {
			continue
		}
		picture := f.vms[p.VM].Demand.Picture("models")
		calls = append(calls, float64(picture.Total().Calls))
		all := float32(0)
		for _, w := range picture.Workspaces {
			all += w.Offered
		}
		for i := range parts {
			w, _ := picture.Workspace(largeWorkspace(i))
			parts[i] = append(parts[i], float64(w.Offered/all))
		}
	}
	out := spread{calls: spreadOf(calls)}
	for i, p := range parts {
		out.parts[i] = spreadOf(p)
	}
	return out
}

func spreadOf(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return (slices.Max(v) - slices.Min(v)) / (sum / float64(len(v)))
}

// expectSpread runs the fleet for d and measures the spread every 100 ms over all VMs except those to
// leave out. For the service's calls and the largest workspace it must be at most 0.1 at any time. For
// the smaller ones its mean over time must be: with 60 calls/s the sums of a workspace change by 0.04
// (standard deviation) from one report to the next, and VMs differ by a report at any time.
func (f *demandFleet) expectSpread(what string, d time.Duration, leaveOut ...ids.VM) {
	f.t.Helper()
	const most = 0.1
	var worst, sum spread
	samples := 0
	last := time.Now()
	f.run(d, func() {
		if time.Since(last) < 100*time.Millisecond {
			return
		}
		last = time.Now()
		s := f.spread(leaveOut...)
		samples++
		worst.calls, sum.calls = max(worst.calls, s.calls), sum.calls+s.calls
		for i, v := range s.parts {
			worst.parts[i], sum.parts[i] = max(worst.parts[i], v), sum.parts[i]+v
		}
	})
	mean := sum
	mean.calls /= float64(samples)
	for i := range mean.parts {
		mean.parts[i] /= float64(samples)
	}
	f.t.Logf("%s: spread at worst %.3f, on average %.3f", what, worst, mean)
	if worst.calls > most || worst.parts[0] > most || slices.Max(mean.parts[:]) > most {
		f.t.Errorf("%s: the spread between VMs is %.3f at worst and %.3f on average, want at most %.1f", what, worst, mean, most)
	}
}

// expectCalls checks that a VM sees the fleet's load within a tolerance, as a fraction.
func (f *demandFleet) expectCalls(what string, vm ids.VM, tolerance float64) {
	f.t.Helper()
	rate := demand.Rate(f.vms[vm].Demand.Picture("models").Total().Calls)
	if want := demandRate * f.meanWeight(); rate < want*(1-tolerance) || rate > want*(1+tolerance) {
		f.t.Errorf("%s: %s sees %.0f calls/s, want %.0f within %.2f", what, vm, rate, want, tolerance)
	}
}

func weightOf(vm int) float64 { return 0.5 + float64(vm%11)/10 }

// meanWeight is the mean of the weights of the VMs.
func (f *demandFleet) meanWeight() float64 {
	sum := 0.0
	for i := range f.all {
		sum += weightOf(i)
	}
	return sum / float64(len(f.all))
}

// fleetSize is a fleet of the tests: without a tree up to 100 VMs.
type fleetSize struct{ vms, domains int }

var (
	fleetOf6   = fleetSize{6, 3}
	fleetOf66  = fleetSize{66, 3}
	fleetOf195 = fleetSize{195, 6}
)

// The tests of steady load guard against VMs whose pictures differ although the load is steady, without
// loss and with a tenth of the datagrams lost.

func TestSameDemandAt6VMs(t *testing.T)   { testSameDemand(t, fleetOf6) }
func TestSameDemandAt66VMs(t *testing.T)  { testSameDemand(t, fleetOf66) }
func TestSameDemandAt195VMs(t *testing.T) { testSameDemand(t, fleetOf195) }

func testSameDemand(t *testing.T, size fleetSize) {
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newDemandFleet(t, size.vms, size.domains, loss, false)
				f.settle()
				f.expectSpread("steady", 3*time.Second)
				f.expectCalls("steady", "vm1", 0.15)
			})
		})
	}
}

// The tests of faults guard against pictures that stay wrong after a VM was cut off or has restarted:
// vm0, the root of a domain where there is a tree. While it is cut off, the other VMs must agree, and it
// must go by its own calls.

func TestDemandAfterFaultsAt6VMs(t *testing.T)   { testDemandAfterFaults(t, fleetOf6) }
func TestDemandAfterFaultsAt66VMs(t *testing.T)  { testDemandAfterFaults(t, fleetOf66) }
func TestDemandAfterFaultsAt195VMs(t *testing.T) { testDemandAfterFaults(t, fleetOf195) }

func testDemandAfterFaults(t *testing.T, size fleetSize) {
	synctest.Test(t, func(t *testing.T) {
		f := newDemandFleet(t, size.vms, size.domains, 0, false)
		f.settle()
		f.cutOff = "vm0"
		f.run(3500*time.Millisecond, nil) // reports expire after 2.5 s
		f.expectSpread("one VM is cut off", 1500*time.Millisecond, "vm0")
		f.expectCalls("one VM is cut off", "vm1", 0.15)
		if p := f.vms["vm0"].Demand.Picture("models"); p.VMs != 1 || p.Listed != size.vms {
			t.Errorf("the VM that is cut off counts %d of %d VMs, want itself of %d", p.VMs, p.Listed, size.vms)
		}
		f.cutOff = ""
		back := 2 * time.Second
		if f.vms["vm1"].usesTree() {
			back = 4500 * time.Millisecond // a root that is back is tried again after 3 s
		}
		f.run(back, nil)
		f.expectSpread("the VM is back", 1500*time.Millisecond)
		f.start(f.all[0])
		f.run(2*time.Second, nil)
		f.expectSpread("the VM has restarted", 1500*time.Millisecond)
	})
}

// TestDemandBytes guards against traffic that grows with the number of workspaces or VMs: 580
// workspaces have calls, many more than a report lists.
func TestDemandBytes(t *testing.T) {
	// A relay forwards the reports of several VMs to its domain: at most 0.13 of a link of 10 Mbit/s.
	const most = 160 << 10
	for _, size := range []fleetSize{fleetOf6, fleetOf66, fleetOf195} {
		t.Run(fmt.Sprint(size.vms, " VMs"), func(t *testing.T) {
			var with, without [2]map[ids.VM]int
			measure := func(withheld bool) (out [2]map[ids.VM]int) {
				synctest.Test(t, func(t *testing.T) {
					f := newDemandFleet(t, size.vms, size.domains, 0, withheld)
					f.settle()
					clear(f.sent)
					clear(f.received)
					f.run(3*time.Second, nil)
					out = [2]map[ids.VM]int{f.sent, f.received}
				})
				return out
			}
			with, without = measure(false), measure(true)
			for i, what := range []string{"sends", "receives"} {
				worst, sum := 0, 0
				for vm, n := range with[i] {
					perSecond := (n - without[i][vm]) / 3
					worst, sum = max(worst, perSecond), sum+perSecond
				}
				t.Logf("a VM %s %d bytes/s of demand on average, at most %d", what, sum/size.vms, worst)
				if worst > most {
					t.Errorf("a VM %s %d bytes/s of demand, want at most %d", what, worst, most)
				}
			}
		})
	}
}
