package peers

import (
	"time"

	"github.com/threadwall/threadwall/internal/clock"
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

func reportProto(id ids.Target, r membership.Report) *peerpb.TargetReport {
	return &peerpb.TargetReport{
		Target: targetHash(id), Incarnation: uint64(r.Incarnation), Seq: r.Seq,
		QueuedTokens: uint32(max(r.QueuedTokens, 0)), Running: uint32(max(r.Running, 0)), Slots: uint32(max(r.Slots, 0)),
		PrefillRate: uint32(max(r.PrefillRate, 0)), Leaving: r.Leaving, Silent: r.Silent, Weights: string(r.Weights),
	}
}

// Publish applies this VM's own report on a target, r, and queues it for the peers if it differs
// enough from sent, the last report sent to them, or if sentAt, the time of that report, is more
// than reportInterval ago. It reports whether r was queued.
func (n *Node) Publish(id ids.Target, r, sent membership.Report, sentAt, now time.Time) bool {
	before := n.Fleet.Members.State(id, now)
	if !n.Fleet.Members.ApplyReport(id, r, now) {
		return false
	}
	urgent := r.Leaving != sent.Leaving || r.Silent != sent.Silent || r.Incarnation != sent.Incarnation ||
		r.Weights != sent.Weights || n.Fleet.Members.State(id, now) != before
	if urgent {
		n.Fleet.MarkDirty()
	}
	if !urgent && !worthSending(sent, r, now.Sub(sentAt)) {
		return false
	}
	n.outbox.Report(reportProto(id, r), urgent)
	if urgent {
		select {
		case n.urgent <- struct{}{}:
		default:
		}
	}
	return true
}

// Urgent returns a channel that receives a value when an update must not wait for the next
// interval.
func (n *Node) Urgent() <-chan struct{} { return n.urgent }

const (
	loadChangeTokens = 500              // smaller changes of the queue are not sent
	loadChangeRatio  = 0.25             // nor are changes by a smaller fraction of the queue
	reportInterval   = 30 * time.Second // an unchanged load is sent again after this time
)

func worthSending(sent, r membership.Report, age time.Duration) bool {
	diff := r.QueuedTokens - sent.QueuedTokens
	if diff < 0 {
		diff = -diff
	}
	return age > reportInterval || diff > loadChangeTokens && float64(diff) > loadChangeRatio*float64(sent.QueuedTokens)
}

// probersPerTarget is how many VMs of a domain probe each of its targets.
const probersPerTarget = 2

// IsProber reports whether this VM probes a target. In the target's domain the two live or joining
// VMs with the highest rendezvous weight do; in a small fleet also one VM of each other domain. In a
// large fleet the probes across domains would outnumber all others, and each domain has enough
// targets of its own: targets of other domains then stay suspect and are used only as a last
// resort.
func (n *Node) IsProber(id ids.Target, domain ids.FailureDomain) bool {
	if domain != n.Domain {
		return n.isSmallFleet() && n.rank(id) == 0
	}
	return n.rank(id) < probersPerTarget
}

// IsFeedReader reports whether this VM reads a target's cache feed for its domain.
func (n *Node) IsFeedReader(id ids.Target, domain ids.FailureDomain) bool {
	return domain == n.Domain && n.rank(id) == 0
}

// IsWatcher reports whether this VM watches the object API for its domain: the two live VMs with
// the lowest names do, and all others receive changes from peers.
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

// isSmallFleet reports whether all VMs exchange updates across domains (see smallFleetPeers).
func (n *Node) isSmallFleet() bool {
	return len(n.Fleet.Members.Peers(clock.Now())) <= smallFleetPeers
}
