package news

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/ids"
)

// TestMessageRoundTrip encodes and decodes a message with all fields and with a target that the
// receiver does not know, and checks that malformed datagrams are rejected.
func TestMessageRoundTrip(t *testing.T) {
	m := Message{
		VM: "vm1", Seq: 3, Incarnation: 12, Loads: []Load{{Target: "e1", InFlight: 2, Pending: 9190, NotResumable: 1}, {Target: "unknown", InFlight: 1}},
		Unresponsive: []ids.Target{"e2", "unknown"}, Order: &Order{Target: "e1", Weights: "7", Done: true}, RecentWeights: []RecentWeights{{Model: "m", Version: 7, AgeMs: 40}},
		StoreDown: "10.0.0.1:1",
		CacheChanges: []cacheview.Change{
			{Target: "e1", Generation: 5, ID: 1}, {Target: "e1", Generation: 5, ID: 2, Removed: true}, {Target: "e2", Generation: 6, Cleared: true}, {Target: "unknown", ID: 9},
		},
	}
	data, err := Encode(&m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data, resolveIn("e1", "e2"))
	if err != nil {
		t.Fatal(err)
	}
	want := m
	want.Loads, want.Unresponsive = m.Loads[:1], m.Unresponsive[:1]
	want.CacheChanges = []cacheview.Change{m.CacheChanges[2], m.CacheChanges[0], m.CacheChanges[1]}
	if fmt.Sprintf("%+v %+v", got, *got.Order) != fmt.Sprintf("%+v %+v", Message{
		VM: want.VM, Seq: want.Seq, Incarnation: want.Incarnation, Loads: want.Loads, Unresponsive: want.Unresponsive, Order: got.Order, RecentWeights: want.RecentWeights, StoreDown: want.StoreDown, CacheChanges: want.CacheChanges,
	}, *m.Order) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
	for _, bad := range [][]byte{nil, {9}, {actionDeliver, 0xff}, append([]byte{actionForward}, "no cbor"...)} {
		if _, err := decode(bad, resolveIn()); err == nil {
			t.Errorf("malformed datagram %q was accepted", bad)
		}
	}
}

// TestLastChangeOfPrefixWins checks that of two changes of a prefix in one round only the last one
// is sent.
func TestLastChangeOfPrefixWins(t *testing.T) {
	held, gone := cacheview.Change{Target: "e1", ID: 7}, cacheview.Change{Target: "e1", ID: 7, Removed: true}
	for _, c := range []struct {
		changes       []cacheview.Change
		held, dropped int
	}{{[]cacheview.Change{held, gone}, 0, 1}, {[]cacheview.Change{gone, held}, 1, 0}} {
		if g := groupChanges(c.changes); len(g) != 1 || len(g[0].Held) != c.held || len(g[0].Dropped) != c.dropped {
			t.Errorf("%v became %+v, want one entry with only the last change", c.changes, g)
		}
	}
}

// TestDatagramsAreSmall checks that a round of a busy VM in a small fleet and a full message of
// cache changes each fit in one packet. As JSON with full names they took 42 bytes per load and 70
// per cache entry.
func TestDatagramsAreSmall(t *testing.T) {
	loads := Message{VM: "front-wonosobo-1", Seq: 1000, Incarnation: time.Now().UnixMilli()}
	caches := Message{VM: "front-wonosobo-1", Incarnation: time.Now().UnixMilli()}
	for i := range maxCacheChanges {
		if i < 9 {
			loads.Loads = append(loads.Loads, Load{Target: ids.Target(fmt.Sprintf("i-%010x", i)), InFlight: 20, Pending: 9000, NotResumable: 3})
		}
		caches.CacheChanges = append(caches.CacheChanges, cacheview.Change{Target: "i-7e4e278530", Generation: 77, ID: 1<<63 + 1})
		caches.CacheChanges[i].ID += 2 * caches.CacheChanges[max(i-1, 0)].ID
	}
	for m, most := range map[*Message]int{&loads: 160, &caches: 1200} {
		if data, err := Encode(m); err != nil || len(data) > most {
			t.Errorf("%d bytes, %v, want at most %d", len(data), err, most)
		}
	}
}

// fleetOf starts n VMs in each of the domains and makes all of them peers of each other.
func fleetOf(t *testing.T, n int, domains ...ids.FailureDomain) []*Exchange {
	t.Helper()
	var all []*Exchange
	var peers []Peer
	for _, domain := range domains {
		for i := range n {
			x := newExchange()
			x.VM, x.FailureDomain, x.Listen = ids.VM(fmt.Sprint(domain, i)), domain, "127.0.0.1:0"
			x.Unresponsive, x.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
			if err := x.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = x.conn.Close() })
			all = append(all, x)
			peers = append(peers, Peer{VM: x.VM, FailureDomain: domain, Addr: x.conn.LocalAddr().String()})
		}
	}
	for _, x := range all {
		x.SetPeers(peers)
	}
	return all
}

// drain handles the datagrams that have arrived and returns their number.
func (x *Exchange) drain(t *testing.T) int {
	t.Helper()
	buf := make([]byte, maxDatagram)
	for n := 0; ; n++ {
		_ = x.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		k, _, err := x.conn.ReadFromUDP(buf)
		var timeout net.Error
		if err != nil {
			if e, ok := err.(net.Error); ok {
				timeout = e
			}
			if timeout == nil || !timeout.Timeout() {
				t.Fatal(err)
			}
			return n
		}
		x.handle(append([]byte(nil), buf[:k]...))
	}
}

// TestMessageCrossesDomainBoundaryOnce sends one message in a fleet of three domains of six VMs. Each
// other VM must get it once, one datagram must cross each boundary, and no datagram may circulate.
func TestMessageCrossesDomainBoundaryOnce(t *testing.T) {
	all := fleetOf(t, 6, "a", "b", "c")
	all[0].sendRound(Message{Loads: []Load{{Target: "e1", InFlight: 3}}})
	if sent := all[0].Sent.Load(); sent != 5+2 {
		t.Fatalf("%d datagrams were sent, want one for each VM of the domain and one for each other domain", sent)
	}
	for range 2 { // relays forward in the first pass
		for _, x := range all[1:] {
			x.drain(t)
		}
	}
	forwarded := int64(0)
	for _, x := range all[1:] {
		if n := x.Received.Load(); n != 1 {
			t.Errorf("%s received %d datagrams, want 1", x.VM, n)
		}
		if l := x.Load.Total("e1"); l.InFlight != 3 {
			t.Errorf("%s has the load %+v, want 3 in flight", x.VM, l)
		}
		forwarded += x.Forwarded.Load()
	}
	if forwarded != 2*5 {
		t.Errorf("%d datagrams were forwarded, want 10", forwarded)
	}
}

// TestSmallDomainsGetDirectMessages checks that no relay is used for a domain so small that a lost
// relay would affect a large share of its VMs.
func TestSmallDomainsGetDirectMessages(t *testing.T) {
	all := fleetOf(t, relayThreshold, "a", "b")
	all[0].sendRound(Message{})
	for _, x := range all[1:] {
		if n := x.drain(t); n != 1 || x.Forwarded.Load() != 0 {
			t.Errorf("%s got %d datagrams and forwarded %d, want 1 and 0", x.VM, n, x.Forwarded.Load())
		}
	}
}

// TestUnresponsiveRelayIsReplaced checks that a VM that was seen recently replaces a relay that was
// not, and that two copies of a message go through different relays.
func TestUnresponsiveRelayIsReplaced(t *testing.T) {
	x := newExchange()
	x.VM, x.FailureDomain = "vm0", "a"
	var peers []Peer
	for i := range 6 {
		peers = append(peers, Peer{VM: ids.VM(fmt.Sprint("b", i)), FailureDomain: "b", Addr: "127.0.0.1:1"})
	}
	x.SetPeers(peers)
	first, second := x.relayOf(peers, 0), x.relayOf(peers, 1)
	if first == second {
		t.Fatal("both copies go through one relay")
	}
	x.recordContact(second.VM, 0, time.Now())
	if got := x.relayOf(peers, 0); got != second {
		t.Errorf("%s is the relay, want the one that was seen", got.VM)
	}
}
