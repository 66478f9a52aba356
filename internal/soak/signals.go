package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

// Replicas announce a rate limit, ask for a rest (they refuse all calls with Retry-After), or
// announce that they leave. These signals have a random source of their own and occur in two of
// three seeds. They do not count as faults: the other replicas serve all calls.

const (
	// One in signalSeeds seeds has no signals.
	signalSeeds = 3
	// signalPause is the longest pause between two signals.
	signalPause = 1500 * time.Millisecond
	// inTransitTime is how long calls may still be in transit after a replica sent a signal to
	// their VM.
	inTransitTime = 500 * time.Millisecond
	// maxArrivalDelay is the longest time from caller to replica of a call that counts. If a call
	// takes longer, a fault on its path delayed it.
	maxArrivalDelay = 300 * time.Millisecond
	// A replica that announces a limit may get replicaLimitExcess times that limit, plus
	// replicaLimitSlack calls, in any replicaLimitWindow.
	replicaLimitWindow = 4 * time.Second
	replicaLimitExcess = 1.5
	replicaLimitSlack  = 5
	// maxCallsInRest is how many calls a VM may send to a replica during the rest that the replica
	// asked for.
	maxCallsInRest = 2
)

// signals are the kinds of signals, and for how long a replica sends them.
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
// returned function waits for the last signal and returns the number of signals by name.
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

// signal has a random replica send s for the given duration. A replica that announces that it
// leaves is replaced at once and crashes afterwards.
func (h *harness) signal(s platformlab.Signals, duration time.Duration, rng *rand.Rand) {
	if !s.Leaving {
		r := h.anyReplica(rng)
		r.SetSignals(s)
		time.Sleep(duration)
		r.SetSignals(platformlab.Signals{})
		return
	}
	r := h.takeReplica(rng)
	h.replace(r)
	r.SetSignals(s)
	time.Sleep(duration)
	defer h.begin()()
	r.Crash()
	h.store.Remove("servers", r.ID)
}

// signals checks that VMs act on the signals that they receive from replicas.
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

// leaving checks that a VM sends no call to a replica later than drainTime after the replica
// announced to that VM that it leaves. A VM whose process received an OS signal or started in
// between may have lost the announcement.
func (c *checker) leaving(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	notified := map[*process]time.Time{}
	for _, a := range arrivals {
		vm := byID[a.Request].vm
		since, known := notified[vm]
		if known && !vm.signalledBetween(since, a.At) && byID[a.Request].sent.After(since.Add(drainTime)) {
			c.report("call %s reached %s, %v after that replica announced to %s that it leaves, allowed are %v", a.Request, replica, a.At.Sub(since), vm.name, drainTime)
		}
		if a.Signals.Leaving && (!known || vm.signalledBetween(since, a.At)) {
			notified[vm] = a.At
		}
	}
}

// rest checks that a VM sends at most maxCallsInRest calls to a replica during the rest that the
// replica asked for, apart from calls in transit.
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
			c.report("%s got %d calls from %s during the rest that it asked for at %s, allowed are %d", replica, n, vm.name, asked.At.Format(timeOfDay), maxCallsInRest)
		}
	}
}

// limit checks that a replica that announces a limit gets no more calls than the bound of
// replicaLimitWindow. Calls that a VM sends before it can know the limit do not count: the first
// that reaches the replica, and those within inTransitTime after it.
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
		for a.At.Sub(counted[0]) >= replicaLimitWindow {
			counted = counted[1:]
		}
		rate, err := strconv.ParseFloat(limit, 64)
		if err != nil {
			panic(err) // limits of the soak are always valid
		}
		if allowed := replicaLimitExcess*rate*replicaLimitWindow.Seconds() + replicaLimitSlack; float64(len(counted)) > allowed {
			c.report("%s announced a limit of %s requests/s and got %d calls in the %v before %s, allowed are %.1f",
				replica, limit, len(counted), replicaLimitWindow, a.At.Format(timeOfDay), allowed)
			return
		}
	}
}
