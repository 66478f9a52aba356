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

// Options are what a soak is run with.
type Options struct {
	Program string // threadwalld
	Seed    uint64
	VMs     int
	Callers int
	// Faults is for how long faults are injected; calls go on for a while after.
	Faults time.Duration
	// Busy tells that the machine has other work: bounds in time, such as that every
	// call is served while nothing is wrong, are not checked then.
	Busy bool
	// Keep leaves settings and logs in place also when all promises were kept.
	Keep bool
}

// Report is what a soak found.
type Report struct {
	Seed       uint64         `json:"seed"`
	Calls      int            `json:"calls"`
	Served     int            `json:"served"`
	Runs       int            `json:"runs"`
	Faults     map[string]int `json:"faults"`
	Violations []string       `json:"broken,omitempty"` // promises
	Logs       []string       `json:"logs,omitempty"`   // left in place
}

// Bounds of the time after the last fault.
const (
	// recoverTime is how long all VMs may take to be ready again.
	recoverTime = 10 * time.Second
	// settleTime is how long all engines may take to get the newest weights.
	settleTime = 15 * time.Second
	// afterTime is for how long calls are made when all is well again.
	afterTime = time.Second
)

// Run runs one soak. An error means that it could not be run; broken promises stand
// in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Seed: o.Seed, Faults: map[string]int{}}
	dir, err := makeDir()
	if err != nil {
		return report, err
	}
	w, err := newWorld(dir, o.Program, o.VMs, directFleet(o.Seed))
	defer w.close()
	w.calmServes = !o.Busy
	if err != nil {
		return report, err
	}
	if !await(recoverTime, w.readyAll) {
		return report, fmt.Errorf("the VMs don't become ready, see %s", dir)
	}
	c := &callers{w: w}
	calling, stop := context.WithCancel(ctx)
	c.run(calling, o.Callers, o.Seed)
	c.runLimited(calling, o.Seed)
	faulty, done := context.WithTimeout(ctx, o.Faults)
	apart, signals := w.injectApart(faulty, o.Seed), w.injectSignals(faulty, o.Seed)
	w.inject(faulty, rand.New(rand.NewPCG(o.Seed, 0)), func(name string) { report.Faults[name]++ })
	maps.Copy(report.Faults, apart())
	maps.Copy(report.Faults, signals())
	done()
	w.aftermath(&report)
	time.Sleep(afterTime)
	stop()
	c.wg.Wait()
	w.judge(c.all(), &report)
	if len(report.Violations) > 0 || o.Keep {
		report.Logs = w.logs()
		return report, nil
	}
	return report, os.RemoveAll(dir)
}

// directFleet lets one VM read the store for the others in every second seed.
func directFleet(seed uint64) int {
	if seed%2 == 0 {
		return 1
	}
	return 100
}

// aftermath waits until all is well again, and notes what is not.
func (w *world) aftermath(r *Report) {
	if !await(recoverTime, w.readyAll) {
		r.Violations = append(r.Violations, "not all VMs are ready again after the last fault")
	}
	if !await(settleTime, w.settled) {
		r.Violations = append(r.Violations, "not all engines have the newest weights")
	}
	time.Sleep(contact) // from now on nothing may go wrong
}

func (w *world) judge(calls []call, r *Report) {
	r.Calls, r.Runs = len(calls), len(w.ledger.Runs())
	for i := range calls {
		if calls[i].status == http.StatusOK && !calls[i].broken {
			r.Served++
		}
	}
	r.Violations = append(r.Violations, w.check(calls)...)
}
