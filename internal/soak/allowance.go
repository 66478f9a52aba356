package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// A workspace of the soak asks for several times its allowance all the time, of all VMs.
const (
	limitedWorkspace = "limited"
	limitedKey       = "key-limited"
	limitedCallers   = 3
	// limitedPause is the pause between two calls of one of its callers.
	limitedPause = 10 * time.Millisecond
	// Its allowance, in requests, and the window in which operators count.
	limitedRate   = 20.0 // a second
	limitedBurst  = 20.0
	limitedWindow = 3 * time.Second
	// What operators tolerate beyond it.
	limitedExcess = 0.1
	limitedSlack  = 15.0
)

// timeOfDay is how the soak's logs give times.
const timeOfDay = "15:04:05.000"

// wipedAt is when all VMs were killed.
func (w *world) wipedAt() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, at := range w.wiped {
		out = append(out, at.Format(timeOfDay))
	}
	return out
}

// runLimited starts the callers of the limited workspace; they call until ctx ends.
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

// allowance: in no window the limited workspace runs more than it is allowed, over all VMs,
// whether they are cut off, killed, suspended or started again. A call counts once.
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
		c.say("%d calls of the limited workspace ran in the %v before %s, %.0f are allowed; all VMs were killed at %v",
			most, limitedWindow, when.Format(timeOfDay), allowed, c.w.wipedAt())
	}
}
