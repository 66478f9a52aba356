package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

// Replicas say of themselves that they take few requests, want a rest, or leave. These faults
// are drawn apart from the others, in two of three seeds, and count as no trouble: the replicas
// that are left serve all calls.

const (
	// signalSeeds is how many seeds in a row hold one without such faults.
	signalSeeds = 3
	// signalPause is the longest pause between two of them.
	signalPause = 1500 * time.Millisecond
	// crossingTime is how long after a VM was told calls may still be on their way.
	crossingTime = 500 * time.Millisecond
	// heldUp is how long a call may take to a replica, or else its link is harmed.
	heldUp = 300 * time.Millisecond
	// limitWindow, limitExcess and limitSlack bound what a replica that names a limit gets.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// restMost is how many calls a replica may get from a VM within the rest that it asked for.
	restMost = 2
)

// signals are what a replica may come to say, and for how long it says it.
var signals = []struct {
	name string
	say  func(rng *rand.Rand) platformlab.Signals
	last time.Duration
}{
	{"a replica names a limit", func(rng *rand.Rand) platformlab.Signals {
		return platformlab.Signals{Limit: strconv.FormatFloat(0.2+4*rng.Float64(), 'f', 1, 64)}
	}, 7 * time.Second},
	{"a replica asks for rest", func(*rand.Rand) platformlab.Signals { return platformlab.Signals{Rest: "2"} }, 3 * time.Second},
	{"a replica says that it leaves", func(*rand.Rand) platformlab.Signals { return platformlab.Signals{Leaving: true} }, 4 * time.Second},
}

// injectSignals draws such faults one after the other until ctx ends, if the seed has any. The
// function that it returns waits for the last, and tells how many there were by name.
func (w *world) injectSignals(ctx context.Context, seed uint64) (wait func() map[string]int) {
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
			w.signal(s.say(rng), s.last, rng)
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}

// signal lets a replica say something for a while. One that leaves is gone afterwards.
func (w *world) signal(s platformlab.Signals, last time.Duration, rng *rand.Rand) {
	if !s.Leaving {
		r := w.anyReplica(rng)
		r.SetSignals(s)
		time.Sleep(last)
		r.SetSignals(platformlab.Signals{})
		return
	}
	r := w.takeReplica(rng)
	w.replace(r)
	r.SetSignals(s)
	time.Sleep(last)
	defer w.begin()()
	r.Crash()
	w.store.Remove("servers", r.ID)
}

// signals: replicas get what they said that they take, of all VMs that they have told.
func (c *checker) signals(calls []call) {
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	at := map[string][]platformlab.Arrival{}
	for _, a := range c.w.ledger.Arrivals() {
		if k := byID[a.Request]; k != nil && a.At.Sub(k.sent) < heldUp {
			at[a.Replica] = append(at[a.Replica], a)
		}
	}
	for replica, arrivals := range at {
		c.leaving(replica, arrivals, byID)
		c.rest(replica, arrivals, byID)
		c.limit(replica, arrivals, byID)
	}
}

// leaving: a VM sends nothing any more to a replica that has told it that it leaves.
func (c *checker) leaving(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	told := map[*process]time.Time{}
	for _, a := range arrivals {
		vm := byID[a.Request].vm
		since, known := told[vm]
		if known && !vm.signalledBetween(since, a.At) && byID[a.Request].sent.After(since.Add(drainTime)) {
			c.say("call %s reached %s, %v after it had told %s that it leaves", a.Request, replica, a.At.Sub(since), vm.name)
		}
		if a.Signals.Leaving && (!known || vm.signalledBetween(since, a.At)) {
			told[vm] = a.At
		}
	}
}

// rest: a replica that asked a VM for a rest has it.
func (c *checker) rest(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	for i, asked := range arrivals {
		seconds, err := strconv.Atoi(asked.Signals.Rest)
		if err != nil {
			continue // it asked for none
		}
		vm, n := byID[asked.Request].vm, 0
		from, till := asked.At.Add(crossingTime), asked.At.Add(time.Duration(seconds)*time.Second)
		for _, a := range arrivals[i+1:] {
			if a.At.After(from) && a.At.Before(till) && byID[a.Request].vm == vm {
				n++
			}
		}
		if n > restMost && !vm.signalledBetween(asked.At, till) {
			c.say("%s got %d calls from %s within the rest that it asked for at %s", replica, n, vm.name, asked.At.Format(timeOfDay))
		}
	}
}

// limit: a replica that names a limit gets no more than it tolerates. What a VM sends before
// the first answer has reached it does not count.
func (c *checker) limit(replica string, arrivals []platformlab.Arrival, byID map[string]*call) {
	told := map[*process]time.Time{}
	var counted []time.Time
	limit := ""
	for _, a := range arrivals {
		vm := byID[a.Request].vm
		if a.Signals.Limit != limit {
			limit, counted = a.Signals.Limit, nil
			clear(told)
		}
		if limit == "" {
			continue
		}
		since, known := told[vm]
		if !known || vm.signalledBetween(since, a.At) {
			told[vm] = a.At
			continue
		}
		if a.At.Before(since.Add(crossingTime)) {
			continue
		}
		counted = append(counted, a.At)
		for a.At.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		rate, err := strconv.ParseFloat(limit, 64)
		if err != nil {
			panic(err) // the soak's own limits are always valid
		}
		if allowed := limitExcess*rate*limitWindow.Seconds() + limitSlack; float64(len(counted)) > allowed {
			c.say("%s names %s a second and got %d calls in the %v before %s, %.1f are allowed",
				replica, limit, len(counted), limitWindow, a.At.Format(timeOfDay), allowed)
			return
		}
	}
}
