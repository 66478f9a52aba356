package news

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

func testPace(id ids.Target) loadview.Pace {
	return loadview.Pace{Target: id, Domain: 60_000, Seed: true, PaceSums: loadview.PaceSums{Answers: 11.25, Slow: 9.5, Measured: 13.5, Predicted: 2.25}}
}

// TestPacesOnTheWire guards against paces that change on the way, targets that the receiver doesn't know,
// and malformed sums that reach the tracker.
func TestPacesOnTheWire(t *testing.T) {
	bad := testPace("e2")
	bad.Answers = 1e12
	data, err := Encode(&Message{VM: "vm1", Seq: 1, Paces: []loadview.Pace{testPace("e1"), testPace("unknown"), bad}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data, resolveIn("e1", "e2"))
	if err != nil || len(m.Paces) != 1 || m.Paces[0] != testPace("e1") {
		t.Errorf("got %+v, %v", m.Paces, err)
	}
	var floats struct {
		VM    ids.VM  `cbor:"1,keyasint"`
		Paces [][]any `cbor:"23,keyasint"`
	}
	floats.VM, floats.Paces = "vm1", [][]any{{1, 1, false, "NaN", 1, 1, 1}}
	raw, err := cbor.Marshal(floats)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(append([]byte{actionDeliver}, raw...), resolveIn("e1")); err == nil {
		t.Error("a message with a pace that is no number was decoded")
	}
}

// TestEarlierReleaseReadsPaces guards against messages that a VM of an earlier release rejects during an
// update of the fleet: it must read the loads beside keys that it doesn't know.
func TestEarlierReleaseReadsPaces(t *testing.T) {
	total := digest{Loads: []wireLoad{{Target: 7, InFlight: 2}}, Paces: toWirePaces([]loadview.Pace{testPace("e1")})}
	data, err := Encode(&Message{VM: "vm1", Seq: 3, Paces: []loadview.Pace{testPace("e1")}, Total: &total})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		VM    ids.VM `cbor:"1,keyasint"`
		Seq   uint64 `cbor:"2,keyasint,omitempty"`
		Total *struct {
			Loads []wireLoad `cbor:"1,keyasint,omitempty"`
		} `cbor:"13,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data[1:], &earlier); err != nil || earlier.Seq != 3 || earlier.Total == nil || earlier.Total.Loads[0].InFlight != 2 {
		t.Errorf("got %+v, %v", earlier, err)
	}
}

// TestPacesAreBounded guards against paces that make messages and totals too large for a datagram: every VM
// reports as many targets as it may, all different.
func TestPacesAreBounded(t *testing.T) {
	for _, vms := range []int{66, 195, 986} {
		var parts []receivedDigest
		var one []loadview.Pace
		for vm := range vms {
			one = nil
			for i := range loadview.MaxPaces {
				one = append(one, testPace(ids.Target(fmt.Sprint("e-", vm, "-", i))))
			}
			parts = append(parts, receivedDigest{digest{Paces: toWirePaces(one)}, time.Now()})
		}
		size := func(m *Message) int {
			data, err := Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			return len(data)
		}
		total := sum(parts, time.Now())
		message := size(&Message{VM: "vm1", Paces: one}) - size(&Message{VM: "vm1"})
		inTotal := size(&Message{VM: "vm1", Total: &total}) - size(&Message{VM: "vm1", Total: &digest{}})
		t.Logf("%d VMs: %d bytes in a message, %d in a total of %d paces", vms, message, inTotal, len(total.Paces))
		if message > 400 || inTotal > 3_200 {
			t.Errorf("%d VMs: got %d bytes in a message and %d in a total, want at most 400 and 3,200", vms, message, inTotal)
		}
	}
}

// TestPacesOverTheTree guards against totals whose paces don't reach the tracker, and against own answers
// that count twice because the total includes them.
func TestPacesOverTheTree(t *testing.T) {
	x := newExchange()
	x.CacheChanges, x.Unresponsive, x.RecentWeights = nil, func() []ids.Target { return nil }, func() []RecentWeights { return nil }
	x.SetPeers(largeFleet())
	now := time.Now()
	d := &digest{Paces: toWirePaces([]loadview.Pace{testPace("e1")})}
	d.addMember(member{shortenVM("far0"), 1})
	x.applyTotal(d, now)
	out := make([]loadview.Load, 1)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		x.applyTotal(d, now)
		x.Load.Estimate([]loadview.Handle{x.Load.Handle("e1")}, make([]loadview.Report, 1), 0, now, out)
	}
	if out[0].Slowdown < 2 {
		t.Errorf("got a slowdown of %v by a total, want at least 2", out[0].Slowdown)
	}
	if includes(d.members(), "vm0") || !includes(d.members(), "far0") {
		t.Error("the members of the total are not recognized")
	}
}
