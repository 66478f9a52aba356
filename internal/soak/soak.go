package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

// Options configure a soak.
type Options struct {
	Program string // path of the threadwalld binary
	Seed    uint64
	VMs     int
	Callers int
	// FaultDuration is how long faults are injected. Calls continue until the fleet has recovered.
	FaultDuration time.Duration
	// Busy states that the machine has other work. Timing bounds, such as that every call
	// without a fault is served, are not checked then.
	Busy bool
	// Keep leaves settings and logs in place also when the soak found no violation.
	Keep bool
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64         `json:"seed"`
	Calls      int            `json:"calls"`
	Served     int            `json:"served"`
	Runs       int            `json:"runs"`
	Faults     map[string]int `json:"faults"`
	Violations []string       `json:"broken,omitempty"` // of the guarantees
	Logs       []string       `json:"logs,omitempty"`   // files that were left in place
}

// Bounds of the time after the last fault.
const (
	// recoverTime is how long the VMs may take until all are ready again.
	recoverTime = 10 * time.Second
	// settleTime is how long the engines may take until all have the newest weights.
	settleTime = 15 * time.Second
	// afterTime is how long calls continue after the fleet has recovered.
	afterTime = time.Second
)

// Run runs one soak. It returns an error if the soak could not be run; violations are in the
// report.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Seed: o.Seed, Faults: map[string]int{}}
	dir, err := makeDir()
	if err != nil {
		return report, err
	}
	h, err := newHarness(dir, o.Program, o.VMs, directFleet(o.Seed))
	defer h.close()
	h.checkTiming = !o.Busy
	if err != nil {
		return report, err
	}
	if !await(recoverTime, h.readyAll) {
		return report, fmt.Errorf("VMs did not become ready, see logs in %s", dir)
	}
	c := &callers{h: h}
	calling, stop := context.WithCancel(ctx)
	c.run(calling, o.Callers, o.Seed)
	c.runLimited(calling, o.Seed)
	faulty, done := context.WithTimeout(ctx, o.FaultDuration)
	apart, signals := h.injectExtraFaults(faulty, o.Seed), h.injectSignals(faulty, o.Seed)
	h.inject(faulty, rand.New(rand.NewPCG(o.Seed, 0)), func(name string) { report.Faults[name]++ })
	maps.Copy(report.Faults, apart())
	maps.Copy(report.Faults, signals())
	done()
	h.awaitRecovery(&report)
	time.Sleep(afterTime)
	stop()
	c.wg.Wait()
	h.evaluate(c.all(), &report)
	if len(report.Violations) > 0 || o.Keep {
		report.Logs = h.logs()
		return report, nil
	}
	return report, os.RemoveAll(dir)
}

// directFleet returns the largest fleet whose VMs all read the store themselves. In every
// second seed it is 1, so that one VM reads the store for the others.
func directFleet(seed uint64) int {
	if seed%2 == 0 {
		return 1
	}
	return 100
}

// awaitRecovery waits until all VMs are ready and all engines have the newest weights, and adds a
// violation to the report for each bound that is missed.
func (h *harness) awaitRecovery(r *Report) {
	if !await(recoverTime, h.readyAll) {
		r.Violations = append(r.Violations, "not all VMs are ready again after the last fault")
	}
	if !await(settleTime, h.settled) {
		r.Violations = append(r.Violations, "not all engines have the newest weights")
	}
	time.Sleep(faultFreeTime) // later calls count as free of faults
}

func (h *harness) evaluate(calls []call, r *Report) {
	r.Calls, r.Runs = len(calls), len(h.ledger.Runs())
	for i := range calls {
		if calls[i].status == http.StatusOK && !calls[i].broken {
			r.Served++
		}
	}
	r.Violations = append(r.Violations, h.check(calls)...)
}
