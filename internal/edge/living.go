package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// livingVM is a VM that was heard a short while ago, or this one.
type livingVM struct {
	vm     ids.VM
	domain ids.FailureDomain
	hash   uint64
}

// livingVMs are the VMs that live, as of a moment, and who of them reads which feed. Safe
// for concurrent use.
type livingVMs struct {
	in     map[ids.FailureDomain][]livingVM
	domain map[ids.VM]ids.FailureDomain

	mu      sync.Mutex
	readers map[ids.Target][]ids.VM
	ranks   map[ids.Target]int // of this VM
}

// livingFor is how long a look at which VMs live is used.
const livingFor = 50 * time.Millisecond

// living returns the VMs that live. As long as they are the same, so is what is returned: what
// follows from them costs a hash for each VM and target, and need not be worked out anew.
func (c *vmList) living() *livingVMs {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.alive != nil && now.Sub(c.aliveAt) < livingFor {
		return c.alive
	}
	own := c.d.Settings
	domain := map[ids.VM]ids.FailureDomain{own.VM: own.FailureDomain}
	same := c.alive != nil
	for _, r := range c.at {
		if r.VM == own.VM || !c.d.news.SeenWithin(r.VM, aliveFor) {
			continue
		}
		domain[r.VM] = r.FailureDomain
		same = same && c.alive.domain[r.VM] == r.FailureDomain
	}
	c.aliveAt = now
	if same && len(domain) == len(c.alive.domain) {
		return c.alive
	}
	l := &livingVMs{in: map[ids.FailureDomain][]livingVM{}, domain: domain, readers: map[ids.Target][]ids.VM{}, ranks: map[ids.Target]int{}}
	for vm, d := range domain {
		l.in[d] = append(l.in[d], livingVM{vm, d, routing.HashTarget(ids.Target(vm))})
	}
	c.alive = l
	return l
}

// feedReaders returns the VMs that read the feed of a target, as far as this VM knows,
// the one first that tells what it says. All VMs that hear each other agree on them.
func (c *vmList) feedReaders(id ids.Target, domain ids.FailureDomain) []ids.VM {
	return c.living().readersOf(id, domain)
}

// readersOf returns the VMs that read the feed of a target. The result must not be changed.
func (l *livingVMs) readersOf(id ids.Target, domain ids.FailureDomain) []ids.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.readers[id]; ok {
		return r
	}
	r := l.chooseReaders(id, domain)
	l.readers[id] = r
	return r
}

// chooseReaders picks VMs of the target's domain by rendezvous, and others only where that
// has too few.
func (l *livingVMs) chooseReaders(id ids.Target, domain ids.FailureDomain) []ids.VM {
	out := l.first(id, l.in[domain], readersPerFeed)
	if len(out) == readersPerFeed {
		return out
	}
	var others []livingVM
	for d, vms := range l.in {
		if d != domain {
			others = append(others, vms...)
		}
	}
	return append(out, l.first(id, others, readersPerFeed-len(out))...)
}

// first returns the n VMs that come first for a target.
func (l *livingVMs) first(id ids.Target, vms []livingVM, n int) []ids.VM {
	var out []ids.VM
	hash := routing.HashTarget(id)
	for len(out) < min(n, len(vms)) {
		var best ids.VM
		var weight uint64
		for _, v := range vms {
			if w := routing.RendezvousWeight(hash, v.hash); (best == "" || w > weight) && !slices.Contains(out, v.vm) {
				best, weight = v.vm, w
			}
		}
		out = append(out, best)
	}
	return out
}
