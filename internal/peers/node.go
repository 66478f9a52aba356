// Package peers implements the communication between entry VMs: heartbeats and updates within
// the failure domain (in small fleets between all VMs), summaries between failure domains,
// exchange of configuration by revision, and transfer of state to a starting VM.
package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/gossip"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/ring"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// Limits of the control traffic; docs/design/gossip.md gives the measurement.
const (
	maxUpdateBytes  = 400 // approximate payload of one update message
	callTimeout     = 800 * time.Millisecond
	dispatchLag     = 200 * time.Millisecond // mean age of a dispatch when its update arrives
	maxMessageBytes = 256 << 20              // a complete configuration with its documents
	relaysPerDomain = 2                      // VMs of a domain that exchange summaries with other domains
)

// Node exchanges heartbeats, updates and configuration with the peers of this VM. The exported
// fields are set before Init, except Leaving and the counters. AdvanceHeartbeat and
// CollectDispatches must be called by one goroutine; all other methods are safe for concurrent use
// after Init.
type Node struct {
	VM          ids.VM
	Domain      ids.FailureDomain
	Incarnation ids.Incarnation
	Fleet       *fleet.Fleet
	Config      *confsync.Store
	Platform    *confsync.Store
	Allowances  *allowance.Limiter
	Events      *timeline.Log
	// Crashes stores the requests that were in progress when targets crashed. Nil: the node sends
	// and receives none.
	Crashes *quarantine.Ledger

	Leaving     atomic.Bool // set once this VM shuts down; sent in its heartbeats
	outbox      *gossip.Outbox
	urgent      chan struct{}
	counter     atomic.Uint64 // of the heartbeat
	sentBeat    atomic.Uint64 // counter of the heartbeat that Broadcast sent last
	byHash      atomic.Pointer[map[uint32]ids.Target]
	reportedUse map[uint32]bool // workspaces whose demand was sent with the last heartbeat

	mu         sync.Mutex
	conns      map[string]*grpc.ClientConn
	senders    map[ids.VM]*sender
	wanted     *ring.Ring[wantedRevision]
	stateCalls *semaphore.Weighted // bounds concurrent FetchState calls

	// BytesOut and BytesIn count the bytes of the control traffic, Messages the updates sent, and
	// Failures the broken streams, failed exchanges of summaries and failed fetches of revisions.
	BytesOut, BytesIn, Messages, Failures atomic.Int64
}

var _ peerpb.PeerServer = (*Server)(nil)

const (
	wantedQueueSize = 32
	maxStateCalls   = 2
)

// wantedRevision is a newer revision that a peer has announced.
type wantedRevision struct {
	space peerpb.KeySpace
	vm    ids.VM
	addr  string
}

// Init prepares a node for use.
func (n *Node) Init() {
	n.outbox = gossip.New()
	n.urgent = make(chan struct{}, 1)
	n.conns = map[string]*grpc.ClientConn{}
	n.senders = map[ids.VM]*sender{}
	n.byHash.Store(&map[uint32]ids.Target{})
	n.wanted = ring.New[wantedRevision](wantedQueueSize)
	n.stateCalls = semaphore.NewWeighted(maxStateCalls)
}

// AdoptPlatform applies a revision of the platform's list and skips malformed records. It is a
// confsync.AdoptFunc.
func (n *Node) AdoptPlatform(_ objectapi.Revision, objects []objectapi.Object) {
	records, _ := platform.Decode(objects)
	n.Fleet.Members.ApplyPlatform(records, clock.Now())
	n.SetTargets(records)
	n.Fleet.MarkDirty()
}

// SetTargets sets the known targets and entry VMs.
func (n *Node) SetTargets(records []platform.Record) {
	var vms []ids.VM
	hashes := map[uint32]ids.Target{}
	for _, r := range records {
		if r.Role == platform.RoleEntry {
			vms = append(vms, ids.VM(r.ID))
			continue
		}
		hashes[targetHash(ids.Target(r.ID))] = ids.Target(r.ID)
	}
	n.byHash.Store(&hashes)
	n.Allowances.SetVMs(vms)
}

// targetHash identifies a target in messages. Among a few thousand targets, two share a hash with
// a probability of one in a thousand; an update about one then counts for the other. That
// only makes a routing decision worse; cache entries are ignored, since the generations of the two
// differ.
func targetHash(t ids.Target) uint32 { return uint32(routing.HashTarget(t)) }

// beat returns this VM's heartbeat.
func (n *Node) beat() *peerpb.Beat {
	return &peerpb.Beat{
		Counter: n.counter.Load(), ConfigRevision: uint64(n.Config.Revision()),
		PlatformRevision: uint64(n.Platform.Revision()), Leaving: n.Leaving.Load(),
	}
}

// AdvanceHeartbeat increments this VM's heartbeat counter and queues its demand for the next update.
func (n *Node) AdvanceHeartbeat() {
	n.counter.Add(1)
	sent := map[uint32]bool{}
	for _, u := range n.Allowances.OwnUse() {
		sent[u.Workspace] = true
		n.outbox.Demand(&peerpb.Demand{
			Workspace: u.Workspace, Decirequests: uint32(allowance.Rate(u.Used) * decirequestsPerRequest), Decioffered: uint32(allowance.Rate(u.Offered) * decirequestsPerRequest),
		})
	}
	for ws := range n.reportedUse {
		if !sent[ws] {
			n.outbox.Demand(&peerpb.Demand{Workspace: ws}) // one last report, with no demand
		}
	}
	n.reportedUse = sent
}

// decirequestsPerRequest is the resolution of demand in messages: tenths of a request per second.
const decirequestsPerRequest = 10

// CollectDispatches queues this VM's own dispatches since the last call for the next update: the
// cache entries and the work that its requests have added to targets. It reports whether anything
// is pending.
func (n *Node) CollectDispatches() bool {
	var last *peerpb.Dispatch
	for _, e := range n.Fleet.Cache.TakeNewEntries() {
		target, generation := targetHash(e.Target), uint32(uint16(e.Generation))
		if last == nil || last.Target != target || last.Life != generation || last.Work > 0 {
			last = &peerpb.Dispatch{Target: target, Life: generation}
			n.outbox.Dispatch(last)
		}
		last.Prefixes = append(last.Prefixes, uint64(e.ID))
		last.Work = uint32(e.Work)
	}
	return n.outbox.Pending() || n.Crashes.Pending()
}

// Broadcast sends the pending updates to every peer of the domain, in a small fleet to every peer.
// It includes the heartbeat once per counter value; an urgent update increments the counter. A
// sender that Broadcast starts runs until ctx ends or the peer is removed.
func (n *Node) Broadcast(ctx context.Context, urgent bool) {
	if urgent {
		n.counter.Add(1) // peers ignore a heartbeat whose counter they have seen
	}
	update := &peerpb.News{Hlc: uint64(n.Events.Clock().Now())}
	if b := n.beat(); n.sentBeat.Swap(b.Counter) != b.Counter {
		update.Beat = b
	}
	n.outbox.Fill(update, maxUpdateBytes)
	senders := n.updateSenders(ctx)
	update.Suspects = suspectsProto(n.Crashes.DueReports(len(senders)))
	for _, s := range senders {
		s.enqueue(update)
	}
}

// UpdateInterval returns the interval between updates, from shortest up to longest. It grows with
// the number of peers, so that the bytes per second stay bounded in a large domain.
func (n *Node) UpdateInterval(shortest, longest time.Duration) time.Duration {
	n.mu.Lock()
	peers := len(n.senders)
	n.mu.Unlock()
	return min(shortest*time.Duration(max(peers, maxPeersAtShortest))/maxPeersAtShortest, longest)
}

// maxPeersAtShortest is the number of peers up to which the shortest interval applies.
const maxPeersAtShortest = 4

// ExchangeCrossDomain exchanges summaries with a random VM of another domain if this VM is one of
// its domain's relays, the live or joining VMs with the lowest names. It counts a failed exchange
// in Failures.
func (n *Node) ExchangeCrossDomain(ctx context.Context) {
	now := clock.Now()
	var remote []string
	smaller := 0
	for _, p := range n.Fleet.Members.Peers(now) {
		switch {
		case p.FailureDomain != n.Domain && p.PeerAddr != "":
			remote = append(remote, p.PeerAddr)
		case p.State >= routing.Joining && p.ID < n.VM:
			smaller++
		}
	}
	if smaller >= relaysPerDomain || len(remote) == 0 {
		return
	}
	n.exchange(ctx, remote[rand.IntN(len(remote))])
}

// summary returns what this VM sends to another domain.
func (n *Node) summary() *peerpb.Summary {
	s := &peerpb.Summary{
		Vm: string(n.VM), Incarnation: uint64(n.Incarnation), Hlc: uint64(n.Events.Clock().Now()),
		Beat: n.beat(), FailureDomain: string(n.Domain),
	}
	s.Suspects = suspectsProto(n.Crashes.Snapshot())
	return s
}

func (n *Node) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := n.client(addr)
	if err == nil {
		var response *peerpb.Summary
		if response, err = c.Exchange(ctx, n.summary()); err == nil {
			n.applySummary(response, addr)
			return
		}
	}
	n.Failures.Add(1)
}

func (n *Node) applySummary(s *peerpb.Summary, addr string) {
	n.Events.Clock().Observe(hlc.Stamp(s.Hlc))
	n.applyBeat(ids.VM(s.Vm), s.Incarnation, s.Beat, addr)
	n.applySuspects(ids.VM(s.Vm), s.Suspects, true)
}

// applyUpdate applies an update from a peer.
func (n *Node) applyUpdate(vm ids.VM, incarnation uint64, m *peerpb.News) {
	n.Events.Clock().Observe(hlc.Stamp(m.Hlc))
	if m.Beat != nil {
		n.applyBeat(vm, incarnation, m.Beat, "")
	}
	n.applySuspects(vm, m.Suspects, false)
	for _, r := range m.Reports {
		n.applyReport(r)
	}
	for _, d := range m.Dispatches {
		n.applyDispatch(d)
	}
	for _, d := range m.Demands {
		n.Allowances.RecordWorkspaceUse(vm, allowance.Use{
			Workspace: d.Workspace, Used: allowance.Sum(float64(d.Decirequests) / decirequestsPerRequest), Offered: allowance.Sum(float64(d.Decioffered) / decirequestsPerRequest),
		})
	}
}

// applyBeat applies a heartbeat and queues the fetch of newer revisions that it announces. addr is
// the address from which to fetch them; if empty, fetch looks it up.
func (n *Node) applyBeat(vm ids.VM, incarnation uint64, b *peerpb.Beat, addr string) {
	if b == nil || !n.Fleet.Members.Heartbeat(vm, ids.Incarnation(incarnation), b.Counter, b.ConfigRevision, b.Leaving, clock.Now()) {
		return
	}
	n.Allowances.MarkSeen(vm)
	n.Config.RaiseFloor(objectapi.Revision(b.ConfigRevision))
	if b.ConfigRevision > uint64(n.Config.Revision()) {
		n.wanted.TryPut(wantedRevision{space: peerpb.KeySpace_CONFIG, vm: vm, addr: addr})
	}
	if b.PlatformRevision > uint64(n.Platform.Revision()) {
		n.wanted.TryPut(wantedRevision{space: peerpb.KeySpace_PLATFORM, vm: vm, addr: addr})
	}
}

func (n *Node) applyReport(r *peerpb.TargetReport) {
	id, ok := (*n.byHash.Load())[r.Target]
	if !ok {
		return
	}
	if n.Fleet.Members.ApplyReport(id, membershipReport(r), clock.Now()) && (r.Leaving || r.Silent) {
		n.Fleet.MarkDirty()
	}
}

func (n *Node) applyDispatch(d *peerpb.Dispatch) {
	id, ok := (*n.byHash.Load())[d.Target]
	if !ok {
		return
	}
	for _, p := range d.Prefixes {
		n.Fleet.Cache.ApplyPeerEntry(id, uint16(d.Life), p)
	}
	if d.Work > 0 {
		n.Fleet.Load.AddPeerWork(id, int32(d.Work), clock.Now().Add(-dispatchLag))
	}
}

func (n *Node) client(addr string) (peerpb.PeerClient, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[addr]; c != nil {
		return peerpb.NewPeerClient(c), nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(n.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, eris.Wrapf(err, "connect to peer %s", addr)
	}
	n.conns[addr] = c
	return peerpb.NewPeerClient(c), nil
}

// Close closes all connections to peers.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, c := range n.conns {
		_ = c.Close()
		delete(n.conns, addr)
	}
}

// DroppedUpdates returns how many dispatches and loads were dropped because they did not fit in
// the queue or in a message.
func (n *Node) DroppedUpdates() uint64 { return n.outbox.Dropped() }
