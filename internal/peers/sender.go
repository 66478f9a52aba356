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

// teller keeps a stream to one peer open. A peer that does not read blocks its
// own teller only; news for it is dropped and counted meanwhile.
type teller struct {
	n    *Node
	vm   ids.VM
	addr string
	ring *ring.Ring[*peerpb.News]
	stop context.CancelFunc
}

// tellQueue is how many messages wait for a slow peer.
const tellQueue = 4

// tellPause is the wait before a broken stream is opened again.
const tellPause = 500 * time.Millisecond

// smallFleet is up to how many peers all VMs tell each other everything, across
// failure domains: with two VMs and two or three targets in each domain, prompts
// are routed over all of them.
const smallFleet = 24

// tellersOf returns the tellers of all peers of the domain, and starts and ends
// tellers as VMs come and go. Dead VMs keep theirs as long as they are listed: a
// heartbeat through it is how a false suspicion heals.
func (n *Node) tellersOf(ctx context.Context) []*teller {
	wanted := map[ids.VM]string{}
	peers := n.Fleet.Members.Peers(clock.Now())
	for _, p := range peers {
		if near := p.FailureDomain == n.Domain || len(peers) <= smallFleet; near && p.PeerAddr != "" {
			wanted[p.ID] = p.PeerAddr
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*teller
	for vm, t := range n.tellers {
		if wanted[vm] != t.addr {
			t.stop()
			delete(n.tellers, vm)
		}
	}
	for vm, addr := range wanted {
		t := n.tellers[vm]
		if t == nil {
			tctx, stop := context.WithCancel(ctx)
			t = &teller{n: n, vm: vm, addr: addr, ring: ring.New[*peerpb.News](tellQueue), stop: stop}
			n.tellers[vm] = t
			go t.run(tctx)
		}
		out = append(out, t)
	}
	return out
}

// run opens streams and sends what comes through the ring.
func (t *teller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if t.stream(ctx) != nil {
			t.n.Failures.Add(1)
		}
		timing.Sleep(ctx, tellPause)
	}
}

// stream tells one peer until the stream breaks. The first message says who
// speaks, so that the others needn't.
func (t *teller) stream(ctx context.Context) error {
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

// rank is how many live VMs of the domain come before this one for a target.
func (n *Node) rank(id ids.Target) int {
	own, before := routing.VMWeight(id, n.VM), 0
	for _, p := range n.Fleet.Members.Peers(clock.Now()) {
		if p.FailureDomain == n.Domain && p.State >= routing.Joining && routing.VMWeight(id, p.ID) > own {
			before++
		}
	}
	return before
}
