package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

// extraFaults are drawn from a random source of their own, so that a seed draws the same sequence
// from faults as before extraFaults were added.
var extraFaults = []fault{
	{"a request crashes replicas", func(h *harness, rng *rand.Rand) { h.repeatFatal(rng) }},
	{"suspend a VM", func(h *harness, rng *rand.Rand) { h.suspend(rng, h.anyVM(rng)) }},
	{"suspend half of the VMs", func(h *harness, rng *rand.Rand) {
		h.suspend(rng, h.vms[:(len(h.vms)+1)/2]...)
	}},
}

const (
	// One in extraFaultSeeds seeds has extra faults.
	extraFaultSeeds = 3
	// suspension is how far suspend advances the clock that governs expiry in a VM. The timers of
	// the VM do not advance.
	suspension = 3 * time.Second
)

// suspend stops processes for up to a second and advances their clocks by suspension, as if the
// VMs had been suspended for longer.
func (h *harness) suspend(rng *rand.Rand, vms ...*process) {
	for _, p := range vms {
		defer p.begin()()
		p.signal(syscall.SIGSTOP)
	}
	sleep(rng, time.Second)
	h.mu.Lock()
	h.suspended = true
	h.mu.Unlock()
	for _, p := range vms {
		p.signal(syscall.SIGUSR2) // the process handles it before anything else once it continues
		p.signal(syscall.SIGCONT)
	}
}

// injectExtraFaults draws extra faults one after the other until ctx ends, if the seed has any.
// The returned function waits for the last fault and returns the number of faults by name.
func (h *harness) injectExtraFaults(ctx context.Context, seed uint64) (wait func() map[string]int) {
	if seed%extraFaultSeeds != 0 {
		return func() map[string]int { return nil }
	}
	rng := rand.New(rand.NewPCG(seed, extraFaultSeeds))
	counts := make(chan map[string]int, 1)
	go func() {
		n := map[string]int{}
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))) {
			f := extraFaults[rng.IntN(len(extraFaults))]
			n[f.name]++
			f.do(h, rng)
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}
