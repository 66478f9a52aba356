package news

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// largeFleet returns 102 VMs of two domains; vm0 and far0 have the widest links of their domains and
// thus are the roots.
func largeFleet() []Peer {
	peers := []Peer{{VM: "vm0", FailureDomain: "z", Addr: "127.0.0.1:1", LinkMbps: 200}, {VM: "far0", FailureDomain: "y", Addr: "127.0.0.1:1", LinkMbps: 200}}
	for i := range 100 {
		domain := ids.FailureDomain("z")
		if i%2 == 1 {
			domain = "y"
		}
		peers = append(peers, Peer{VM: ids.VM("other" + string(rune('A'+i/10)) + string(rune('0'+i%10))), FailureDomain: domain, Addr: "127.0.0.1:1", LinkMbps: 20})
	}
	return peers
}

// TestDigestsOnTheWire sends a VM datagrams from a child, another root and an unlisted VM. Its view
// must be the sum of the listed ones without its own share, and it must get each event once.
func TestDigestsOnTheWire(t *testing.T) {
	x := newExchange()
	var orders []Order
	var changes []cacheview.Change
	unresponsive := map[ids.VM][]ids.Target{}
	x.OnOrder = func(o Order) { orders = append(orders, o) }
	x.OnCacheChange = func(c cacheview.Change) { changes = append(changes, c) }
	x.OnUnresponsive = func(vm ids.VM, s []ids.Target) { unresponsive[vm] = s }
	x.CacheChanges = func() []cacheview.Change { return nil }
	x.Unresponsive = func() []ids.Target { return nil }
	x.RecentWeights = func() []RecentWeights { return nil }
	x.SetPeers(largeFleet())
	if !x.usesTree() {
		t.Fatal("a fleet of 102 VMs does not use the tree")
	}
	own := x.Load.Sent("e1", 700, time.Now())
	defer own.End()
	report := func(vm ids.VM, target ids.Target, inFlight int) *digest {
		d := &digest{Loads: []wireLoad{{Target: shorten(target), InFlight: inFlight, Pending: 10}}}
		d.addMember(member{shortenVM(vm), 1})
		return d
	}
	child := report("otherA0", "e1", 2)
	child.Unresponsive = []wireUnresponsive{{VM: shortenVM("otherA0"), Targets: []shortID{shorten("e2")}}}
	child.Events = []event{
		{VM: shortenVM("otherA0"), Orders: []Order{{Target: "e1", Weights: "4"}}},
		{VM: shortenVM("vm0"), Orders: []Order{{Target: "e2"}}}, // this VM's own event, returned over the tree
		{VM: shortenVM("otherA0"), CacheChanges: []wireCache{{Target: shorten("e1"), Held: []uint64{5}}}},
	}
	x.handleMessage(t, Message{VM: "otherA0", Report: child})
	x.handleMessage(t, Message{VM: "far0", Report: report("far0", "e1", 3)})
	x.handleMessage(t, Message{VM: "unlisted", Report: report("unlisted", "e1", 100)})
	x.Listen = "127.0.0.1:0"
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = x.conn.Close() })
	x.sendTreeRound(time.Now())
	if got := x.Load.Total("e1"); got != (loadview.TargetWork{InFlight: 6, Pending: 720}) {
		t.Errorf("the load is %+v, want 1 own request and 5 of other VMs", got)
	}
	if len(orders) != 1 || orders[0].Target != "e1" || len(changes) != 1 {
		t.Errorf("received orders %+v and changes %+v, want one of each", orders, changes)
	}
	if s := unresponsive["otherA0"]; len(s) != 1 || s[0] != "e2" {
		t.Errorf("unresponsive targets of otherA0: %v, want e2", s)
	}
	if !x.SeenWithin("far0", time.Second) || x.SeenWithin("otherA1", time.Second) {
		t.Error("want far0, a member of the total, to be seen and otherA1, not a member, not to be seen")
	}
}
