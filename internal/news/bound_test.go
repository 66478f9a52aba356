package news

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
)

// TestTotalFitsInDatagram checks that the total of 986 and of 2,000 VMs fits in a datagram if each
// VM lists 128 unresponsive targets, all of 9,756 and 20,000 targets have work, and there are as
// many events as one round carries, the largest report of demand, and the most paces.
//
// If 986 VMs start at the same time, each lists the targets whose cache feeds have not answered it
// yet. The total of these lists was larger than a datagram, so it was not sent, no VM got the state
// of any other, and each went on reading feeds as if it were alone.
func TestTotalFitsInDatagram(t *testing.T) {
	for _, size := range []struct{ vms, targets int }{{986, 9_756}, {2_000, 20_000}} {
		now := time.Now()
		var parts []receivedDigest
		for i := range size.vms {
			vm := ids.VM(fmt.Sprint("front-zone-", i))
			var d digest
			d.addMember(member{shortenVM(vm), 7})
			w := wireUnresponsive{VM: shortenVM(vm)}
			for j := range 128 {
				w.Targets = append(w.Targets, shorten(ids.Target(fmt.Sprint("i-", (i*128+j)%size.targets))))
			}
			d.Unresponsive = append(d.Unresponsive, w)
			for j := range 2 * size.targets / size.vms {
				d.Loads = append(d.Loads, wireLoad{Target: shorten(ids.Target(fmt.Sprint("i-", (i*10+j)%size.targets))), InFlight: 3, Pending: 4_000 + j, NotResumable: 1})
			}
			parts = append(parts, receivedDigest{d, now})
		}
		total := sum(parts, now)
		for range maxDigestCacheChanges / 90 {
			held := make([]uint64, 90)
			for i := range held {
				held[i] = uint64(i) * 0x9E3779B97F4A7C15
			}
			total.Events = append(total.Events, event{VM: 1, CacheChanges: []wireCache{{Target: 1, Held: held}}})
		}
		var report demand.Report
		for i := range uint32(2 * 32) { // the most that a report has, each of another service
			report.Routes = append(report.Routes, demand.RouteSums{Service: i, Route: i, Calls: 1})
			report.Workspaces = append(report.Workspaces, demand.WorkspaceSums{Service: i, Workspace: i, Offered: 1})
		}
		total.Demand = lenientOf(&demandSums{Report: packedReport(report), VMs: size.vms})
		for i := range maxDigestPaces { // with integers of the greatest length that valid sums have
			total.Paces = append(total.Paces, wirePace{Target: shorten(ids.Target(fmt.Sprint("i-", i))), Domain: 60_000, Seed: true, Answers: 1e8, Slow: 1e8, Measured: 1e9, Predicted: 1e9})
		}
		data, err := Encode(&Message{VM: "front-zone-1", Incarnation: 1, Total: &total})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d VMs, %d targets: %d bytes, %d loads, %d members", size.vms, size.targets, len(data), len(total.Loads), len(total.members()))
		if len(data) > maxDatagram {
			t.Errorf("%d VMs, %d targets: got a total of %d bytes, want at most %d", size.vms, size.targets, len(data), maxDatagram)
		}
		if len(parts[0].Unresponsive[0].Targets) != 128 {
			t.Error("sum has truncated the unresponsive targets of a received digest")
		}
	}
}
