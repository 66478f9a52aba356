package edge

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/routing"
)

// limitPosition returns this VM's rank among the VMs that send to a target with a rate limit.
func (d *Daemon) limitPosition(id ids.Target) ratelimit.Position {
	domain, _ := d.domainOfTarget(id)
	return d.vms.limitPosition(id, domain)
}

// assumedFleetSize is the number of VMs that share a target's rate limit, as assumed while the
// list of VMs has not been read or is empty. It is the largest fleet that threadwall is built for.
const assumedFleetSize = 380

// limitPosition implements Daemon.limitPosition. VMs of the target's failure domain rank first,
// since their calls do not cross failure domains.
func (c *vmList) limitPosition(id ids.Target, domain ids.FailureDomain) ratelimit.Position {
	listed := c.count()
	if listed == 0 {
		return ratelimit.Position{Rank: assumedFleetSize, Live: 1, Listed: assumedFleetSize}
	}
	alive := c.live()
	return ratelimit.Position{
		Rank: alive.rankOf(id, domain, c.d.Settings.VM), Live: len(alive.domain), Listed: max(listed, len(alive.domain)),
	}
}

// rankOf returns how many live VMs rank before vm for a target. All calls pass the same VM, so the
// results are cached as long as the set of live VMs stays the same.
func (l *liveVMs) rankOf(id ids.Target, domain ids.FailureDomain, vm ids.VM) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rank, ok := l.ranks[id]; ok {
		return rank
	}
	rank, sameDomain, weight := 0, l.domain[vm] == domain, routing.VMWeight(id, vm)
	for other, d := range l.domain {
		if otherSameDomain := d == domain; otherSameDomain != sameDomain {
			if otherSameDomain {
				rank++
			}
		} else if routing.VMWeight(id, other) > weight {
			rank++
		}
	}
	l.ranks[id] = rank
	return rank
}

// onLimit applies a peer's report of a target's rate limit.
func (d *Daemon) onLimit(w ratelimit.Report) {
	if !d.Fleet.ApplyPeerLimit(w) {
		return
	}
	d.Log.State("replica-limit").Str("target", string(w.Target)).Uint64("incarnation", uint64(w.Incarnation)).Str("from", "news").
		Bool("limited", w.Limit.Announced).Float64("limit_per_s", w.Limit.PerSecond).Int64("age_ms", w.Age.Milliseconds()).Send()
}
