package news

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// largeFleet returns 102 VMs of two domains; vm0 has the widest link of its
// domain, and far0 that of the other.
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

// TestDigestsOnTheWire lets a child, another root and a parent speak to a VM by datagrams:
// it believes the sum of the others, hears each event once, and takes its own part out.
func TestDigestsOnTheWire(t *testing.T) {
	x := newExchange()
	var ordered []Order
	var changed []cacheview.Change
	silent := map[ids.VM][]ids.Target{}
	x.OnOrder = func(o Order) { ordered = append(ordered, o) }
	x.OnCacheChange = func(c cacheview.Change) { changed = append(changed, c) }
	x.OnUnresponsive = func(vm ids.VM, s []ids.Target) { silent[vm] = s }
	x.CacheChanges = func() []cacheview.Change { return nil }
	x.Unresponsive = func() []ids.Target { return nil }
	x.RecentWeights = func() []RecentWeights { return nil }
	x.SetPeers(largeFleet())
	if !x.isLarge() {
		t.Fatal("news don't go over the tree")
	}
	own := x.Load.Sent("e1", 700, time.Now())
	defer own.End()
	report := func(vm ids.VM, target ids.Target, inFlight int) *digest {
		d := &digest{Loads: []wireLoad{{Target: shorten(target), InFlight: inFlight, Pending: 10}}}
		d.addMember(member{shortenVM(vm), 1})
		return d
	}
	child := report("otherA0", "e1", 2)
	child.Silent = []wireSilent{{VM: shortenVM("otherA0"), Targets: []shortID{shorten("e2")}}}
	child.Events = []event{
		{VM: shortenVM("otherA0"), Orders: []Order{{Target: "e1", Weights: "4"}}},
		{VM: shortenVM("vm0"), Orders: []Order{{Target: "e2"}}}, // this VM's own, come back
		{VM: shortenVM("otherA0"), Caches: []wireCache{{Target: shorten("e1"), Held: []uint64{5}}}},
	}
	x.takeMessage(t, Message{VM: "otherA0", Report: child})
	x.takeMessage(t, Message{VM: "far0", Report: report("far0", "e1", 3)})
	x.takeMessage(t, Message{VM: "stranger", Report: report("stranger", "e1", 100)})
	x.Listen = "127.0.0.1:0"
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = x.conn.Close() })
	x.treeRound(time.Now())
	if got := x.Load.Total("e1"); got != (loadview.PeerLoad{InFlight: 6, Pending: 720}) {
		t.Errorf("the load is %+v, want 1 own request and 5 of others", got)
	}
	if len(ordered) != 1 || ordered[0].Target != "e1" || len(changed) != 1 {
		t.Errorf("heard the orders %+v and the changes %+v", ordered, changed)
	}
	if s := silent["otherA0"]; len(s) != 1 || s[0] != "e2" {
		t.Errorf("otherA0 has lost %v", s)
	}
	if !x.SeenWithin("far0", time.Second) || x.SeenWithin("otherA1", time.Second) {
		t.Error("who lives is not what the total says")
	}
}
