package news

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/ratelimit"
)

// newExchange returns an exchange of vm0 that knows the targets e1 and e2, has nothing to report
// and ignores what peers report.
func newExchange() *Exchange {
	return &Exchange{
		VM: "vm0", FailureDomain: "z", TreeFrom: 100, Load: loadview.New(), OnOrder: func(Order) {}, OnUnresponsive: func(ids.VM, []ids.Target) {},
		OnStoreDown: func(string) {}, OnRecentWeights: func(RecentWeights) {}, OnCacheChange: func(cacheview.Change) {},
		Resolve: resolveIn("e1", "e2"), LeaseLapse: func() *LeaseLapse { return nil }, OnLeaseLapse: func(LeaseLapse) {}, Limits: func() []ratelimit.Report { return nil }, OnLimit: func(ratelimit.Report) {},
	}
}

// resolveIn returns a resolver that knows the given targets.
func resolveIn(targets ...ids.Target) func(uint32) (ids.Target, bool) {
	return func(short uint32) (ids.Target, bool) {
		for _, t := range targets {
			if uint32(shorten(t)) == short {
				return t, true
			}
		}
		return "", false
	}
}

func (x *Exchange) handleMessage(t *testing.T, m Message) {
	t.Helper()
	data, err := Encode(&m)
	if err != nil {
		t.Fatal(err)
	}
	x.handle(data)
}

// TestSeenWithin checks that SeenWithin is true only for listed peers that have sent a message, and
// that the record of a peer survives SetPeers.
func TestSeenWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newExchange()
		x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}, {VM: "vm2", Addr: "a:3"}})
		x.handleMessage(t, Message{VM: "vm1"})
		x.handleMessage(t, Message{VM: "unlisted"})
		time.Sleep(time.Second)
		x.SetPeers([]Peer{{VM: "vm0", Addr: "a:1"}, {VM: "vm1", Addr: "a:2"}, {VM: "vm3", Addr: "a:4"}})
		for vm, want := range map[ids.VM]bool{"vm1": true, "vm2": false, "vm3": false, "unlisted": false} {
			if got := x.SeenWithin(vm, 2*time.Second); got != want {
				t.Errorf("%s was seen: %v, want %v", vm, got, want)
			}
		}
		time.Sleep(time.Second)
		if x.SeenWithin("vm1", 2*time.Second) {
			t.Error("vm1 counts as seen within 2 s although its last message is 2 s old")
		}
	})
}

// TestRecentWeightsReceived checks that a VM applies both the recent weights and the loads of one
// message.
func TestRecentWeightsReceived(t *testing.T) {
	x := newExchange()
	var received []RecentWeights
	x.OnRecentWeights = func(n RecentWeights) { received = append(received, n) }
	want := RecentWeights{Model: "m", Version: 3, AgeMs: 1200}
	x.handleMessage(t, Message{VM: "vm1", Seq: 1, RecentWeights: []RecentWeights{want}, Loads: []Load{{Target: "e1", InFlight: 2}}})
	if len(received) != 1 || received[0] != want || x.Load.Total("e1").InFlight != 2 {
		t.Fatalf("received %v, load %+v", received, x.Load.Total("e1"))
	}
}

// TestRecentWeightsSentWithoutLoads checks that a round without loads sends recent weights: peers may
// have no other VM to get them from.
func TestRecentWeightsSentWithoutLoads(t *testing.T) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	x := newExchange()
	x.Listen = "127.0.0.1:0"
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = x.conn.Close() }()
	x.SetPeers([]Peer{{VM: "vm1", Addr: peer.LocalAddr().String()}})
	want := RecentWeights{Model: "m", Version: 3, AgeMs: 1200}
	var recent []RecentWeights
	x.Unresponsive = func() []ids.Target { return nil }
	x.RecentWeights = func() []RecentWeights { return recent }
	x.sendOwnLoads()
	if x.Sent.Load() != 0 {
		t.Error("a round with nothing to send sent a datagram")
	}
	recent = []RecentWeights{want}
	x.sendOwnLoads()
	if err := peer.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, maxDatagram)
	n, err := peer.Read(buf)
	m, derr := decode(buf[:n], x.Resolve)
	if err != nil || derr != nil || len(m.RecentWeights) != 1 || m.RecentWeights[0] != want {
		t.Errorf("got %q, %v", buf[:n], err)
	}
}
