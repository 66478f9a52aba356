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
	// Drills states that the store comes back from older copies of itself.
	Drills bool
	// Cuts states that VMs lose their links to all replicas, and that replicas are brittle at times. It needs at most
	// maxLinkedVMs VMs.
	Cuts bool
	// Versions states that engines of several software versions serve, that some of their streams break off, and that
	// callers take streams up at other VMs.
	Versions bool
	// Parts states that parts of prompts crash engines, and that most connections go to one VM at times.
	Parts bool
	// Shortage states that the replicas of the plain service fail most calls, and that all VMs are restarted in quick
	// series, or replicas leave without a word just after VMs were cut off from the store.
	Shortage bool
	// Hushes states that engines fall silent and go on while configurations change, and that retries are short.
	Hushes bool
	// Floods states that replicas send bytes without an end in place of some responses, that callers send large bodies, that some
	// read late, and that a VM that exceeds its memory is killed.
	Floods bool
	// Crowds states that clients that don't behave come to VMs in crowds, and that a VM that exceeds its memory is killed.
	Crowds bool
	// Keep states that settings and logs are kept even if the soak finds no violation.
	Keep bool
}

// Report is the result of a soak.
type Report struct {
	Seed    uint64         `json:"seed"`
	Calls   int            `json:"calls"`
	Served  int            `json:"served"`
	Runs    int            `json:"runs"`     // of calls at replicas
	Faults  map[string]int `json:"faults"`   // number of faults and signals, by name
	TakenUp int            `json:"taken_up"` // streams that callers took up at another VM
	WentOn  int            `json:"went_on"`  // of these, streams of which a further event came
	Retries RetryWindow    `json:"retries"`
	Hushed  HushedStreams  `json:"hushed"`
	Floods  FloodReport    `json:"floods"`
	// MostMemory is the most memory of a VM, in bytes, and KilledForMemory the number of VMs that were killed for it.
	MostMemory      int64 `json:"most_memory,omitempty"`
	KilledForMemory int   `json:"killed_for_memory,omitempty"`
	// MostDescriptors is the most descriptors that a VM had open.
	MostDescriptors int      `json:"most_descriptors,omitempty"`
	Violations      []string `json:"broken,omitempty"` // of the guarantees
	Logs            []string `json:"logs,omitempty"`   // paths of files that were kept
}

// Times after the last fault.
const (
	// recoverTime is how long the VMs may take until all are ready, also after their first start.
	recoverTime = 10 * time.Second
	// settleTime is how long the engines may take until all have the newest weights.
	settleTime = 15 * time.Second
	// afterTime is how long calls continue after the fleet has recovered.
	afterTime = time.Second
)

// Run runs one soak. It returns an error if the soak could not be run; violations are in the
// report. It panics if a VM or a replica can't be started again after a fault.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Seed: o.Seed, Faults: map[string]int{}}
	dir, err := makeDir()
	if err != nil {
		return report, err
	}
	if o.Cuts && o.VMs > maxLinkedVMs {
		return report, fmt.Errorf("a soak with cuts has at most %d VMs", maxLinkedVMs)
	}
	h, err := newHarness(dir, directFleet(o.Seed), &o)
	defer h.close()
	h.checkTiming, h.storeFaults = !o.Busy, !o.Shortage && !o.Hushes && !o.Floods && !o.Crowds || o.Seed/4%2 == 1
	if err != nil {
		return report, err
	}
	if !await(recoverTime, h.readyAll) {
		return report, fmt.Errorf("not all VMs became ready within %v of their start, see logs in %s", recoverTime, dir)
	}
	stopWatching := h.watchMemory()
	c := &callers{h: h}
	callCtx, stopCalls := context.WithCancel(ctx)
	c.run(callCtx, o.Callers, o.Seed)
	c.runLimited(callCtx, o.Seed)
	faultCtx, stopFaults := context.WithTimeout(ctx, o.FaultDuration)
	waitDrills := func() map[string]int { return nil }
	if o.Drills {
		waitDrills = h.injectDrills(faultCtx, o.Seed)
	}
	waitCuts := func() map[string]int { return nil }
	if o.Cuts {
		waitCuts = h.injectCuts(faultCtx, o.Seed)
	}
	waitParts := func() map[string]int { return nil }
	if o.Parts {
		waitParts = h.injectParts(faultCtx, o.Seed)
	}
	waitShortage := func() map[string]int { return nil }
	if o.Shortage {
		waitShortage = h.injectShortage(faultCtx, o.Seed)
	}
	waitHushes := func() map[string]int { return nil }
	if o.Hushes {
		waitHushes = h.injectHushes(faultCtx, o.Seed)
	}
	waitCrowds := func() map[string]int { return nil }
	if o.Crowds {
		waitCrowds = h.injectCrowds(faultCtx, o.Seed)
	}
	waitExtraFaults, waitSignals := h.injectExtraFaults(faultCtx, o.Seed), h.injectSignals(faultCtx, o.Seed)
	if !h.storeFaults {
		<-faultCtx.Done() // half of the seeds have no other faults, so that VMs are without faults for longer
	} else {
		h.inject(faultCtx, rand.New(rand.NewPCG(o.Seed, 0)), func(name string) { report.Faults[name]++ })
	}
	maps.Copy(report.Faults, waitExtraFaults())
	maps.Copy(report.Faults, waitSignals())
	maps.Copy(report.Faults, waitDrills())
	maps.Copy(report.Faults, waitCuts())
	maps.Copy(report.Faults, waitParts())
	maps.Copy(report.Faults, waitShortage())
	maps.Copy(report.Faults, waitHushes())
	maps.Copy(report.Faults, waitCrowds())
	report.Faults["a brittle replica fell over"] = h.countFalls()
	stopFaults()
	h.awaitRecovery(&report)
	time.Sleep(afterTime)
	stopCalls()
	c.wg.Wait()
	stopWatching()
	report.Hushed = h.countHushed(c.all())
	h.reportFloods(c.all(), &report)
	h.reportMemory(&report)
	h.reportDescriptors(&report)
	h.evaluate(c.all(), &report)
	h.evaluateStreams(c.allStreams(), &report)
	if len(report.Violations) > 0 || o.Keep {
		report.Logs = h.logs()
		return report, nil
	}
	return report, os.RemoveAll(dir)
}

// directFleet returns the size, in VMs, of the largest fleet whose VMs all read the store
// themselves. For every second seed it is 1, so that one VM reads the store for the others.
func directFleet(seed uint64) int {
	if seed%2 == 0 {
		return 1
	}
	return 100
}

// awaitRecovery waits until all VMs are ready and all engines have the newest weights, and adds a
// violation to the report for each of the two that does not happen in time.
func (h *harness) awaitRecovery(r *Report) {
	if !await(recoverTime, h.readyAll) {
		r.Violations = append(r.Violations, fmt.Sprintf("not all VMs were ready again within %v of the last fault", recoverTime))
	}
	if !await(settleTime, h.settled) {
		r.Violations = append(r.Violations, fmt.Sprintf("not all engines had the newest weights within %v after the wait for the VMs", settleTime))
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
	r.Retries = h.worstRetries
}
