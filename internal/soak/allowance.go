package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// One workspace of the soak calls all VMs throughout the run, at several times its allowance.
const (
	limitedWorkspace = "limited"
	limitedKey       = "key-limited"
	limitedCallers   = 3
	// limitedPause is the pause between two calls of one caller of the workspace.
	limitedPause = 10 * time.Millisecond
	// The allowance of the workspace, in requests, and the window over which operators count.
	limitedRate   = 20.0 // requests/s
	limitedBurst  = 20.0
	limitedWindow = 3 * time.Second
	// The excess that operators tolerate: a fraction of the allowance, plus a number of requests.
	limitedExcess = 0.1
	limitedSlack  = 15.0
)

// timeOfDay is the layout of times in the report.
const timeOfDay = "15:04:05.000"

// allKilledTimes returns the times at which all VMs were killed, in the layout timeOfDay.
func (h *harness) allKilledTimes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, at := range h.allKilled {
		out = append(out, at.Format(timeOfDay))
	}
	return out
}

// runLimited starts the callers of the limited workspace, which call until ctx ends.
func (c *callers) runLimited(ctx context.Context, seed uint64) {
	for i := range limitedCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
		c.wg.Go(func() {
			defer transport.CloseIdleConnections()
			for ctx.Err() == nil {
				c.call(rng, transport, pathRepeat, limitedKey)
				time.Sleep(limitedPause)
			}
		})
	}
}

// allowance checks that in any window, the limited workspace runs no more calls over all VMs
// than its allowance and the tolerated excess, also when VMs are partitioned, killed, suspended
// or restarted. A call counts once, however often it ran, at the time at which it was sent.
func (c *checker) allowance(calls []call) {
	var sent []time.Time
	for i := range calls {
		if k := &calls[i]; k.key == limitedKey && len(c.runs[k.id]) > 0 {
			sent = append(sent, k.sent)
		}
	}
	allowed := limitedRate*limitedWindow.Seconds() + limitedBurst
	bound := allowed*(1+limitedExcess) + limitedSlack
	most, when := 0, time.Time{}
	for _, end := range sent {
		n := 0
		for _, at := range sent {
			if !at.After(end) && at.After(end.Add(-limitedWindow)) {
				n++
			}
		}
		if n > most {
			most, when = n, end
		}
	}
	if float64(most) > bound {
		c.report("%d calls of the limited workspace ran in the %v before %s, allowed are %.0f and tolerated %.0f; all VMs were killed at %v",
			most, limitedWindow, when.Format(timeOfDay), allowed, bound, c.h.allKilledTimes())
	}
}
