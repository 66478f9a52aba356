package peers

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/routing"
)

func membershipReport(r *peerpb.TargetReport) membership.Report {
	return membership.Report{
		Incarnation: ids.Incarnation(r.Incarnation), Seq: r.Seq,
		QueuedTokens: int(r.QueuedTokens), Running: int(r.Running), Slots: int(r.Slots),
		PrefillRate: float64(r.PrefillRate), Leaving: r.Leaving, Silent: r.Silent,
		Weights: ids.WeightsVersion(r.Weights),
	}
}

// Publish takes in this VM's own probe of a target and passes it on if it says
// something that peers should know.
func (n *Node) Publish(id ids.Target, r membership.Report, prev membership.Report, prevAt, now time.Time) {
	before := n.Fleet.Members.State(id, now)
	if !n.Fleet.Members.Probed(id, r, now) {
		return
	}
	urgent := r.Leaving != prev.Leaving || r.Silent != prev.Silent || r.Incarnation != prev.Incarnation ||
		r.Weights != prev.Weights || n.Fleet.Members.State(id, now) != before
	if urgent {
		n.Fleet.MarkDirty()
	}
	if !urgent && !worthTelling(prev, r, now.Sub(prevAt)) {
		return
	}
	n.news.AddReport(&peerpb.TargetReport{
		Target: routing.HashTarget(id), Incarnation: uint64(r.Incarnation), Seq: r.Seq,
		QueuedTokens: uint32(max(r.QueuedTokens, 0)), Running: uint32(max(r.Running, 0)), Slots: uint32(max(r.Slots, 0)),
		PrefillRate: uint32(max(r.PrefillRate, 0)), Leaving: r.Leaving, Silent: r.Silent, Weights: string(r.Weights),
	}, urgent)
}

const (
	loadChangeTokens = 500              // a smaller change of the queue is not worth telling
	loadChangeRatio  = 0.25             // nor one of a smaller part
	tellAgain        = 30 * time.Second // an unchanged load is told again after this
)

func worthTelling(prev, r membership.Report, age time.Duration) bool {
	diff := r.QueuedTokens - prev.QueuedTokens
	if diff < 0 {
		diff = -diff
	}
	return age > tellAgain || diff > loadChangeTokens && float64(diff) > loadChangeRatio*float64(prev.QueuedTokens)
}

// Owns tells whether this VM is one of those that probe a target: the two of its
// failure domain with the highest rendezvous weight among the live ones.
func (n *Node) Owns(id ids.Target, domain ids.FailureDomain, peers []membership.PeerStatus) bool {
	if domain != n.Domain {
		return n.ownsFar(id, peers)
	}
	return n.rank(id, peers) < probersPerTarget
}

const probersPerTarget = 2

// rank is how many live VMs of the domain come before this one for a target.
func (n *Node) rank(id ids.Target, peers []membership.PeerStatus) int {
	own, before := weight(id, n.VM), 0
	for _, p := range peers {
		if p.FailureDomain == n.Domain && p.State >= routing.Joining && weight(id, p.ID) > own {
			before++
		}
	}
	return before
}

// ownsFar lets one VM of this domain probe each target of other domains, so that
// the domain knows what it may spill to.
func (n *Node) ownsFar(id ids.Target, peers []membership.PeerStatus) bool {
	return n.rank(id, peers) == 0
}

func weight(id ids.Target, vm ids.VM) uint64 {
	return routing.HashTarget(ids.Target(string(id) + "\x00" + string(vm)))
}

// IsWatcher tells whether this VM watches the object API for its domain: the two
// live VMs with the lowest names do, all others hear of changes from peers.
func (n *Node) IsWatcher(now time.Time) bool {
	before := 0
	for _, p := range n.Fleet.Members.Peers(now) {
		if p.FailureDomain == n.Domain && p.ID < n.VM && p.State == routing.Live {
			before++
		}
	}
	return before < watchersPerDomain
}

const watchersPerDomain = 2

// First tells whether this VM reads a target's cache feed for its domain.
func (n *Node) First(id ids.Target, domain ids.FailureDomain, peers []membership.PeerStatus) bool {
	return domain == n.Domain && n.rank(id, peers) == 0
}
