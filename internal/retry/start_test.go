package retry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// startCase is a fleet whose retries are counted in the first window after a start.
type startCase struct {
	vms       int
	perVM     float64 // requests/s at each VM for the service
	burst     float64 // of the fleet
	exchanges bool    // the VMs exchange statements; large fleets don't
	fails     float64 // fraction of the requests whose first attempt fails
}

// startResult counts the requests of one window.
type startResult struct{ requests, wanted, refused int }

// The fleets of the users' deployments: 8 VMs, 66 VMs, and 986 VMs, which aggregate their messages over a tree. One request
// in twenty fails once while nothing is wrong.
var startCases = []startCase{
	{vms: 8, perVM: 3, burst: 0.8 * 56, exchanges: true, fails: 0.05},
	{vms: 66, perVM: 3, burst: 0.8 * 204, exchanges: true, fails: 0.05},
	{vms: 986, perVM: 1.3, burst: 0.8 * 1040, exchanges: false, fails: 0.05},
	{vms: 8, perVM: 8, burst: 0.8 * 56, exchanges: true, fails: 0.57},
	{vms: 66, perVM: 8, burst: 0.8 * 204, exchanges: true, fails: 0.57},
	{vms: 986, perVM: 3, burst: 0.8 * 1040, exchanges: false, fails: 0.57},
}

const (
	startRatio = 0.8 * 0.2
	// startRound is the interval at which VMs exchange statements, startRead that of their reads of the list.
	startRound = 200 * time.Millisecond
	startRead  = 5 * time.Second
	startStep  = 50 * time.Millisecond
	// maxRefused is the fraction of a healthy fleet's requests that may fail for want of a retry.
	maxRefused = 0.005
)

// newStartedFleet returns a fleet whose VMs start at once.
func newStartedFleet(c startCase) *testFleet {
	f := newTestFleet(startRatio, c.burst)
	random := rand.New(rand.NewPCG(60, uint64(c.vms)))
	f.pick = func(p *testProcess, limit int) (out []ids.VM) {
		for range min(limit, c.vms-1) {
			if vm := ids.VM(fmt.Sprint("vm", random.IntN(c.vms))); vm != p.vm {
				out = append(out, vm)
			}
		}
		return out
	}
	for i := range c.vms {
		f.start(ids.VM(fmt.Sprint("vm", i)))
	}
	for range 2 { // all register, and hear of each other from the store
		for _, p := range f.running {
			f.register(p, false)
			f.read(p)
		}
	}
	return f
}

// play sends requests to some VMs for a time and counts their retries.
func (c startCase) play(f *testFleet, vms []*testProcess, length time.Duration, random *rand.Rand) (out startResult) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(startStep) {
		passed := f.now.Sub(time.Unix(1000, 0))
		if passed%startRead == 0 {
			for _, p := range f.running {
				p.budgets.ConfirmList(f.rev, f.now)
			}
		}
		if c.exchanges && passed%startRound == 0 {
			f.exchange()
		}
		for _, p := range vms {
			if random.Float64() >= c.perVM*startStep.Seconds() {
				continue
			}
			f.request(p)
			out.requests++
			if random.Float64() >= c.fails {
				continue
			}
			out.wanted++
			if !f.retry(p) {
				out.refused++
			}
		}
	}
	return out
}

func (f *testFleet) all() (out []*testProcess) {
	for _, vm := range slices.Sorted(maps.Keys(f.running)) {
		out = append(out, f.running[vm])
	}
	return out
}

// TestRetriesAfterStart counts the retries that are refused in the first window after a first start, with
// requests at once and 10 s later, and after one VM or all were killed in a fleet that has run for long.
func TestRetriesAfterStart(t *testing.T) {
	for _, c := range startCases {
		for _, how := range []string{"long run", "first start", "first start, requests 10 s later", "one VM killed", "all VMs killed"} {
			random := rand.New(rand.NewPCG(59, uint64(c.vms)))
			f := newStartedFleet(c)
			var r startResult
			switch how {
			case "first start":
				r = c.play(f, f.all(), testWindow, random)
			case "first start, requests 10 s later":
				c.play(f, nil, 10*time.Second, random)
				r = c.play(f, f.all(), testWindow, random)
			default:
				c.play(f, f.all(), 2*testWindow+testListTTL, random)
				counted := f.all()
				switch how {
				case "one VM killed":
					p := f.start("vm0")
					f.read(p)
					counted = f.all()
				case "all VMs killed":
					for _, p := range f.all() {
						f.read(f.start(p.vm))
					}
					counted = f.all()
				}
				r = c.play(f, counted, testWindow, random)
			}
			if c.fails < 0.1 && float64(r.refused) > maxRefused*float64(r.requests) {
				t.Errorf("%d VMs, %s: %d retries of %d requests were refused although one in twenty fails", c.vms, how, r.refused, r.requests)
			}
			t.Logf("%3d VMs, %2.0f%% fail, %-33s %6d requests, %5d retries wanted, %5d refused (%.3f)", c.vms, 100*c.fails, how+":", r.requests, r.wanted, r.refused, float64(r.refused)/float64(r.wanted))
		}
	}
}
