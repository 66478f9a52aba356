package news

import (
	"bytes"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
)

// demandExchange returns an exchange of vm0 that counts demand and lists vm1 and vm2.
func demandExchange() *Exchange {
	x := newExchange()
	x.Demand = demand.New(nil)
	x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}, {VM: "vm2", Addr: "a:3"}})
	return x
}

// reportOf returns the report of a VM with a number of calls.
func reportOf(calls int) demand.Report {
	d := demand.New(nil)
	for range calls {
		c := demand.Class{Service: "models", Route: "notes", Workspace: "w1"}
		d.Decided(c, 0.05, true)
		d.FirstEvent(c, 0.05, 80*time.Millisecond, 120*time.Millisecond)
		d.Ended(c, 3*time.Second, true, false)
	}
	return d.OwnReport()
}

func callsSeen(x *Exchange) float32 { return x.Demand.Picture("models").Route("notes").Calls }

// encoded returns the datagram for a message with a field of another encoding in place of its demand.
func encoded(t *testing.T, field any) []byte {
	t.Helper()
	data, err := cbor.Marshal(map[int]any{1: "vm1", 2: 9, 3: 1, 5: [][]any{{uint32(shorten("e1")), 2, 10, 0}}, 22: field})
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte{actionDeliver}, data...)
}

// TestReportSurvivesTheWire guards against sums that are lost or swapped on their way.
func TestReportSurvivesTheWire(t *testing.T) {
	want := reportOf(20)
	data, err := Encode(&Message{VM: "vm1", Seq: 1, Demand: &want})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data, resolveIn())
	if err != nil || m.Demand == nil || len(m.Demand.Routes) != 1 || len(m.Demand.Workspaces) != 1 {
		t.Fatalf("got %+v, %v", m.Demand, err)
	}
	got := m.Demand.Routes[0]
	if got.Service != want.Routes[0].Service || got.Route != want.Routes[0].Route || m.Demand.Workspaces[0].Workspace != want.Workspaces[0].Workspace {
		t.Errorf("got %+v, want the hashes of %+v", m.Demand, want)
	}
	near := func(a, b float32) bool { return math.Abs(float64(a-b)) <= 0.004*math.Abs(float64(b)) }
	wanted := routeSums(&want.Routes[0])
	for i, sum := range routeSums(&got) {
		if !near(*sum, *wanted[i]) {
			t.Errorf("sum %d is %v, want %v within 0.4%%", i, *sum, *wanted[i])
		}
	}
	if !near(m.Demand.Workspaces[0].Offered, want.Workspaces[0].Offered) {
		t.Errorf("offered %v, want %v within 0.4%%", m.Demand.Workspaces[0].Offered, want.Workspaces[0].Offered)
	}
}

// TestEarlierReleaseDecodesDemand guards against messages that VMs of earlier releases reject during an
// upgrade: they decode the same fields without the keys of demand.
func TestEarlierReleaseDecodesDemand(t *testing.T) {
	r := reportOf(20)
	data, err := Encode(&Message{VM: "vm1", Seq: 3, Demand: &r, Total: &digest{Members: []byte{1}, Demand: lenientOf(&demandSums{Report: packedReport(r), VMs: 2})}})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		VM    ids.VM `cbor:"1,keyasint"`
		Seq   uint64 `cbor:"2,keyasint,omitempty"`
		Total *struct {
			Members []byte `cbor:"2,keyasint,omitempty"`
			Acks    []ack  `cbor:"10,keyasint,omitempty"`
		} `cbor:"13,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data[1:], &earlier); err != nil || earlier.VM != "vm1" || earlier.Seq != 3 || earlier.Total == nil || len(earlier.Total.Members) != 1 {
		t.Errorf("got %+v, %v", earlier, err)
	}
}

// TestMalformedDemandLeavesTheMessage guards against a malformed report that costs the receiver the
// loads in its message, or that stays in the sums of all VMs.
func TestMalformedDemandLeavesTheMessage(t *testing.T) {
	packed := packedReport(reportOf(20)).pack()
	poisoned := func(v float32) []byte {
		r := reportOf(20)
		r.Routes[0].Calls, r.Workspaces[0].Offered = v, v
		return packedReport(r).pack()
	}
	unknownService := bytes.Clone(packed)
	unknownService[6] = 9
	malformed := map[string]any{
		"text": "models", "number": 7, "list": []int{1, 2}, "nothing": []byte{}, "too long": append(bytes.Clone(packed), 0), "unknown service": unknownService,
		"NaN": poisoned(float32(math.NaN())), "infinity": poisoned(float32(math.Inf(1))), "negative": poisoned(-5), "too large": poisoned(1e30),
	}
	for what, field := range malformed {
		x := demandExchange()
		x.handle(encoded(t, field))
		if calls := callsSeen(x); calls != 0 || x.Rejected.Load() != 0 || x.Load.Total("e1").InFlight != 2 {
			t.Errorf("%s: %v calls, %d messages rejected, load %+v; want none, none and 2 in flight", what, calls, x.Rejected.Load(), x.Load.Total("e1"))
		}
	}
	for n := range packed {
		x := demandExchange()
		x.handle(encoded(t, packed[:n]))
		if calls := callsSeen(x); calls != 0 || x.Rejected.Load() != 0 || x.Load.Total("e1").InFlight != 2 {
			t.Errorf("cut off after %d of %d bytes: %v calls, %d messages rejected, load %+v; want none, none and 2 in flight", n, len(packed), calls, x.Rejected.Load(), x.Load.Total("e1"))
		}
	}
	x := demandExchange()
	x.handle(encoded(t, packed))
	if calls := callsSeen(x); calls != 20 {
		t.Errorf("%v calls of the well-formed report, want 20", calls)
	}
}

// TestOnlyListedVMsCount guards against a VM of another fleet whose calls count in this one.
func TestOnlyListedVMsCount(t *testing.T) {
	x := demandExchange()
	r := reportOf(20)
	x.handleMessage(t, Message{VM: "unlisted", Seq: 1, Demand: &r})
	if calls := callsSeen(x); calls != 0 {
		t.Errorf("%v calls of a VM that is not listed, want none", calls)
	}
}

// TestIdleVMsAreNotScaledFor guards against calls that count several times since idle VMs, which report
// nothing, are taken for VMs that are not heard.
func TestIdleVMsAreNotScaledFor(t *testing.T) {
	x, idle := demandExchange(), demandExchange()
	x.Demand.SetListed(3)
	idle.VM = "vm1"
	idle.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}, {VM: "vm2", Addr: "a:3"}})
	idle.Unresponsive, idle.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
	idle.transmit = func(data []byte, to Peer) error {
		if to.VM == "vm0" {
			x.handle(bytes.Clone(data))
		}
		return nil
	}
	idle.sendOwnLoads() // skipped, since there is nothing to send
	idle.sendOwnLoads()
	r := reportOf(20)
	x.handleMessage(t, Message{VM: "vm2", Seq: 1, Demand: &r})
	if p := x.Demand.Picture("models"); p.VMs != 3 || p.Route("notes").Calls != 20 {
		t.Errorf("%v calls of %d VMs, want 20 of 3", p.Route("notes").Calls, p.VMs)
	}
}

// TestDemandRate guards against reports that are sent with each round: at most two in a second, however
// short the rounds are.
func TestDemandRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, round := range []time.Duration{40 * time.Millisecond, 150 * time.Millisecond, 330 * time.Millisecond, 500 * time.Millisecond} {
			x := demandExchange()
			x.Unresponsive, x.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
			x.Load.Sent("e1", 700, time.Now())
			reports := 0
			x.transmit = func(data []byte, to Peer) error {
				if m, err := decode(data, x.Resolve); err == nil && m.Demand != nil && to.VM == "vm1" {
					reports++
				}
				return nil
			}
			const length = 10 * time.Second
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(round) {
				x.sendOwnLoads()
			}
			if reports < 14 || reports > 21 {
				t.Errorf("%d reports in %v with rounds of %v, want about two a second", reports, length, round)
			}
		}
	})
}

// TestTotalOfEarlierReleaseIsIgnored guards against a fleet that seems to be idle since the root of its
// tree runs an earlier release, which leaves demand out of its totals.
func TestTotalOfEarlierReleaseIsIgnored(t *testing.T) {
	x := newExchange()
	x.Demand = demand.New(nil)
	x.Demand.SetListed(102)
	x.SetPeers(largeFleet())
	x.Demand.Decided(demand.Class{Service: "models", Route: "notes"}, 0.05, true)
	var d digest
	d.addMember(member{shortenVM("vm0"), 1})
	d.addMember(member{shortenVM("far0"), 1})
	x.applyTotal(&d, time.Now())
	if p := x.Demand.Picture("models"); p.VMs != 1 || p.Route("notes").Calls < 100 {
		t.Errorf("%v calls of %d VMs, want the own call scaled to 102 VMs", p.Route("notes").Calls, p.VMs)
	}
	d.Demand = lenientOf(&demandSums{Report: packedReport(reportOf(20)), VMs: 102})
	x.applyTotal(&d, time.Now())
	time.Sleep(60 * time.Millisecond) // pictures are reused for 50 ms
	if p := x.Demand.Picture("models"); p.VMs != 102 || math.Abs(float64(p.Route("notes").Calls)-20) > 0.1 {
		t.Errorf("%v calls of %d VMs, want the 20 of the total, which includes this VM's", p.Route("notes").Calls, p.VMs)
	}
}
