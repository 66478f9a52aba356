package peers

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/ring"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// sender keeps a stream to one peer open. A peer that does not read, or can't be reached, blocks
// only its own sender; the updates for it are then merged into one of bounded size.
type sender struct {
	n    *Node
	vm   ids.VM
	addr string
	ring *ring.Ring[*peerpb.News]
	stop context.CancelFunc

	mu sync.Mutex // serializes enqueue
}

// senderQueueSize is how many messages are queued for a slow peer before they are merged.
const senderQueueSize = 4

// enqueue queues an update. If the queue is full, it replaces the queued updates by one that merges
// them with the new one.
func (s *sender) enqueue(update *peerpb.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ring.TryPut(update) {
		return
	}
	var all []*peerpb.News
	for len(all) < senderQueueSize {
		select {
		case m := <-s.ring.Out():
			all = append(all, m)
			continue
		default: // the stream has taken the others
		}
		break
	}
	s.ring.TryPut(mergeUpdates(append(all, update)))
}

// reconnectDelay is the delay before a broken stream is opened again.
const reconnectDelay = 500 * time.Millisecond

// smallFleetPeers is the number of peers up to which all VMs send each other all updates, across
// failure domains: with two VMs and two or three targets in each domain, prompts are
// routed over all targets.
const smallFleetPeers = 24

// updateSenders returns the senders to all peers of the domain, in a small fleet to all peers, and
// starts and stops senders as VMs are added and removed. A dead VM keeps its sender until
// membership drops the VM: otherwise two VMs that wrongly take each other for dead would get no
// heartbeat by which to recover.
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
	for vm, s := range n.senders {
		if wanted[vm] != s.addr {
			s.stop()
			delete(n.senders, vm)
		}
	}
	for vm, addr := range wanted {
		s := n.senders[vm]
		if s == nil {
			senderCtx, stop := context.WithCancel(ctx)
			s = &sender{n: n, vm: vm, addr: addr, ring: ring.New[*peerpb.News](senderQueueSize), stop: stop}
			n.senders[vm] = s
			go s.run(senderCtx)
		}
		out = append(out, s)
	}
	return out
}

// run opens streams and sends the queued messages until ctx ends.
func (s *sender) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.stream(ctx) != nil {
			s.n.Failures.Add(1)
		}
		timing.Sleep(ctx, reconnectDelay)
	}
}

// stream sends updates to one peer until the stream breaks. The first message names this VM, so
// that later ones need not.
func (s *sender) stream(ctx context.Context) error {
	c, err := s.n.client(s.addr)
	if err != nil {
		return err
	}
	stream, err := c.Tell(ctx)
	if err != nil {
		return err
	}
	hello := &peerpb.News{
		Vm: string(s.n.VM), Incarnation: uint64(s.n.Incarnation),
		Hlc: uint64(s.n.Events.Clock().Now()), Beat: s.n.beat(),
	}
	for m := hello; ; {
		if err := stream.Send(m); err != nil {
			return err
		}
		s.n.Messages.Add(1)
		select {
		case <-ctx.Done():
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		case m = <-s.ring.Out():
		}
	}
}

// rank returns how many live or joining VMs of the domain rank before this one for a target.
func (n *Node) rank(id ids.Target) int {
	own, before := routing.VMWeight(id, n.VM), 0
	for _, p := range n.Fleet.Members.Peers(clock.Now()) {
		if p.FailureDomain == n.Domain && p.State >= routing.Joining && routing.VMWeight(id, p.ID) > own {
			before++
		}
	}
	return before
}
