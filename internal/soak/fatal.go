package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
)

// A fatal request crashes each replica that runs it. The soak repeats it at random VMs.

const (
	// fatalBody is the beginning of the body of a fatal request.
	fatalBody = "fatal"
	// fatalWork is how long a replica runs a fatal request before it crashes.
	fatalWork = 30 * time.Millisecond
	// fatalInterval is the pause between two repeats.
	fatalInterval = 200 * time.Millisecond
	// maxFatalReplicas is how many replicas a fatal request may reach after all VMs can know that
	// it crashed maxFatalReplicas replicas. All VMs can know it faultFreeTime and a second after
	// the last of those runs started.
	maxFatalReplicas = 3
)

// fatalCall is one repeat of a fatal request.
type fatalCall struct {
	id        string
	sent      time.Time
	faultFree bool // its VM had no fault for faultFreeTime before it was sent
}

// onFatalCrash removes r, which a fatal request crashed, from the list of replicas. A second
// later it removes r from the store and starts another replica in its place.
func (h *harness) onFatalCrash(r *replica) {
	end := h.begin()
	r.proxy.Close()
	h.mu.Lock()
	for i, o := range h.replicas {
		if o == r {
			h.replicas = append(h.replicas[:i], h.replicas[i+1:]...)
			break
		}
	}
	h.crashes++
	h.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		defer end()
		h.store.Remove("servers", r.ID)
		h.replace(r)
	})
}

// repeatFatal sends one fatal request 15 to 39 times, every fatalInterval, to random VMs.
func (h *harness) repeatFatal(rng *rand.Rand) {
	defer h.begin()()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	body := fmt.Sprint(fatalBody, " ", rng.Uint64())
	for range 15 + rng.IntN(25) {
		p := h.anyVM(rng)
		id := fmt.Sprintf("f%016x", rng.Uint64())
		h.mu.Lock()
		h.fatal[body] = append(h.fatal[body], fatalCall{id, time.Now(), p.faultFree(faultFreeTime)})
		h.mu.Unlock()
		go h.sendFatal(p, id, body, transport)
		time.Sleep(fatalInterval)
	}
}

func (h *harness) sendFatal(p *process, id, body string, transport *http.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	call := platformlab.Call{ID: id, Host: host, Path: pathRepeat + "x", Key: h.key(0), Body: body, Deadline: deadline}
	req, err := call.Request(ctx, "http://"+p.listen)
	if err != nil {
		panic(err) // addresses of the harness are always valid
	}
	if resp, err := transport.RoundTrip(req); err == nil {
		_ = resp.Body.Close()
	}
}

// fatalBound checks that a fatal request reaches at most maxFatalReplicas replicas after all VMs
// can know that it is fatal.
func (c *checker) fatalBound() {
	for body, calls := range c.h.fatal {
		if late := c.lateRuns(calls, maxFatalReplicas); late > maxFatalReplicas {
			c.report("request %q reached %d replicas after all VMs could know that it crashes replicas, allowed are %d", body, late, maxFatalReplicas)
		}
	}
}

// lateRuns returns the number of runs of calls at VMs without faults that were sent after all VMs could know that so many
// runs had crashed their replicas. Calls after a kill of all VMs do not count, since the fleet loses that knowledge then.
func (c *checker) lateRuns(calls []fatalCall, crashes int) (late int) {
	var starts []time.Time // of runs, which end soon after
	for _, k := range calls {
		for _, r := range c.runs[k.id] {
			starts = append(starts, r.At)
		}
	}
	if len(starts) < crashes {
		return 0
	}
	known := starts[crashes-1].Add(faultFreeTime + time.Second) // allows for the end of that run and one more crash
	for _, k := range calls {
		if k.faultFree && k.sent.After(known) && !c.h.allKilledBetween(known, k.sent) {
			late += len(c.runs[k.id])
		}
	}
	return late
}

// allKilledBetween reports whether all VMs were killed between from and to, or less than twice
// faultFreeTime before from.
func (h *harness) allKilledBetween(from, to time.Time) bool {
	for _, at := range h.allKilled {
		if at.After(from.Add(-2*faultFreeTime)) && at.Before(to) {
			return true
		}
	}
	return false
}
