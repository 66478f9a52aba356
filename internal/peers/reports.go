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

// Publish takes in this VM's own probe of a target, and tells peers if it says
// something that they should know. told is the report that they were last told.
// It returns whether they were told.
func (n *Node) Publish(id ids.Target, r, told membership.Report, toldAt, now time.Time) bool {
	before := n.Fleet.Members.State(id, now)
	if !n.Fleet.Members.ApplyReport(id, r, now) {
		return false
	}
	urgent := r.Leaving != told.Leaving || r.Silent != told.Silent || r.Incarnation != told.Incarnation ||
		r.Weights != told.Weights || n.Fleet.Members.State(id, now) != before
	if urgent {
		n.Fleet.MarkDirty()
	}
	if !urgent && !worthTelling(told, r, now.Sub(toldAt)) {
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

// Urgent receives a token when there is news that must not wait for the next
// interval.
func (n *Node) Urgent() <-chan struct{} { return n.urgent }

const (
	loadChangeTokens = 500              // a smaller change of the queue is not worth telling
	loadChangeRatio  = 0.25             // nor one of a smaller part
	tellAgain        = 30 * time.Second // an unchanged load is told again after this
)

func worthTelling(told, r membership.Report, age time.Duration) bool {
	diff := r.QueuedTokens - told.QueuedTokens
	if diff < 0 {
		diff = -diff
	}
	return age > tellAgain || diff > loadChangeTokens && float64(diff) > loadChangeRatio*float64(told.QueuedTokens)
}

// probersPerTarget is how many VMs of a domain probe each of its targets.
const probersPerTarget = 2

// IsProber tells whether this VM is one of those that probe a target: of its own
// domain the two live VMs with the highest rendezvous weight; in a small fleet also
// one for each target of other domains. In a large one those probes would outweigh
// all others, and its domains have targets enough of their own: targets elsewhere
// then stay suspect, the last resort.
func (n *Node) IsProber(id ids.Target, domain ids.FailureDomain) bool {
	if domain != n.Domain {
		return n.smallFleet() && n.rank(id) == 0
	}
	return n.rank(id) < probersPerTarget
}

// IsFeedReader tells whether this VM reads a target's cache feed for its domain.
func (n *Node) IsFeedReader(id ids.Target, domain ids.FailureDomain) bool {
	return domain == n.Domain && n.rank(id) == 0
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

// smallFleet tells whether all VMs know each other's domains well.
func (n *Node) smallFleet() bool {
	return len(n.Fleet.Members.Peers(clock.Now())) <= smallFleet
}
