package news

import (
	"cmp"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Messages to another failure domain. The VMs of a small domain get one each. In a larger
// one a single VM does, and passes it on to the others; which one differs from sender to
// sender, so that the work is spread. Measured with 82 VMs in 4 domains over 48 s: told
// directly, 225 MB of news crossed boundaries.
//
// A relay that is gone costs a sender its words in that domain until it is known to be
// silent; what must not be missed is told twice, by way of two relays.

const (
	// relayFrom is the size of another domain, in VMs, beyond which a relay is used. With
	// fewer the bytes saved are few, and a lost relay is felt by a large part.
	relayFrom = 3
	// relayHeard is how long ago a relay may have spoken last.
	relayHeard = 3 * time.Second
)

// send sends a message to all peers; copies of one message go by way of different relays.
// A failed send is a lost datagram.
func (x *Exchange) send(m Message, copy int) {
	data, err := Encode(&m)
	if err != nil || len(data) > maxDatagram {
		x.Rejected.Add(1)
		return
	}
	for _, r := range x.receivers(copy) {
		data[0] = keep
		if r.relay {
			data[0] = passOn
		}
		x.write(data, r.Peer, &x.Sent)
	}
}

func (x *Exchange) write(data []byte, p Peer, sent *atomic.Int64) {
	addr, err := net.ResolveUDPAddr("udp4", p.Addr)
	if err == nil {
		_, err = x.conn.WriteToUDP(data, addr)
	}
	if err != nil {
		x.Rejected.Add(1)
		return
	}
	sent.Add(1)
	x.Meter.Add(traffic.PeerUpdates, p.FailureDomain != x.FailureDomain, len(data))
}

// passOn passes a datagram of another domain's VM on to the VMs of this domain.
func (x *Exchange) passOn(data []byte) {
	data[0] = keep
	for _, p := range x.list() {
		if p.FailureDomain == x.FailureDomain {
			x.write(data, p, &x.Forwarded)
		}
	}
}

// receiver is a peer that gets a message from this VM itself.
type receiver struct {
	Peer
	relay bool // it passes the message on
}

// receivers returns who gets a message.
func (x *Exchange) receivers(copy int) []receiver {
	var out []receiver
	domains := map[ids.FailureDomain][]Peer{}
	for _, p := range x.list() {
		if p.FailureDomain == x.FailureDomain {
			out = append(out, receiver{Peer: p})
		} else {
			domains[p.FailureDomain] = append(domains[p.FailureDomain], p)
		}
	}
	for _, peers := range domains {
		if len(peers) > relayFrom {
			out = append(out, receiver{x.relayOf(peers, copy), true})
			continue
		}
		for _, p := range peers {
			out = append(out, receiver{Peer: p})
		}
	}
	return out
}

// relayOf returns the VM that passes on what this VM says to its domain: of those that
// were heard a short while ago, or of all if none was, the one that comes first for this
// VM, or for further copies those behind it.
func (x *Exchange) relayOf(peers []Peer, copy int) Peer {
	heard := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if x.SeenWithin(p.VM, relayHeard) {
			heard = append(heard, p)
		}
	}
	if len(heard) == 0 {
		heard = peers
	}
	key := ids.Target(x.VM)
	slices.SortFunc(heard, func(a, b Peer) int {
		return cmp.Compare(routing.VMWeight(key, b.VM), routing.VMWeight(key, a.VM))
	})
	return heard[copy%len(heard)]
}
