package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

// Faults that came later than the others. They are drawn apart, so that what a seed draws of
// those stays what it was.
var apart = []fault{
	{"a request crashes replicas", func(w *world, rng *rand.Rand) { w.repeatFatal(rng) }},
	{"suspend a VM", func(w *world, rng *rand.Rand) { suspend(rng, w.anyVM(rng)) }},
	{"suspend half of the VMs", func(w *world, rng *rand.Rand) {
		suspend(rng, w.vms[:(len(w.vms)+1)/2]...)
	}},
}

const (
	// apartSeeds is in how many seeds there are such faults: one in three.
	apartSeeds = 3
	// suspension is how far the clock of a suspended VM goes on while its timers stand still.
	suspension = 3 * time.Second
)

// suspend stops processes for a while, in which their clocks go on for longer.
func suspend(rng *rand.Rand, vms ...*process) {
	for _, p := range vms {
		defer p.begin()()
		p.signal(syscall.SIGSTOP)
	}
	sleep(rng, time.Second)
	for _, p := range vms {
		p.signal(syscall.SIGUSR2) // it is handled first of all when the process goes on
		p.signal(syscall.SIGCONT)
	}
}

// injectApart draws such faults one after the other until ctx ends, if the seed has any.
// The function that it returns waits for the last, and tells how many there were by name.
func (w *world) injectApart(ctx context.Context, seed uint64) (wait func() map[string]int) {
	if seed%apartSeeds != 0 {
		return func() map[string]int { return nil }
	}
	rng := rand.New(rand.NewPCG(seed, apartSeeds))
	counts := make(chan map[string]int, 1)
	go func() {
		n := map[string]int{}
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))) {
			f := apart[rng.IntN(len(apart))]
			n[f.name]++
			f.do(w, rng)
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}
