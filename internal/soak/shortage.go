package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

// In a soak with shortages the replicas of the plain service fail most calls, so that retries are short at all VMs. In
// one half of the seeds all VMs are restarted in quick series, in the other half VMs are cut off from the store, and
// replicas leave without a word just after such a cut.

const (
	// shortageSource selects the random source of shortages.
	shortageSource = 0x5407
	// failShare is the fraction of calls that a replica fails in a shortage.
	failShare = 0.95
	// shortagePause is the mean pause between two calls of one caller in a shortage. Calls that find no VM count as requests
	// of the budget, too.
	shortagePause = 4 * callPause
	// repeatShare is the fraction of the calls that may be repeated in a shortage.
	repeatShare = 0.9
)

// RetryWindow is the window in which the VMs made most repeats of those that are allowed.
type RetryWindow struct {
	Made    float64 `json:"made"`
	Allowed float64 `json:"allowed"`
}

// share returns what was made as a fraction of what is allowed.
func (w RetryWindow) share() float64 { return w.Made / w.Allowed }

// retryBounds are the bounds of the retry budget of all VMs: in any window, ratio retries per request and burst more.
type retryBounds struct {
	ratio, burst float64
	window       time.Duration
}

// In a shortage most of the budget is the burst, so that VMs that spend it again at each start are noticed.
var (
	usualRetries    = retryBounds{ratio: 0.2, burst: 40, window: 10 * time.Second}
	shortageRetries = retryBounds{ratio: 0.02, burst: 200, window: 8 * time.Second}
)

// retryBounds returns the bounds in force.
func (h *harness) retryBounds() retryBounds {
	switch {
	case h.shortage:
		return shortageRetries
	case h.hushes:
		return hushedRetries
	}
	return usualRetries
}

// failMost has a replica of the plain service fail failShare of its requests.
func (h *harness) failMost(r *replica) {
	r.SetHandler(func(rw http.ResponseWriter, _ *http.Request) bool {
		if rand.Float64() >= failShare {
			return false
		}
		platformlab.Fail(rw)
		return true
	})
}

// injectShortage restarts all VMs, or cuts VMs off from the store and removes entries, one after the other until ctx ends. The
// returned function waits for the last one and returns their number by name.
func (h *harness) injectShortage(ctx context.Context, seed uint64) (wait func() map[string]int) {
	rng := rand.New(rand.NewPCG(seed, shortageSource))
	play, name := h.restartAll, "restart all VMs while retries are short"
	if seed/2%2 == 1 { // seeds of both kinds read the store from peers, see directFleet
		play, name = h.leaveAfterCut, "a replica leaves without a word after a cut"
	}
	counts := make(chan map[string]int, 1)
	end := h.begin()
	go func() {
		defer end()
		n := map[string]int{}
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))) {
			n[name]++
			play(rng)
		}
		h.endShortage()
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}

// endShortage has the replicas of the plain service answer all calls.
func (h *harness) endShortage() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = false
	for _, r := range h.replicas {
		if r.Service == "svc" {
			r.SetHandler(nil)
		}
	}
}

// restartAll ends all VMs at once, by SIGKILL or SIGTERM, and starts them again.
func (h *harness) restartAll(rng *rand.Rand) {
	s := []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM}[rng.IntN(3)]
	h.mu.Lock()
	h.allKilled = append(h.allKilled, time.Now())
	h.mu.Unlock()
	for _, p := range h.vms {
		p.signal(s)
	}
	for _, p := range h.vms {
		h.restart(p, s, rng)
	}
}

// leaveAfterCut cuts some VMs off from the store. Up to two seconds after the end, the entry of a replica is removed; the
// replica serves on for a while.
func (h *harness) leaveAfterCut(rng *rand.Rand) {
	h.cutFromStore(h.vms[:1+rng.IntN(len(h.vms))], rng)
	sleep(rng, 2*time.Second)
	r := h.takeReplica(rng)
	h.replace(r)
	h.store.Remove("servers", r.ID)
	h.mu.Lock()
	h.entryRemoved[r.ID] = time.Now()
	h.mu.Unlock()
	time.Sleep(drainTime + time.Second)
	r.Crash()
}

// cutFromStore cuts VMs off from the store for a while.
func (h *harness) cutFromStore(vms []*process, rng *rand.Rand) {
	for _, p := range vms {
		defer p.begin()()
		p.store.Set([]Fault{Blackhole, Refuse}[rng.IntN(2)])
	}
	sleep(rng, 3*time.Second)
	for _, p := range vms {
		p.store.Set(Pass)
	}
}

// removals checks that a VM that has heard the store for faultFreeTime sends no call to a replica later than drainTime
// after its entry was removed.
func (c *checker) removals(calls []call) {
	if c.h.storeFaults {
		return // a VM without faults may not have heard the store
	}
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	for _, a := range c.h.ledger.Arrivals() {
		removed, gone := c.h.entryRemoved[a.Replica]
		k := byID[a.Request]
		if gone && k != nil && k.vmFaultFree && k.sent.After(removed.Add(drainTime)) {
			c.report("call %s reached %s, %v after its entry was removed, allowed are %v", a.Request, a.Replica, a.At.Sub(removed), drainTime)
		}
	}
}

// retryBudget checks in each window that ends with a repeat that the VMs together kept the retry budget. The requests are
// counted in that window, the one before it or the one half a window before it, whichever has most. A suspension moves the
// clocks of VMs and not that of the check, so seeds with suspensions are not checked.
func (c *checker) retryBudget(calls []call) {
	if c.h.suspended {
		return
	}
	var plain, streams []time.Time
	for i := range calls {
		if calls[i].path == pathStream {
			streams = append(streams, calls[i].sent)
		} else {
			plain = append(plain, calls[i].sent)
		}
	}
	for _, repeated := range c.h.fatal {
		for _, k := range repeated {
			plain = append(plain, k.sent)
		}
	}
	c.serviceBudget("svc", plain)
	if c.h.hushes {
		c.serviceBudget("llm", streams)
	}
}

// serviceBudget checks the retry budget of one service, which got the requests.
func (c *checker) serviceBudget(service string, requests []time.Time) {
	var repeats []time.Time
	arrived := map[string]bool{}
	for _, a := range c.h.ledger.Arrivals() {
		if !strings.HasPrefix(a.Replica, "i-"+service+"-") {
			continue
		}
		if arrived[a.Request] {
			repeats = append(repeats, a.At)
		}
		arrived[a.Request] = true
	}
	worst := RetryWindow{}
	slices.SortFunc(requests, time.Time.Compare)
	bounds := c.h.retryBounds()
	for _, end := range repeats {
		most := 0
		for _, back := range []time.Duration{0, bounds.window / 2, bounds.window} {
			most = max(most, inWindow(requests, end.Add(-back), bounds.window))
		}
		got, allowed := float64(inWindow(repeats, end, bounds.window)), bounds.ratio*float64(most)+bounds.burst
		if worst.Allowed == 0 || got/allowed > worst.share() {
			worst = RetryWindow{Made: got, Allowed: allowed}
		}
	}
	if worst.Made > worst.Allowed {
		c.report("%.0f repeats within %v, %.0f are allowed (%s)", worst.Made, bounds.window, worst.Allowed, service)
	}
	if all := &c.h.worstRetries; all.Allowed == 0 || worst.Allowed > 0 && worst.share() > all.share() {
		*all = worst
	}
}

// inWindow counts the times, in order, in the window that ends at end.
func inWindow(times []time.Time, end time.Time, window time.Duration) int {
	after := func(t time.Time) int {
		n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
		return n
	}
	return after(end.Add(1)) - after(end.Add(-window+1))
}
