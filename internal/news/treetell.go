package news

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// fleetVM stands for all other VMs in the tracker of loads.
const fleetVM ids.VM = "(fleet)"

// tellTree makes rounds until ctx ends.
func (x *Exchange) tellTree(ctx context.Context) {
	timer := time.NewTimer(treeRound)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	case <-x.tree.wake:
		haste := time.NewTimer(treeHaste)
		defer haste.Stop()
		select {
		case <-ctx.Done():
			return
		case <-haste.C:
		}
	}
	x.treeRound(clock.Now())
}

// treeRound tells once.
func (x *Exchange) treeRound(now time.Time) {
	x.tellTreeCaches()
	x.Dropped.Add(x.tree.takeUntold())
	x.Load.ExpirePeers(now)
	own, loads := x.ownDigest()
	s := x.tree.next(x.VM, own, loads, now)
	crashes := x.Crashes.DueReports(len(s.to))
	x.sendDigest(Message{VM: x.VM, Incarnation: x.life, Report: &s.report, Crashes: crashes}, s.to)
	if s.hello {
		x.sendDigest(Message{VM: x.VM, Incarnation: x.life}, x.near())
	}
	if s.total == nil {
		return
	}
	x.sendDigest(Message{VM: x.VM, Incarnation: x.life, Total: s.total, Crashes: crashes}, s.kids)
	if s.applies {
		x.believe(s.total, now)
	}
}

// tellTreeCaches queues the changes of caches that this VM tells.
func (x *Exchange) tellTreeCaches() {
	for changes := x.CacheChanges(); len(changes) > 0; {
		n := min(len(changes), maxEvents/2)
		x.tree.tell(event{VM: shortenVM(x.VM), Caches: group(changes[:n])})
		changes = changes[n:]
	}
}

// ownDigest is what this VM says of itself.
func (x *Exchange) ownDigest() (digest, []Load) {
	var d digest
	var loads []Load
	x.Load.Own(func(t ids.Target, l loadview.PeerLoad) {
		loads = append(loads, Load{Target: t, InFlight: l.InFlight, Pending: int(l.Pending), NotResumable: l.NotResumable})
	})
	for _, l := range loads {
		d.Loads = append(d.Loads, wireLoad{Target: shorten(l.Target), InFlight: l.InFlight, Pending: l.Pending, Bound: l.NotResumable})
	}
	if silent := x.Unresponsive(); len(silent) > 0 {
		w := wireSilent{VM: shortenVM(x.VM)}
		for _, id := range silent {
			w.Targets = append(w.Targets, shorten(id))
		}
		d.Silent = append(d.Silent, w)
	}
	d.Named, d.Uses, d.Limits = x.RecentWeights(), x.Allowances.OwnUse(), wireLimits(x.VM, x.Limits())
	if l := x.LeaseLapse(); l != nil {
		d.Lapsed = append(d.Lapsed, *l)
	}
	return d, loads
}

// TreePosition returns the VM to which this one reports in the tree, and how many report to it.
func (x *Exchange) TreePosition() (parent ids.VM, children int) {
	x.tree.mu.Lock()
	defer x.tree.mu.Unlock()
	return x.tree.parent, len(x.tree.children)
}

// near returns the peers of this VM's failure domain.
func (x *Exchange) near() []Peer {
	var out []Peer
	for _, p := range x.list() {
		if p.FailureDomain == x.FailureDomain {
			out = append(out, p)
		}
	}
	return out
}

func (x *Exchange) sendDigest(m Message, to []Peer) {
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

// takeDigest takes in a report or a total.
func (x *Exchange) takeDigest(m *Message, now time.Time) {
	d, isTotal := m.Report, m.Total != nil
	if isTotal {
		d = m.Total
	}
	from, listed := x.tree.peer(m.VM)
	if !listed {
		return
	}
	applies := x.tree.hear(from, *d, isTotal, from.FailureDomain == x.FailureDomain, now)
	if isTotal && !applies {
		return // a parent that this VM has left
	}
	for _, e := range d.Events {
		if e.VM != shortenVM(x.VM) {
			x.takeEvent(e)
		}
	}
	if applies {
		x.believe(d, now)
	}
}

func (x *Exchange) takeEvent(e event) {
	for _, o := range e.Orders {
		x.OnOrder(o)
	}
	for _, addr := range e.StoreDown {
		x.OnStoreDown(addr)
	}
	for i := range e.Caches {
		if t, ok := x.Resolve(uint32(e.Caches[i].Target)); ok {
			for _, c := range e.Caches[i].changes(t) {
				x.OnCacheChange(c)
			}
		}
	}
}

// believe takes a total for what the fleet says.
func (x *Exchange) believe(d *digest, now time.Time) {
	members := d.members()
	for _, m := range members {
		if p, ok := x.tree.peerOf(m.vm); ok {
			x.note(p.VM, 0, now)
			x.Allowances.MarkSeen(p.VM)
		}
	}
	total := make([]Load, 0, len(d.Loads))
	for _, l := range d.Loads {
		if t, ok := x.Resolve(uint32(l.Target)); ok {
			total = append(total, Load{Target: t, InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.Bound})
		}
	}
	loads := map[ids.Target]loadview.PeerLoad{}
	total, uses := x.tree.without(x.VM, total, d.Uses, members)
	x.Allowances.RecordFleetUse(uses)
	for _, l := range total {
		loads[l.Target] = loadview.PeerLoad{InFlight: l.InFlight, Pending: float64(l.Pending), NotResumable: l.NotResumable}
	}
	x.Load.SetPeerLoads(fleetVM, x.life, x.seq.Add(1), loads, now)
	x.believeSilent(d.Silent)
	for _, n := range d.Named {
		x.OnRecentWeights(n)
	}
	for _, l := range d.Lapsed {
		x.OnLeaseLapse(l)
	}
	x.takeLimits(d.Limits)
}

// believeSilent takes in which targets don't answer which VMs. A VM that names none any
// more has taken its word back.
func (x *Exchange) believeSilent(words []wireSilent) {
	now := map[ids.VM]bool{}
	for _, w := range words {
		p, ok := x.tree.peerOf(w.VM)
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
	for vm := range x.tree.swapSilent(now) {
		if !now[vm] {
			x.OnUnresponsive(vm, nil)
		}
	}
}
