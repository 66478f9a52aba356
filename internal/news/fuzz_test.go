package news

import (
	"testing"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// FuzzDecode decodes arbitrary datagrams: none may panic, and a message that was decoded must
// survive being encoded and decoded again.
func FuzzDecode(f *testing.F) {
	resolve := resolveIn("e1", "e2")
	report := reportOf(3)
	for _, m := range []Message{
		{VM: "vm1"},
		{VM: "vm1", Seq: 3, Incarnation: 9, Loads: []Load{{Target: "e1", InFlight: 2, Pending: 9190, NotResumable: 1}}, Unresponsive: []ids.Target{"e2"}},
		{VM: "vm1", CacheChanges: []cacheview.Change{{Target: "e1", Generation: 5, ID: 1}, {Target: "e1", Generation: 5, ID: 2, Removed: true}, {Target: "e2", Generation: 6, Cleared: true}}},
		{VM: "vm1", Order: &Order{Target: "e1", Weights: "7"}, RecentWeights: []RecentWeights{{Model: "m", Version: 7, AgeMs: 40}}, LeaseLapse: &LeaseLapse{Instance: "i", Fence: 2, Renewal: 7, SinceLastOrderMs: 3200}},
		{VM: "vm1", Seq: 3, Demand: &report},
		{VM: "vm1", EarlySeq: 4, Incarnation: 9, Loads: []Load{{Target: "e1", InFlight: 2, Pending: 9190, NotResumable: 1}}},
		{VM: "vm1", Seq: 3, Paces: []loadview.Pace{testPace("e1")}},
		{VM: "vm1", Total: &digest{Paces: toWirePaces([]loadview.Pace{testPace("e1")})}},
		{VM: "vm1", Report: &digest{Demand: lenientOf(&demandSums{Report: packedReport(report), VMs: 3})}},
		{VM: "vm1", Total: &digest{
			Loads: []wireLoad{{Target: shorten("e1"), InFlight: 2}}, Members: []byte{1, 2, 3, 4, 5, 6, 7}, Unresponsive: []wireUnresponsive{{VM: 7, Targets: []shortID{shorten("e2")}}},
			Events: []event{{VM: 9, Orders: []Order{{Target: "e1"}}, CacheChanges: []wireCache{{Target: shorten("e1"), Held: []uint64{4}}}}},
		}},
	} {
		data, err := Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{actionForward, 0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data, resolve)
		if err != nil {
			return
		}
		again, err := Encode(&m)
		if err != nil {
			t.Fatalf("%+v cannot be encoded: %v", m, err)
		}
		if _, err := decode(again, resolve); err != nil {
			t.Fatalf("%+v cannot be decoded again: %v", m, err)
		}
	})
}
