// Package peers is how entry VMs act together: heartbeats and news within the
// failure domain, configuration by revision, and state for a starting VM.
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

// Costs of control; docs/design/gossip.md gives the measurement.
const (
	newsBytes       = 400 // of news in a message, about
	callTimeout     = 800 * time.Millisecond
	workLag         = 200 * time.Millisecond // mean age of news of a dispatch
	maxMessageBytes = 256 << 20              // a whole configuration with its documents
	relaysPerDomain = 2                      // VMs of a domain that speak to other domains
)

// Node is this VM among its peers. Fields are set before Init.
type Node struct {
	VM          ids.VM
	Domain      ids.FailureDomain
	Incarnation ids.Incarnation
	Fleet       *fleet.Fleet
	Config      *confsync.Store
	Platform    *confsync.Store
	Allowances  *allowance.Limiter
	Events      *timeline.Log
	// Crashes are the requests under which targets crashed. Nil: peers are told of none.
	Crashes *quarantine.Ledger

	Leaving  atomic.Bool
	outbox   *gossip.Outbox
	urgent   chan struct{}
	counter  atomic.Uint64
	toldBeat atomic.Uint64
	byHash   atomic.Pointer[map[uint32]ids.Target]
	toldUse  map[uint32]bool // workspaces whose demand was told at the last heartbeat

	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	tellers map[ids.VM]*teller
	wants   *ring.Ring[want]
	gate    *semaphore.Weighted // bounds FetchState calls served at once

	BytesOut, BytesIn, Messages, Failures atomic.Int64
}

var _ peerpb.PeerServer = (*Server)(nil)

const (
	wantsQueue       = 32
	stateCallsAtOnce = 2
)

// want is a revision that a peer has and we lack.
type want struct {
	space peerpb.KeySpace
	vm    ids.VM
	addr  string
}

// Init completes a node.
func (n *Node) Init() {
	n.outbox = gossip.New()
	n.urgent = make(chan struct{}, 1)
	n.conns = map[string]*grpc.ClientConn{}
	n.tellers = map[ids.VM]*teller{}
	n.byHash.Store(&map[uint32]ids.Target{})
	n.wants = ring.New[want](wantsQueue)
	n.gate = semaphore.NewWeighted(stateCallsAtOnce)
}

// AdoptPlatform takes in a revision of the platform's list; it is an Adopter.
func (n *Node) AdoptPlatform(_ objectapi.Revision, objects []objectapi.Object) {
	records, _ := platform.Decode(objects)
	n.Fleet.Members.ApplyPlatform(records, clock.Now())
	n.SetTargets(records)
	n.Fleet.MarkDirty()
}

// SetTargets takes in which targets and entry VMs there are.
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

// targetHash names a target in messages. Two of a few thousand targets share one
// with a chance of one in a thousand; news of one then counts for the other,
// which misleads a choice and nothing else, since lives differ too.
func targetHash(t ids.Target) uint32 { return uint32(routing.HashTarget(t)) }

// beat returns this VM's heartbeat.
func (n *Node) beat() *peerpb.Beat {
	return &peerpb.Beat{
		Counter: n.counter.Load(), ConfigRevision: uint64(n.Config.Revision()),
		PlatformRevision: uint64(n.Platform.Revision()), Leaving: n.Leaving.Load(),
	}
}

// AdvanceHeartbeat counts this VM's heartbeat on and gathers its demand.
func (n *Node) AdvanceHeartbeat() {
	n.counter.Add(1)
	told := map[uint32]bool{}
	for _, u := range n.Allowances.Told() {
		told[u.Workspace] = true
		n.outbox.Demand(&peerpb.Demand{
			Workspace: u.Workspace, Decirequests: uint32(allowance.Rate(u.Used) * deci), Decioffered: uint32(allowance.Rate(u.Offered) * deci),
		})
	}
	for ws := range n.toldUse {
		if !told[ws] {
			n.outbox.Demand(&peerpb.Demand{Workspace: ws}) // told once more, with nothing
		}
	}
	n.toldUse = told
}

// deci is in how many parts a request a second is told.
const deci = 10

// CollectDispatches takes up this VM's own dispatches, and tells whether there is any news.
func (n *Node) CollectDispatches() bool {
	var last *peerpb.Dispatch
	for _, b := range n.Fleet.Cache.TakeNewEntries() {
		target, life := targetHash(b.Target), uint32(uint16(b.Generation))
		if last == nil || last.Target != target || last.Life != life || last.Work > 0 {
			last = &peerpb.Dispatch{Target: target, Life: life}
			n.outbox.Dispatch(last)
		}
		last.Prefixes = append(last.Prefixes, uint64(b.ID))
		last.Work = uint32(b.Work)
	}
	return n.outbox.Pending() || n.Crashes.Pending()
}

// Broadcast sends the news at hand to every peer of the domain. The heartbeat goes
// along once for each count; urgent news counts on.
func (n *Node) Broadcast(ctx context.Context, urgent bool) {
	if urgent {
		n.counter.Add(1) // peers take a beat that they have seen for an echo
	}
	news := &peerpb.News{Hlc: uint64(n.Events.Clock().Now())}
	if b := n.beat(); n.toldBeat.Swap(b.Counter) != b.Counter {
		news.Beat = b
	}
	n.outbox.Fill(news, newsBytes)
	tellers := n.tellersOf(ctx)
	news.Suspects = suspectsProto(n.Crashes.DueReports(len(tellers)))
	for _, t := range tellers {
		t.ring.TryPut(news)
	}
}

// UpdateInterval is how often news is told between heartbeats, given the shortest
// interval: it grows with the number of peers, so that the bytes a second stay
// bounded in a large domain.
func (n *Node) UpdateInterval(shortest, longest time.Duration) time.Duration {
	n.mu.Lock()
	peers := len(n.tellers)
	n.mu.Unlock()
	return min(shortest*time.Duration(max(peers, peersAtShortest))/peersAtShortest, longest)
}

// peersAtShortest is up to how many peers the shortest interval holds.
const peersAtShortest = 4

// ExchangeCrossDomain exchanges summaries with one VM of another domain, if this VM is one of
// its domain's relays.
func (n *Node) ExchangeCrossDomain(ctx context.Context) {
	now := clock.Now()
	var far []string
	smaller := 0
	for _, p := range n.Fleet.Members.Peers(now) {
		switch {
		case p.FailureDomain != n.Domain && p.PeerAddr != "":
			far = append(far, p.PeerAddr)
		case p.State >= routing.Joining && p.ID < n.VM:
			smaller++
		}
	}
	if smaller >= relaysPerDomain || len(far) == 0 {
		return
	}
	n.exchange(ctx, far[rand.IntN(len(far))])
}

// summary is what this VM tells another domain.
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
		var answer *peerpb.Summary
		if answer, err = c.Exchange(ctx, n.summary()); err == nil {
			n.absorbSummary(answer, addr)
			return
		}
	}
	n.Failures.Add(1)
}

func (n *Node) absorbSummary(s *peerpb.Summary, addr string) {
	n.Events.Clock().Observe(hlc.Stamp(s.Hlc))
	n.heard(ids.VM(s.Vm), s.Incarnation, s.Beat, addr)
	n.heardSuspects(ids.VM(s.Vm), s.Suspects, true)
}

// absorb takes in a peer's news.
func (n *Node) absorb(vm ids.VM, incarnation uint64, m *peerpb.News) {
	n.Events.Clock().Observe(hlc.Stamp(m.Hlc))
	if m.Beat != nil {
		n.heard(vm, incarnation, m.Beat, "")
	}
	n.heardSuspects(vm, m.Suspects, false)
	for _, r := range m.Reports {
		n.reported(r)
	}
	for _, d := range m.Dispatches {
		n.dispatched(d)
	}
	for _, d := range m.Demands {
		n.Allowances.HeardOne(vm, allowance.Use{
			Workspace: d.Workspace, Used: allowance.Sum(float64(d.Decirequests) / deci), Offered: allowance.Sum(float64(d.Decioffered) / deci),
		})
	}
}

// heard takes in a heartbeat. addr is where the VM can be asked for a newer
// configuration, empty if it is to be looked up.
func (n *Node) heard(vm ids.VM, incarnation uint64, b *peerpb.Beat, addr string) {
	if b == nil || !n.Fleet.Members.Heartbeat(vm, ids.Incarnation(incarnation), b.Counter, b.ConfigRevision, b.Leaving, clock.Now()) {
		return
	}
	n.Allowances.Present(vm)
	n.Config.Hear(objectapi.Revision(b.ConfigRevision))
	if b.ConfigRevision > uint64(n.Config.Revision()) {
		n.wants.TryPut(want{space: peerpb.KeySpace_CONFIG, vm: vm, addr: addr})
	}
	if b.PlatformRevision > uint64(n.Platform.Revision()) {
		n.wants.TryPut(want{space: peerpb.KeySpace_PLATFORM, vm: vm, addr: addr})
	}
}

func (n *Node) reported(r *peerpb.TargetReport) {
	id, ok := (*n.byHash.Load())[r.Target]
	if !ok {
		return
	}
	if n.Fleet.Members.ApplyReport(id, membershipReport(r), clock.Now()) && (r.Leaving || r.Silent) {
		n.Fleet.MarkDirty()
	}
}

func (n *Node) dispatched(d *peerpb.Dispatch) {
	id, ok := (*n.byHash.Load())[d.Target]
	if !ok {
		return
	}
	for _, p := range d.Prefixes {
		n.Fleet.Cache.ApplyPeerEntry(id, uint16(d.Life), p)
	}
	if d.Work > 0 {
		n.Fleet.Load.AddPeerWork(id, int32(d.Work), clock.Now().Add(-workLag))
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

// Close ends all connections to peers.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, c := range n.conns {
		_ = c.Close()
		delete(n.conns, addr)
	}
}

// DroppedUpdates returns how much news found no room in a message.
func (n *Node) DroppedUpdates() uint64 { return n.outbox.Dropped() }
