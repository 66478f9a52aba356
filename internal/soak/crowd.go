package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/lab/crowd"
	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/lab/procstat"
	"github.com/threadwall/threadwall/internal/timing"
)

// In a soak with crowds, clients that don't behave come to VMs: several crowds may overlap, at one VM or at several, with signals,
// restarts and changes. VMs have little memory and few descriptors, and the soak kills those that exceed their memory. No VM may be
// killed or exceed its descriptors, and once the crowds have gone all calls must be served.

const (
	// crowdSource selects the random source of crowds.
	crowdSource = 0x4377
	// crowdPause is the longest pause between the beginnings of two crowds.
	crowdPause = 800 * time.Millisecond
	// A crowd has minCrowd to maxCrowd clients and lasts for up to crowdTime.
	minCrowd, maxCrowd = 20, 150
	crowdTime          = 2 * time.Second
	// crowdedDescriptors is the number of descriptors of a VM: three eighths are for callers.
	crowdedDescriptors = 320
)

// maxDescriptors returns the number of descriptors of a VM. Zero: as many as a process may open.
func maxDescriptors(o *Options) int {
	if o.Crowds {
		return crowdedDescriptors
	}
	return 0
}

// injectCrowds has crowds come to VMs until ctx ends. The returned function waits until the last one has gone, and returns their number by
// form.
func (h *harness) injectCrowds(ctx context.Context, seed uint64) (wait func() map[string]int) {
	rng := rand.New(rand.NewPCG(seed, crowdSource))
	forms := crowdForms()
	names := slices.Sorted(maps.Keys(forms))
	counts := make(chan map[string]int, 1)
	go func() {
		n := map[string]int{}
		gone := make(chan struct{})
		open := 0
		for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(crowdPause)))) {
			name := names[rng.IntN(len(names))]
			p, clients, lasts, holds := h.vms[rng.IntN(len(h.vms))], minCrowd+rng.IntN(maxCrowd-minCrowd), time.Duration(rng.Int64N(int64(crowdTime))), rng.IntN(2) == 0
			n["crowd: "+name]++
			open++
			go func() {
				h.crowdAt(ctx, p, forms[name], clients, lasts, holds)
				gone <- struct{}{}
			}()
		}
		for ; open > 0; open-- {
			<-gone
		}
		counts <- n
	}()
	return func() map[string]int { return <-counts }
}

// crowdForms returns what clients of crowds send. Nobody knows their key.
func crowdForms() map[string]crowd.Form {
	call := platformlab.Call{ID: "crowd", Key: "of-nobody", Deadline: deadline}
	target := crowd.Target{Host: host, Path: pathRepeat + "x", Body: "drums", Head: call.Fields()}
	forms := crowd.Heads(target)
	maps.Copy(forms, crowd.Bodies(target))
	maps.Copy(forms, crowd.Idle(target))
	return forms
}

// crowdAt has a crowd at a VM for some time. If holds is set, it then keeps its connections for as long again.
func (h *harness) crowdAt(ctx context.Context, p *process, f crowd.Form, clients int, lasts time.Duration, holds bool) {
	defer p.begin()()
	c := crowd.Start(ctx, p.listen, f, clients)
	timing.Sleep(ctx, lasts)
	if holds {
		c.Hold()
		timing.Sleep(ctx, lasts)
	}
	h.lookAtDescriptors(p)
	c.End()
}

// lookAtDescriptors counts the descriptors that a VM has open.
func (h *harness) lookAtDescriptors(p *process) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	open := int64(procstat.Descriptors(cmd.Process.Pid))
	for {
		most := h.descriptors.Load()
		if open <= most || h.descriptors.CompareAndSwap(most, open) {
			return
		}
	}
}

// reportDescriptors adds the most descriptors of a VM to the report, and a violation if they are too many.
func (h *harness) reportDescriptors(r *Report) {
	r.MostDescriptors = int(h.descriptors.Load())
	if r.MostDescriptors > crowdedDescriptors {
		r.Violations = append(r.Violations, fmt.Sprintf("a VM had %d descriptors open, it has %d", r.MostDescriptors, crowdedDescriptors))
	}
}
