package edge

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/routing"
)

// standing returns this VM's place among those that send to a target that limits its rate.
func (d *Daemon) standing(id ids.Target) ratelimit.Position {
	domain, _ := d.domainOfTarget(id)
	return d.vms.standing(id, domain)
}

// unknownFleet is how many VMs there are taken to be, for a limit of them all, while the list
// of VMs has not been read or reads as empty: as many as threadwall is built for.
const unknownFleet = 380

// standing is Daemon.standing. VMs of the target's failure domain come first: what they send
// crosses no boundary.
func (c *vmList) standing(id ids.Target, domain ids.FailureDomain) ratelimit.Position {
	listed := c.count()
	if listed == 0 {
		return ratelimit.Position{Rank: unknownFleet, Live: 1, Listed: unknownFleet}
	}
	alive := c.living()
	return ratelimit.Position{
		Rank: alive.rankOf(id, domain, c.d.Settings.VM), Live: len(alive.domain), Listed: max(listed, len(alive.domain)),
	}
}

// rankOf is how many living VMs come before a VM for a target. It is always asked for the same
// VM, so the answers are kept as long as the same VMs live.
func (l *livingVMs) rankOf(id ids.Target, domain ids.FailureDomain, vm ids.VM) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rank, ok := l.ranks[id]; ok {
		return rank
	}
	rank, near, weight := 0, l.domain[vm] == domain, routing.VMWeight(id, vm)
	for other, d := range l.domain {
		if otherNear := d == domain; otherNear != near {
			if otherNear {
				rank++
			}
		} else if routing.VMWeight(id, other) > weight {
			rank++
		}
	}
	l.ranks[id] = rank
	return rank
}

// heardLimit takes in what a peer knows of a target's limit.
func (d *Daemon) heardLimit(w ratelimit.Report) {
	if !d.Fleet.ApplyPeerLimit(w) {
		return
	}
	d.Log.Belief("replica-limit").Str("target", string(w.Target)).Uint64("incarnation", uint64(w.Incarnation)).Str("from", "news").
		Bool("limited", w.Limit.Announced).Float64("limit_per_s", w.Limit.PerSecond).Int64("age_ms", w.Age.Milliseconds()).Send()
}
