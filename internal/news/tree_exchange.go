package news

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/quarantine"
)

// fleetVM stands for all other VMs in the load tracker.
const fleetVM ids.VM = "(fleet)"

// runTreeRound waits for the next round and sends it; it returns early if ctx ends.
func (x *Exchange) runTreeRound(ctx context.Context) {
	timer := time.NewTimer(treeRoundInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	case <-x.tree.wake:
		delay := time.NewTimer(treeOrderDelay)
		defer delay.Stop()
		select {
		case <-ctx.Done():
			return
		case <-delay.C:
		}
	}
	x.sendTreeRound(clock.Now())
}

// sendTreeRound sends one round: a report, and a total if there is one.
func (x *Exchange) sendTreeRound(now time.Time) {
	x.enqueueCacheChanges()
	x.Dropped.Add(x.tree.takeDropped())
	x.Load.ExpirePeers(now)
	own, loads := x.ownDigest()
	s := x.tree.nextRound(x.VM, own, loads, now)
	var crashes, parts []quarantine.Report
	if s.full {
		parts, crashes = x.Parts.DueReports(len(s.reportTo)), x.Crashes.DueReports(len(s.reportTo))
	}
	x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation, Report: &s.report, Crashes: crashes, Parts: parts}, s.reportTo)
	if s.announce {
		x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation}, x.domainPeers())
	}
	if s.total == nil {
		return
	}
	x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation, Total: s.total, Crashes: crashes, Parts: parts}, s.totalTo)
	if s.applies {
		x.applyTotal(s.total, now)
	}
}

// enqueueCacheChanges queues this VM's cache changes as events.
func (x *Exchange) enqueueCacheChanges() {
	for changes := x.CacheChanges(); len(changes) > 0; {
		n := min(len(changes), maxDigestCacheChanges/2)
		x.tree.enqueue(event{VM: shortenVM(x.VM), CacheChanges: groupChanges(changes[:n])})
		changes = changes[n:]
	}
}

// ownDigest returns this VM's own state and loads.
func (x *Exchange) ownDigest() (digest, []Load) {
	var d digest
	var loads []Load
	x.Load.Own(func(t ids.Target, l loadview.TargetWork) {
		loads = append(loads, Load{Target: t, InFlight: l.InFlight, Pending: int(l.Pending), NotResumable: l.NotResumable})
	})
	for _, l := range loads {
		d.Loads = append(d.Loads, wireLoad{Target: shorten(l.Target), InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.NotResumable})
	}
	if unresponsive := x.Unresponsive(); len(unresponsive) > 0 {
		w := wireUnresponsive{VM: shortenVM(x.VM)}
		for _, id := range unresponsive {
			w.Targets = append(w.Targets, shorten(id))
		}
		d.Unresponsive = append(d.Unresponsive, w)
	}
	d.RecentWeights, d.Uses, d.Limits = x.RecentWeights(), x.Allowances.OwnUse(), wireLimits(x.VM, x.Limits())
	if x.Demand != nil {
		d.Demand = lenientOf(&demandSums{Report: packedReport(x.Demand.OwnReport()), VMs: 1})
	}
	d.Paces = toWirePaces(x.Load.OwnPaces(clock.Now()))
	if l := x.LeaseLapse(); l != nil {
		d.LeaseLapses = append(d.LeaseLapses, *l)
	}
	return d, loads
}

// TreePosition returns the parent of this VM in the tree, empty for a root or without a tree, and
// the number of VMs that report to this one.
func (x *Exchange) TreePosition() (parent ids.VM, children int) {
	x.tree.mu.Lock()
	defer x.tree.mu.Unlock()
	return x.tree.parent, len(x.tree.children)
}

// domainPeers returns the peers in this VM's failure domain.
func (x *Exchange) domainPeers() []Peer {
	var out []Peer
	for _, p := range x.peerList() {
		if p.FailureDomain == x.FailureDomain {
			out = append(out, p)
		}
	}
	return out
}

func (x *Exchange) sendTo(m Message, to []Peer) {
	if len(to) == 0 {
		return
	}
	data, err := Encode(&m)
	if err != nil || len(data) > maxDatagram {
		x.Rejected.Add(1)
		return
	}
	for _, p := range to {
		x.write(data, p, &x.Sent)
	}
}

// handleDigest handles a received report or total.
func (x *Exchange) handleDigest(m *Message, now time.Time) {
	d, isTotal := m.Report, m.Total != nil
	if isTotal {
		d = m.Total
	}
	from, listed := x.tree.peer(m.VM)
	if !listed {
		return
	}
	applies := x.tree.receive(from, *d, isTotal, from.FailureDomain == x.FailureDomain, now)
	if isTotal && !applies {
		return // from a VM that is no longer the parent
	}
	for _, e := range d.Events {
		if e.VM != shortenVM(x.VM) {
			x.handleEvent(e)
		}
	}
	if applies {
		x.applyTotal(d, now)
	}
}

func (x *Exchange) handleEvent(e event) {
	for _, o := range e.Orders {
		x.OnOrder(o)
	}
	for _, addr := range e.StoreDown {
		x.OnStoreDown(addr)
	}
	for i := range e.CacheChanges {
		if t, ok := x.Resolve(uint32(e.CacheChanges[i].Target)); ok {
			for _, c := range e.CacheChanges[i].changes(t) {
				x.OnCacheChange(c)
			}
		}
	}
}

// applyTotal applies a total as the state of the fleet.
func (x *Exchange) applyTotal(d *digest, now time.Time) {
	members := d.members()
	for _, m := range members {
		if p, ok := x.tree.peerByShort(m.vm); ok {
			x.recordContact(p.VM, 0, now)
			x.Allowances.MarkSeen(p.VM)
		}
	}
	total := make([]Load, 0, len(d.Loads))
	for _, l := range d.Loads {
		if t, ok := x.Resolve(uint32(l.Target)); ok {
			total = append(total, Load{Target: t, InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.NotResumable})
		}
	}
	loads := map[ids.Target]loadview.TargetWork{}
	total, uses := x.tree.subtractOwn(x.VM, total, d.Uses, members)
	x.Allowances.RecordFleetUse(uses)
	x.recordFleetDemand(d, members)
	for _, l := range total {
		loads[l.Target] = loadview.TargetWork{InFlight: l.InFlight, Pending: float64(l.Pending), NotResumable: l.NotResumable}
	}
	x.Load.SetPeerLoads(fleetVM, x.incarnation, x.seq.Add(1), loads, now)
	x.Load.SetFleetPaces(fromWirePaces(d.Paces, x.Resolve), includes(members, x.VM), now)
	x.applyUnresponsive(d.Unresponsive)
	for _, w := range d.RecentWeights {
		x.OnRecentWeights(w)
	}
	for _, l := range d.LeaseLapses {
		x.OnLeaseLapse(l)
	}
	x.applyLimits(d.Limits)
}

// applyUnresponsive applies the lists of targets that do not answer other VMs. A VM that no longer
// has a list has withdrawn its earlier one.
func (x *Exchange) applyUnresponsive(lists []wireUnresponsive) {
	now := map[ids.VM]bool{}
	for _, w := range lists {
		p, ok := x.tree.peerByShort(w.VM)
		if !ok {
			continue
		}
		var targets []ids.Target
		for _, s := range w.Targets {
			if t, ok := x.Resolve(uint32(s)); ok {
				targets = append(targets, t)
			}
		}
		now[p.VM] = true
		x.OnUnresponsive(p.VM, targets)
	}
	for vm := range x.tree.swapUnresponsiveReporters(now) {
		if !now[vm] {
			x.OnUnresponsive(vm, nil)
		}
	}
}
