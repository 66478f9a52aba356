package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

// fault is a kind of fault that the soak injects. do returns when the fault is over.
type fault struct {
	name string
	do   func(h *harness, rng *rand.Rand)
}

// faults are the kinds that every seed draws from. A fault of one VM is recorded on its
// process; the others are recorded on the harness.
var faults = []fault{
	{"kill a VM", func(h *harness, rng *rand.Rand) { h.restart(h.anyVM(rng), syscall.SIGKILL, rng) }},
	{"stop a VM", func(h *harness, rng *rand.Rand) { h.restart(h.anyVM(rng), syscall.SIGTERM, rng) }},
	{"stop a VM, and kill it on the way", func(h *harness, rng *rand.Rand) {
		p := h.anyVM(rng)
		p.signal(syscall.SIGTERM)
		sleep(rng, time.Second)
		h.restart(p, syscall.SIGKILL, rng)
	}},
	{"pause a VM", func(h *harness, rng *rand.Rand) {
		p := h.anyVM(rng)
		defer p.begin()()
		p.signal(syscall.SIGSTOP)
		sleep(rng, 3*time.Second)
		p.signal(syscall.SIGCONT)
	}},
	{"hang up a VM", func(h *harness, rng *rand.Rand) { h.anyVM(rng).signal(syscall.SIGHUP) }},
	{"kill all VMs", func(h *harness, rng *rand.Rand) {
		defer h.begin()()
		for _, p := range h.vms {
			p.signal(syscall.SIGKILL)
		}
		h.mu.Lock()
		h.allKilled = append(h.allKilled, time.Now())
		h.mu.Unlock()
		sleep(rng, 500*time.Millisecond)
		for _, p := range h.vms {
			h.restart(p, syscall.SIGKILL, rng)
		}
	}},
	{"cut a VM from the store", func(h *harness, rng *rand.Rand) {
		p := h.anyVM(rng)
		defer p.begin()()
		h.injectProxyFault(p.store, rng, 4*time.Second)
	}},
	{"reset a VM's connections to the store", func(h *harness, rng *rand.Rand) {
		p := h.anyVM(rng)
		p.markFault()
		p.store.Reset()
	}},
	{"cut a replica off", func(h *harness, rng *rand.Rand) {
		defer h.begin()()
		h.injectProxyFault(h.anyReplica(rng).proxy, rng, 2*time.Second)
	}},
	{"reset a replica's connections", func(h *harness, rng *rand.Rand) {
		defer h.begin()()
		h.anyReplica(rng).proxy.Reset()
	}},
	{"store down", func(h *harness, rng *rand.Rand) {
		defer h.begin()()
		h.store.SetFaults(platformlab.StoreFaults{Down: []string{"busy", "reset", "silent"}[rng.IntN(3)]})
		sleep(rng, 4*time.Second)
		h.store.SetFaults(platformlab.StoreFaults{})
	}},
	{"store slow, and loses answers", func(h *harness, rng *rand.Rand) {
		defer h.begin()()
		h.store.SetFaults(platformlab.StoreFaults{Delay: 150 * time.Millisecond, LostResponses: 0.4})
		sleep(rng, 3*time.Second)
		h.store.SetFaults(platformlab.StoreFaults{})
	}},
	{"store forgets its history", func(h *harness, _ *rand.Rand) {
		defer h.begin()()
		h.store.Compact()
	}},
	{"replica loses answers", func(h *harness, rng *rand.Rand) {
		h.injectResponses(rng, func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	}},
	{"replica fails", func(h *harness, rng *rand.Rand) {
		h.injectResponses(rng, func(rw http.ResponseWriter, _ *http.Request) bool {
			platformlab.Fail(rw)
			return true
		})
	}},
	{"replica hangs", func(h *harness, rng *rand.Rand) {
		h.injectResponses(rng, func(_ http.ResponseWriter, req *http.Request) bool { <-req.Context().Done(); return true })
	}},
	{"replica answers without a signature", func(h *harness, rng *rand.Rand) {
		h.injectResponses(rng, func(rw http.ResponseWriter, _ *http.Request) bool {
			_, _ = rw.Write([]byte("rubbish"))
			return true
		})
	}},
	{"replica crashes", func(h *harness, rng *rand.Rand) {
		defer h.begin()()
		r := h.takeReplica(rng)
		r.Crash()
		sleep(rng, time.Second)
		h.store.Remove("servers", r.ID)
		h.replace(r)
	}},
	{"replica drains", func(h *harness, rng *rand.Rand) {
		r := h.takeReplica(rng)
		r.Drain()
		h.mu.Lock()
		h.drainStart[r.ID] = time.Now()
		h.mu.Unlock()
		h.replace(r)
		time.Sleep(drainTime + time.Second)
		defer h.begin()()
		r.Crash()
		h.store.Remove("servers", r.ID)
	}},
	{"a key is taken away", func(h *harness, rng *rand.Rand) { h.revokeKey(rng) }},
	{"configurations in a row", func(h *harness, rng *rand.Rand) {
		for range 5 {
			h.mu.Lock()
			h.config.Version++
			h.writeConfig()
			h.mu.Unlock()
			sleep(rng, 60*time.Millisecond)
		}
	}},
	{"new weights", func(h *harness, _ *rand.Rand) { h.newWeights() }},
}

// inject draws faults until ctx ends, up to faultsAtOnce at a time, and waits for the last. It
// calls count with the name of each fault before the fault starts.
func (h *harness) inject(ctx context.Context, rng *rand.Rand, count func(name string)) {
	slots := make(chan struct{}, faultsAtOnce)
	for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(faultPause)))) {
		f := faults[rng.IntN(len(faults))]
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		slots <- struct{}{}
		count(f.name)
		go func() {
			defer func() { <-slots }()
			f.do(h, own)
		}()
	}
	for range faultsAtOnce {
		slots <- struct{}{}
	}
}

const (
	// faultsAtOnce is the number of faults that may be active at the same time.
	faultsAtOnce = 3
	// faultPause bounds the drawn pause before the next fault.
	faultPause = 1200 * time.Millisecond
)

// sleep waits for a drawn time between a quarter of longest and longest.
func sleep(rng *rand.Rand, longest time.Duration) {
	time.Sleep(longest/4 + time.Duration(rng.Int64N(int64(longest)*3/4)))
}

func (h *harness) anyVM(rng *rand.Rand) *process { return h.vms[rng.IntN(len(h.vms))] }

// restart ends a process by a signal and starts it again. A process that outlives its grace
// period by a second gets SIGKILL.
func (h *harness) restart(p *process, s syscall.Signal, rng *rand.Rand) {
	p.signal(s)
	if !p.await(grace + time.Second) {
		p.signal(syscall.SIGKILL) // as the platform does
		p.await(time.Second)
	}
	sleep(rng, 500*time.Millisecond)
	if err := p.start(); err != nil {
		panic(err) // the soak needs all its processes
	}
	p.markFault()
}

// injectProxyFault applies a drawn fault to a proxy for a drawn time.
func (h *harness) injectProxyFault(p *Proxy, rng *rand.Rand, longest time.Duration) {
	p.Set([]Fault{Delay, Blackhole, NoReply, Refuse}[rng.IntN(4)])
	sleep(rng, longest)
	p.Set(Pass)
}

func (h *harness) anyReplica(rng *rand.Rand) *replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicas[rng.IntN(len(h.replicas))]
}

// takeReplica removes a random replica from the list, so that no other fault hits it.
func (h *harness) takeReplica(rng *rand.Rand) *replica {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := rng.IntN(len(h.replicas))
	r := h.replicas[i]
	h.replicas = append(h.replicas[:i], h.replicas[i+1:]...)
	return r
}

// replace starts another replica of the service of r.
func (h *harness) replace(r *replica) {
	if err := h.addReplica(r.Service); err != nil {
		panic(err) // the soak needs all its replicas
	}
}

// injectResponses has a replica answer half of its requests with respond for a drawn time.
// respond returns true if it handled the request; otherwise the replica executes it.
func (h *harness) injectResponses(rng *rand.Rand, respond func(http.ResponseWriter, *http.Request) bool) {
	defer h.begin()()
	r := h.anyReplica(rng)
	r.SetHandler(func(rw http.ResponseWriter, req *http.Request) bool {
		if rand.IntN(2) == 0 {
			return false
		}
		return respond(rw, req)
	})
	sleep(rng, 2*time.Second)
	r.SetHandler(nil)
}
