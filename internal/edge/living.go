package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// liveVM is this VM, or a VM that sent a message within the last aliveFor.
type liveVM struct {
	vm     ids.VM
	domain ids.FailureDomain
	hash   uint64
}

// liveVMs is a snapshot of the live VMs, with a cache of the readers of each cache feed. Safe for
// concurrent use.
type liveVMs struct {
	byDomain map[ids.FailureDomain][]liveVM
	domain   map[ids.VM]ids.FailureDomain

	mu      sync.Mutex
	readers map[ids.Target][]ids.VM
	ranks   map[ids.Target]int // of this VM, by target
}

// liveVMsFor is how long a snapshot of the live VMs is reused.
const liveVMsFor = 50 * time.Millisecond

// live returns the live VMs. It returns the same snapshot as long as the set is unchanged, which
// keeps the caches in it valid: they cost a hash for each VM and target to compute.
func (c *vmList) live() *liveVMs {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.alive != nil && now.Sub(c.aliveAt) < liveVMsFor {
		return c.alive
	}
	own := c.d.Settings
	domain := map[ids.VM]ids.FailureDomain{own.VM: own.FailureDomain}
	same := c.alive != nil
	for _, r := range c.records {
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
	l := &liveVMs{byDomain: map[ids.FailureDomain][]liveVM{}, domain: domain, readers: map[ids.Target][]ids.VM{}, ranks: map[ids.Target]int{}}
	for vm, d := range domain {
		l.byDomain[d] = append(l.byDomain[d], liveVM{vm, d, routing.HashTarget(ids.Target(vm))})
	}
	c.alive = l
	return l
}

// feedReaders returns the VMs that read the cache feed of a target, as far as this VM knows; the
// first reports its content to the others. All VMs that see the same VMs as live choose the same
// readers.
func (c *vmList) feedReaders(id ids.Target, domain ids.FailureDomain) []ids.VM {
	return c.live().readersOf(id, domain)
}

// readersOf returns the VMs that read the cache feed of a target. The caller must not modify the
// result.
func (l *liveVMs) readersOf(id ids.Target, domain ids.FailureDomain) []ids.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.readers[id]; ok {
		return r
	}
	r := l.chooseReaders(id, domain)
	l.readers[id] = r
	return r
}

// chooseReaders chooses VMs of the target's failure domain by rendezvous hashing, and VMs of other
// domains only if that domain has too few.
func (l *liveVMs) chooseReaders(id ids.Target, domain ids.FailureDomain) []ids.VM {
	out := l.topRanked(id, l.byDomain[domain], readersPerFeed)
	if len(out) == readersPerFeed {
		return out
	}
	var others []liveVM
	for d, vms := range l.byDomain {
		if d != domain {
			others = append(others, vms...)
		}
	}
	return append(out, l.topRanked(id, others, readersPerFeed-len(out))...)
}

// topRanked returns the n VMs with the highest rendezvous weights for a target.
func (l *liveVMs) topRanked(id ids.Target, vms []liveVM, n int) []ids.VM {
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
