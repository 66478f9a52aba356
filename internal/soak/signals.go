package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

// Replicas announce a rate limit, ask for a rest, or announce that they leave. These signals
// have a random source of their own and occur in two of three seeds. They do not count as
// faults: the other replicas serve all calls.

const (
	// signalSeeds is the number of seeds in a row of which one has no signals.
	signalSeeds = 3
	// signalPause is the longest pause between two signals.
	signalPause = 1500 * time.Millisecond
	// inTransitTime is how long calls may still be in transit after a VM received a signal.
	inTransitTime = 500 * time.Millisecond
	// maxArrivalDelay is the longest time from caller to replica of a call that counts: one that takes
	// longer was delayed by a fault on its path.
	maxArrivalDelay = 300 * time.Millisecond
	// limitWindow, limitExcess and limitSlack bound the calls to a replica that announced a limit.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// maxCallsInRest is how many calls a VM may send to a replica within the rest that it asked for.
	maxCallsInRest = 2
)

// signals are the signals of a replica, and for how long it sends them.
var signals = []struct {
	name     string
	draw     func(rng *rand.Rand) platformlab.Signals
	duration time.Duration
}{
	{"a replica names a limit", func(rng *rand.Rand) platformlab.Signals {
		return platformlab.Signals{Limit: strconv.FormatFloat(0.2+4*rng.Float64(), 'f', 1, 64)}
	}, 7 * time.Second},
	{"a replica asks for rest", func(*rand.Rand) platformlab.Signals { return platformlab.Signals{Rest: "2"} }, 3 * time.Second},
	{"a replica says that it leaves", func(*rand.Rand) platformlab.Signals { return platformlab.Signals{Leaving: true} }, 4 * time.Second},
}

// injectSignals draws signals one after the other until ctx ends, if the seed has any. The
// returned function waits for the last signal and returns their number by name.
func (h *harness) injectSignals(ctx context.Context, seed uint64) (wait func() map[string]int) {
	if seed%signalSeeds == 0 {
		return func() map[string]int { return nil }
	}
	rng := rand.New(rand.NewPCG(seed, 100+signalSeeds))
	counts := make(chan map[string]int, 1)
	go func() {
		n := map[string]int{}
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(signalPause)))) {
			s := signals[rng.IntN(len(signals))]
			n[s.name]++
			h.signal(s.draw(rng), s.duration, rng)
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}

// signal has a random replica send s for the given time. A replica that announced that it
// leaves ends afterwards.
func (h *harness) signal(s platformlab.Signals, last time.Duration, rng *rand.Rand) {
	if !s.Leaving {
		r := h.anyReplica(rng)
		r.SetSignals(s)
		time.Sleep(last)
		r.SetSignals(platformlab.Signals{})
		return
	}
	r := h.takeReplica(rng)
	h.replace(r)
	r.SetSignals(s)
	time.Sleep(last)
	defer h.begin()()
	r.Crash()
	h.store.Remove("servers", r.ID)
}

// signals checks that the VMs that received a signal of a replica act on it.
func (c *checker) signals(calls []call) {
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	at := map[string][]platformlab.Arrival{}
	for _, a := range c.h.ledger.Arrivals() {
		if k := byID[a.Request]; k != nil && a.At.Sub(k.sent) < maxArrivalDelay {
			at[a.Replica] = append(at[a.Replica], a)
		}
	}
	for replica, arrivals := range at {
		c.leaving(replica, arrivals, byID)
		c.rest(replica, arrivals, byID)
		c.limit(replica, arrivals, byID)
	}
}

// leaving checks that a VM sends no call to a replica later than drainTime after that
// announced to it that it leaves.
func (c *checker) leaving(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	notified := map[*process]time.Time{}
	for _, a := range arrivals {
		vm := byID[a.Request].vm
		since, known := notified[vm]
		if known && !vm.signalledBetween(since, a.At) && byID[a.Request].sent.After(since.Add(drainTime)) {
			c.report("call %s reached %s, %v after that replica announced to %s that it leaves", a.Request, replica, a.At.Sub(since), vm.name)
		}
		if a.Signals.Leaving && (!known || vm.signalledBetween(since, a.At)) {
			notified[vm] = a.At
		}
	}
}

// rest checks that a VM sends at most maxCallsInRest calls to a replica within the rest that
// it asked for, apart from calls in transit.
func (c *checker) rest(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	for i, asked := range arrivals {
		seconds, err := strconv.Atoi(asked.Signals.Rest)
		if err != nil {
			continue // no rest asked for
		}
		vm, n := byID[asked.Request].vm, 0
		from, till := asked.At.Add(inTransitTime), asked.At.Add(time.Duration(seconds)*time.Second)
		for _, a := range arrivals[i+1:] {
			if a.At.After(from) && a.At.Before(till) && byID[a.Request].vm == vm {
				n++
			}
		}
		if n > maxCallsInRest && !vm.signalledBetween(asked.At, till) {
			c.report("%s got %d calls from %s within the rest that it asked for at %s", replica, n, vm.name, asked.At.Format(timeOfDay))
		}
	}
}

// limit checks that a replica that announces a limit gets no more calls than it tolerates.
// Calls that a VM sends before the first response has reached it do not count.
func (c *checker) limit(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	notified := map[*process]time.Time{}
	var counted []time.Time
	limit := ""
	for _, a := range arrivals {
		vm := byID[a.Request].vm
		if a.Signals.Limit != limit {
			limit, counted = a.Signals.Limit, nil
			clear(notified)
		}
		if limit == "" {
			continue
		}
		since, known := notified[vm]
		if !known || vm.signalledBetween(since, a.At) {
			notified[vm] = a.At
			continue
		}
		if a.At.Before(since.Add(inTransitTime)) {
			continue
		}
		counted = append(counted, a.At)
		for a.At.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		rate, err := strconv.ParseFloat(limit, 64)
		if err != nil {
			panic(err) // limits of the soak are always valid
		}
		if allowed := limitExcess*rate*limitWindow.Seconds() + limitSlack; float64(len(counted)) > allowed {
			c.report("%s announced a limit of %s requests/s and got %d calls in the %v before %s, allowed are %.1f",
				replica, limit, len(counted), limitWindow, a.At.Format(timeOfDay), allowed)
			return
		}
	}
}
