package news

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// 986 VMs that start at once each miss the first answers of the feeds that they read. The sum of what
// they missed was longer than a datagram, so no total was sent, nobody heard that anybody was there,
// and so each went on reading feeds as if it were alone.

// TestTotalFitsInADatagram sums up the words of 986 and of 2,000 VMs of which each misses 128 targets,
// before 9,756 and 20,000 targets that all have work, with as many events as a round takes.
func TestTotalFitsInADatagram(t *testing.T) {
	for _, size := range []struct{ vms, targets int }{{986, 9_756}, {2_000, 20_000}} {
		now := time.Now()
		var parts []heardDigest
		for i := range size.vms {
			vm := ids.VM(fmt.Sprint("front-zone-", i))
			var d digest
			d.addMember(member{shortenVM(vm), 7})
			w := wireSilent{VM: shortenVM(vm)}
			for j := range 128 {
				w.Targets = append(w.Targets, shorten(ids.Target(fmt.Sprint("i-", (i*128+j)%size.targets))))
			}
			d.Silent = append(d.Silent, w)
			for j := range 2 * size.targets / size.vms {
				d.Loads = append(d.Loads, wireLoad{Target: shorten(ids.Target(fmt.Sprint("i-", (i*10+j)%size.targets))), InFlight: 3, Pending: 4_000 + j, Bound: 1})
			}
			parts = append(parts, heardDigest{d, now})
		}
		total := sum(parts, now)
		for range maxEvents / 90 {
			held := make([]uint64, 90)
			for i := range held {
				held[i] = uint64(i) * 0x9E3779B97F4A7C15
			}
			total.Events = append(total.Events, event{VM: 1, Caches: []wireCache{{Target: 1, Held: held}}})
		}
		data, err := Encode(&Message{VM: "front-zone-1", Incarnation: 1, Total: &total})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d VMs, %d targets: %d bytes, %d loads, %d members", size.vms, size.targets, len(data), len(total.Loads), len(total.members()))
		if len(data) > maxDatagram {
			t.Errorf("%d VMs, %d targets: %d bytes, a datagram holds %d", size.vms, size.targets, len(data), maxDatagram)
		}
		if len(parts[0].Silent[0].Targets) != 128 {
			t.Error("what a VM told has changed")
		}
	}
}
