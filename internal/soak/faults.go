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

// fault is one kind of trouble; it returns when it is over.
type fault struct {
	name string
	do   func(w *world, rng *rand.Rand)
}

// faults are all kinds that a seed draws from. Those of one VM are noted on it;
// the others count as trouble anywhere.
var faults = []fault{
	{"kill a VM", func(w *world, rng *rand.Rand) { w.restart(w.anyVM(rng), syscall.SIGKILL, rng) }},
	{"stop a VM", func(w *world, rng *rand.Rand) { w.restart(w.anyVM(rng), syscall.SIGTERM, rng) }},
	{"stop a VM, and kill it on the way", func(w *world, rng *rand.Rand) {
		p := w.anyVM(rng)
		p.signal(syscall.SIGTERM)
		sleep(rng, time.Second)
		w.restart(p, syscall.SIGKILL, rng)
	}},
	{"pause a VM", func(w *world, rng *rand.Rand) {
		p := w.anyVM(rng)
		defer p.begin()()
		p.signal(syscall.SIGSTOP)
		sleep(rng, 3*time.Second)
		p.signal(syscall.SIGCONT)
	}},
	{"hang up a VM", func(w *world, rng *rand.Rand) { w.anyVM(rng).signal(syscall.SIGHUP) }},
	{"kill all VMs", func(w *world, rng *rand.Rand) {
		defer w.begin()()
		for _, p := range w.vms {
			p.signal(syscall.SIGKILL)
		}
		w.mu.Lock()
		w.wiped = append(w.wiped, time.Now())
		w.mu.Unlock()
		sleep(rng, 500*time.Millisecond)
		for _, p := range w.vms {
			w.restart(p, syscall.SIGKILL, rng)
		}
	}},
	{"cut a VM from the store", func(w *world, rng *rand.Rand) {
		p := w.anyVM(rng)
		defer p.begin()()
		w.onProxy(p.store, rng, 4*time.Second)
	}},
	{"reset a VM's connections to the store", func(w *world, rng *rand.Rand) {
		p := w.anyVM(rng)
		p.touch()
		p.store.Reset()
	}},
	{"cut a replica off", func(w *world, rng *rand.Rand) {
		defer w.begin()()
		w.onProxy(w.anyReplica(rng).proxy, rng, 2*time.Second)
	}},
	{"reset a replica's connections", func(w *world, rng *rand.Rand) {
		defer w.begin()()
		w.anyReplica(rng).proxy.Reset()
	}},
	{"store down", func(w *world, rng *rand.Rand) {
		defer w.begin()()
		w.store.SetFaults(platformlab.StoreFaults{Down: []string{"busy", "reset", "silent"}[rng.IntN(3)]})
		sleep(rng, 4*time.Second)
		w.store.SetFaults(platformlab.StoreFaults{})
	}},
	{"store slow, and loses answers", func(w *world, rng *rand.Rand) {
		defer w.begin()()
		w.store.SetFaults(platformlab.StoreFaults{Delay: 150 * time.Millisecond, LostResponses: 0.4})
		sleep(rng, 3*time.Second)
		w.store.SetFaults(platformlab.StoreFaults{})
	}},
	{"store forgets its history", func(w *world, _ *rand.Rand) {
		defer w.begin()()
		w.store.Compact()
	}},
	{"replica loses answers", func(w *world, rng *rand.Rand) {
		w.misbehave(rng, func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	}},
	{"replica fails", func(w *world, rng *rand.Rand) {
		w.misbehave(rng, func(rw http.ResponseWriter, _ *http.Request) bool {
			platformlab.Fail(rw)
			return true
		})
	}},
	{"replica hangs", func(w *world, rng *rand.Rand) {
		w.misbehave(rng, func(_ http.ResponseWriter, req *http.Request) bool { <-req.Context().Done(); return true })
	}},
	{"replica answers without a signature", func(w *world, rng *rand.Rand) {
		w.misbehave(rng, func(rw http.ResponseWriter, _ *http.Request) bool {
			_, _ = rw.Write([]byte("rubbish"))
			return true
		})
	}},
	{"replica crashes", func(w *world, rng *rand.Rand) {
		defer w.begin()()
		r := w.takeReplica(rng)
		r.Crash()
		sleep(rng, time.Second)
		w.store.Remove("servers", r.ID)
		w.replace(r)
	}},
	{"replica drains", func(w *world, rng *rand.Rand) {
		r := w.takeReplica(rng)
		r.Drain()
		w.mu.Lock()
		w.left[r.ID] = time.Now()
		w.mu.Unlock()
		w.replace(r)
		time.Sleep(drainTime + time.Second)
		defer w.begin()()
		r.Crash()
		w.store.Remove("servers", r.ID)
	}},
	{"a key is taken away", func(w *world, rng *rand.Rand) {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := rng.IntN(keyCount)
		old := w.keys[i]
		w.keys[i] = w.newKey()
		w.config.Tenants[i].APIKeys = []string{w.keys[i]}
		w.config.Version += 1 + rng.IntN(3)
		w.write()
		w.revoked[old], w.born[w.keys[i]] = time.Now(), time.Now()
	}},
	{"configurations in a row", func(w *world, rng *rand.Rand) {
		for range 5 {
			w.mu.Lock()
			w.config.Version++
			w.write()
			w.mu.Unlock()
			sleep(rng, 60*time.Millisecond)
		}
	}},
	{"new weights", func(w *world, _ *rand.Rand) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.weights++
		w.store.Put("versions", model, map[string]any{"model": model, "version": w.weights})
	}},
}

// inject draws faults until ctx ends, several at a time, and waits for the last.
func (w *world) inject(ctx context.Context, rng *rand.Rand, done func(name string)) {
	slots := make(chan struct{}, faultsAtOnce)
	for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(faultPause)))) {
		f := faults[rng.IntN(len(faults))]
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		slots <- struct{}{}
		done(f.name)
		go func() {
			defer func() { <-slots }()
			f.do(w, own)
		}()
	}
	for range faultsAtOnce {
		slots <- struct{}{}
	}
}

const (
	// faultsAtOnce is how many faults may go on together.
	faultsAtOnce = 3
	// faultPause is the longest pause between the beginnings of two faults.
	faultPause = 1200 * time.Millisecond
)

// sleep waits for a drawn part of longest.
func sleep(rng *rand.Rand, longest time.Duration) {
	time.Sleep(longest/4 + time.Duration(rng.Int64N(int64(longest)*3/4)))
}

func (w *world) anyVM(rng *rand.Rand) *process { return w.vms[rng.IntN(len(w.vms))] }

// restart ends a process by a signal and starts it again.
func (w *world) restart(p *process, s syscall.Signal, rng *rand.Rand) {
	p.signal(s)
	if !p.await(grace + time.Second) {
		p.signal(syscall.SIGKILL) // as the platform does
		p.await(time.Second)
	}
	sleep(rng, 500*time.Millisecond)
	if err := p.start(); err != nil {
		panic(err) // the soak can't go on without its processes
	}
	p.touch()
}

// onProxy brings a drawn fault of a path about.
func (w *world) onProxy(p *Proxy, rng *rand.Rand, longest time.Duration) {
	p.Set([]Fault{Delay, Silence, NoReply, Refuse}[rng.IntN(4)])
	sleep(rng, longest)
	p.Set(Pass)
}

func (w *world) anyReplica(rng *rand.Rand) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[rng.IntN(len(w.replicas))]
}

// takeReplica takes one out of the list, so that nothing else happens to it.
func (w *world) takeReplica(rng *rand.Rand) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := rng.IntN(len(w.replicas))
	r := w.replicas[i]
	w.replicas = append(w.replicas[:i], w.replicas[i+1:]...)
	return r
}

// replace starts a replica in the place of one that is gone.
func (w *world) replace(r *replica) {
	if err := w.addReplica(r.Service); err != nil {
		panic(err) // the soak can't go on without its replicas
	}
}

// misbehave lets a replica answer a part of its requests badly for a while.
func (w *world) misbehave(rng *rand.Rand, badly func(http.ResponseWriter, *http.Request) bool) {
	defer w.begin()()
	r := w.anyReplica(rng)
	r.SetHandler(func(rw http.ResponseWriter, req *http.Request) bool {
		if rand.IntN(2) == 0 {
			return false
		}
		return badly(rw, req)
	})
	sleep(rng, 2*time.Second)
	r.SetHandler(nil)
}
