package peers

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/ring"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// sender keeps a stream to one peer open. A peer that does not read blocks only its
// own sender; updates for it are then dropped and counted.
type sender struct {
	n    *Node
	vm   ids.VM
	addr string
	ring *ring.Ring[*peerpb.News]
	stop context.CancelFunc
}

// senderQueueSize is how many messages are queued for a slow peer.
const senderQueueSize = 4

// reconnectDelay is the delay before a broken stream is opened again.
const reconnectDelay = 500 * time.Millisecond

// smallFleetPeers is the number of peers up to which all VMs send each other all updates, across
// failure domains: with two VMs and two or three targets in each domain, prompts are
// routed over all targets.
const smallFleetPeers = 24

// updateSenders returns the senders to all peers of the domain, and starts and stops senders as
// VMs are added and removed. A dead VM keeps its sender as long as it is listed: a heartbeat
// through it is how the VM recovers from a false suspicion.
func (n *Node) updateSenders(ctx context.Context) []*sender {
	wanted := map[ids.VM]string{}
	peers := n.Fleet.Members.Peers(clock.Now())
	for _, p := range peers {
		if connect := p.FailureDomain == n.Domain || len(peers) <= smallFleetPeers; connect && p.PeerAddr != "" {
			wanted[p.ID] = p.PeerAddr
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*sender
	for vm, t := range n.senders {
		if wanted[vm] != t.addr {
			t.stop()
			delete(n.senders, vm)
		}
	}
	for vm, addr := range wanted {
		t := n.senders[vm]
		if t == nil {
			tctx, stop := context.WithCancel(ctx)
			t = &sender{n: n, vm: vm, addr: addr, ring: ring.New[*peerpb.News](senderQueueSize), stop: stop}
			n.senders[vm] = t
			go t.run(tctx)
		}
		out = append(out, t)
	}
	return out
}

// run opens streams and sends the queued messages until ctx ends.
func (t *sender) run(ctx context.Context) {
	for ctx.Err() == nil {
		if t.stream(ctx) != nil {
			t.n.Failures.Add(1)
		}
		timing.Sleep(ctx, reconnectDelay)
	}
}

// stream sends updates to one peer until the stream breaks. The first message names this VM, so
// that later ones need not.
func (t *sender) stream(ctx context.Context) error {
	c, err := t.n.client(t.addr)
	if err != nil {
		return err
	}
	s, err := c.Tell(ctx)
	if err != nil {
		return err
	}
	hello := &peerpb.News{
		Vm: string(t.n.VM), Incarnation: uint64(t.n.Incarnation),
		Hlc: uint64(t.n.Events.Clock().Now()), Beat: t.n.beat(),
	}
	for m := hello; ; {
		if err := s.Send(m); err != nil {
			return err
		}
		t.n.Messages.Add(1)
		select {
		case <-ctx.Done():
			return nil
		case <-s.Context().Done():
			return s.Context().Err()
		case m = <-t.ring.Out():
		}
	}
}

// rank returns how many live VMs of the domain rank before this one for a target.
func (n *Node) rank(id ids.Target) int {
	own, before := routing.VMWeight(id, n.VM), 0
	for _, p := range n.Fleet.Members.Peers(clock.Now()) {
		if p.FailureDomain == n.Domain && p.State >= routing.Joining && routing.VMWeight(id, p.ID) > own {
			before++
		}
	}
	return before
}
