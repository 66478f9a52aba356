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

	"github.com/threadwall/threadwall/internal/admission"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/gossip"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/ring"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// Costs of control; docs/design/gossip.md gives the measurement.
const (
	fanout       = 2    // peers of the own domain a round
	newsRounds   = 2    // rounds for which news is passed on
	newsCapacity = 8192 // pieces of news remembered
	digestBytes  = 600  // of news a round
	kickPeers    = 3    // peers told at once of a new configuration
	callTimeout  = 800 * time.Millisecond
	workLag      = 200 * time.Millisecond // mean age of news of a dispatch
	beliefEpoch  = 10 * time.Second       // a belief is news again after this
)

// Node is this VM among its peers. Fields are set before Start.
type Node struct {
	VM          ids.VM
	Domain      ids.FailureDomain
	Incarnation ids.Incarnation
	Seeds       []string
	Fleet       *fleet.Fleet
	Config      *confsync.Store
	Platform    *confsync.Store
	Shares      *admission.Shares
	Events      *timeline.Log

	Leaving atomic.Bool
	news    *gossip.Store
	counter atomic.Uint64
	byHash  atomic.Pointer[map[uint64]ids.Target]

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	wants *ring.Ring[want]
	gate  *semaphore.Weighted // bounds FetchState calls served at once

	BytesOut, BytesIn, Calls, Failures atomic.Int64
}

var _ peerpb.PeerServer = (*Server)(nil)

// Init completes a node.
func (n *Node) Init() {
	n.news = gossip.New(newsRounds, newsCapacity)
	n.conns = map[string]*grpc.ClientConn{}
	n.byHash.Store(&map[uint64]ids.Target{})
	n.wants = ring.New[want](wantsQueue)
	n.gate = semaphore.NewWeighted(stateCallsAtOnce)
}

const (
	wantsQueue       = 32
	stateCallsAtOnce = 2
)

// want is a revision that a peer has and we lack.
type want struct {
	space peerpb.KeySpace
	vm    string
	addr  string
}

// AdoptPlatform takes in a revision of the platform's list; it is an Adopter.
func (n *Node) AdoptPlatform(_ objectapi.Revision, objects []objectapi.Object) {
	records, _ := platform.Decode(objects)
	n.Fleet.Members.Platform(records, time.Now())
	vms, hashes := 0, map[uint64]ids.Target{}
	for _, r := range records {
		if r.Role == platform.RoleEntry {
			vms++
			continue
		}
		hashes[routing.HashTarget(ids.Target(r.ID))] = ids.Target(r.ID)
	}
	n.byHash.Store(&hashes)
	n.Shares.SetVMs(vms)
	n.Fleet.MarkDirty()
}

// beat returns this VM's own heartbeat.
func (n *Node) beat() *peerpb.Beat {
	return &peerpb.Beat{
		Vm: string(n.VM), Incarnation: uint64(n.Incarnation), Counter: n.counter.Load(),
		ConfigRevision: uint64(n.Config.Revision()), PlatformRevision: uint64(n.Platform.Revision()), Leaving: n.Leaving.Load(),
	}
}

// digest gathers one round's news.
func (n *Node) digest() *peerpb.Digest {
	d := &peerpb.Digest{Hlc: uint64(n.Events.Clock().Now()), Self: n.beat()}
	n.news.Fill(d, digestBytes)
	return d
}

// Round is one beat: gather own news and exchange digests with a few peers.
func (n *Node) Round(ctx context.Context) {
	n.counter.Add(1)
	for _, u := range n.Shares.Demands() {
		n.news.AddUsage(&peerpb.Usage{Vm: string(n.VM), Workspace: string(u.Workspace), Rate: float32(u.Rate), Counter: uint64(time.Now().UnixMilli())})
	}
	epoch := uint64(time.Now().UnixNano() / int64(beliefEpoch))
	for _, b := range n.Fleet.Cache.TakeFresh() {
		n.news.AddBelief(&peerpb.Belief{Prefix: uint64(b.ID), Target: routing.HashTarget(b.Target), Life: uint32(b.Life), Work: uint32(b.Work)}, epoch)
	}
	d := n.digest()
	var wg sync.WaitGroup
	for _, addr := range n.pick(fanout) {
		wg.Go(func() { n.exchange(ctx, addr, d) })
	}
	wg.Wait()
}

// Kick tells a few peers at once of a new configuration revision.
func (n *Node) Kick(ctx context.Context) {
	d := &peerpb.Digest{Hlc: uint64(n.Events.Clock().Now()), Self: n.beat()}
	var wg sync.WaitGroup
	for _, addr := range n.pick(kickPeers) {
		wg.Go(func() { n.exchange(ctx, addr, d) })
	}
	wg.Wait()
}

// pick returns addresses of random peers that may be alive. Most are of the own
// failure domain; one in other domains is added when this VM is a relay of its
// domain, so that configuration and demand cross.
func (n *Node) pick(count int) []string {
	now := time.Now()
	var near, far []string
	live := 0
	smaller := 0
	for _, p := range n.Fleet.Members.Peers(now) {
		if p.PeerAddr == "" || p.State == routing.Dead && rand.IntN(10) != 0 {
			continue // a dead peer is tried now and then, so that it can heal
		}
		if p.FailureDomain != n.Domain {
			far = append(far, p.PeerAddr)
			continue
		}
		near = append(near, p.PeerAddr)
		if p.State >= routing.Joining {
			live++
			if p.ID < n.VM {
				smaller++
			}
		}
	}
	if len(near)+len(far) == 0 {
		near = append(near, n.Seeds...)
	}
	shuffle(near)
	shuffle(far)
	out := near[:min(count, len(near))]
	if smaller < relaysPerDomain && len(far) > 0 {
		out = append(out, far[0])
	}
	return out
}

// relaysPerDomain is how many VMs of a domain speak to other domains.
const relaysPerDomain = 2

func shuffle(s []string) { rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] }) }

func (n *Node) client(addr string) (peerpb.PeerClient, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[addr]; c != nil {
		return peerpb.NewPeerClient(c), nil
	}
	c, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(&byteCounter{n}))
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

func (n *Node) exchange(ctx context.Context, addr string, d *peerpb.Digest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n.Calls.Add(1)
	c, err := n.client(addr)
	if err == nil {
		var answer *peerpb.Digest
		if answer, err = c.Exchange(ctx, d); err == nil {
			n.absorb(answer, addr)
			return
		}
	}
	n.Failures.Add(1)
}

// absorb takes in a peer's digest; addr is where its sender can be asked for a
// newer configuration, empty if not known.
func (n *Node) absorb(d *peerpb.Digest, addr string) {
	now := time.Now()
	n.Events.Clock().Observe(hlc.Stamp(d.Hlc))
	if d.Self != nil {
		n.heard(d.Self, now)
		n.compare(d.Self, addr)
	}
	for _, b := range d.Beats {
		n.heard(b, now)
	}
	for _, r := range d.Reports {
		n.reported(r, now)
	}
	for _, b := range d.Beliefs {
		n.believed(b, now)
	}
	for _, u := range d.Usages {
		if u.Vm != string(n.VM) && n.news.AddUsage(u) {
			n.Shares.Told(u.Vm, ids.Workspace(u.Workspace), float64(u.Rate))
		}
	}
}

// compare notes what the peer has and we lack; a duty fetches it.
func (n *Node) compare(b *peerpb.Beat, addr string) {
	if b.ConfigRevision > uint64(n.Config.Revision()) {
		n.wants.TryPut(want{space: peerpb.KeySpace_CONFIG, vm: b.Vm, addr: addr})
	}
	if b.PlatformRevision > uint64(n.Platform.Revision()) {
		n.wants.TryPut(want{space: peerpb.KeySpace_PLATFORM, vm: b.Vm, addr: addr})
	}
}

func (n *Node) heard(b *peerpb.Beat, now time.Time) {
	if !n.Fleet.Members.Heartbeat(ids.VM(b.Vm), ids.Incarnation(b.Incarnation), b.Counter, b.ConfigRevision, b.Leaving, now) {
		return
	}
	n.news.AddBeat(b)
	n.Shares.Told(b.Vm, "", 0)
	n.Config.Hear(objectapi.Revision(b.ConfigRevision))
}

func (n *Node) reported(r *peerpb.TargetReport, now time.Time) {
	id, ok := (*n.byHash.Load())[r.Target]
	if !ok {
		return
	}
	before := n.Fleet.Members.State(id, now)
	report := membershipReport(r)
	if !n.Fleet.Members.Probed(id, report, now) {
		return
	}
	urgent := r.Leaving || r.Silent || n.Fleet.Members.State(id, now) != before
	n.news.AddReport(r, urgent)
	if urgent {
		n.Fleet.MarkDirty()
	}
}

func (n *Node) believed(b *peerpb.Belief, now time.Time) {
	id, ok := (*n.byHash.Load())[b.Target]
	if !ok || !n.news.AddBelief(b, uint64(now.UnixNano()/int64(beliefEpoch))) {
		return
	}
	n.Fleet.Cache.Told(id, b.Life, b.Prefix)
	if b.Work > 0 {
		n.Fleet.Load.Heard(id, int32(b.Work), now.Add(-workLag))
	}
}

// snapshotProto encodes a configuration for peers.
func snapshotProto(s confsync.Snapshot) *peerpb.ConfigSnapshot {
	out := &peerpb.ConfigSnapshot{Revision: uint64(s.Revision), Floor: uint64(s.Floor), Base: uint64(s.Base), Deleted: s.Deleted}
	for _, o := range s.Objects {
		out.Objects = append(out.Objects, &peerpb.ConfigObject{Key: o.Key, Value: o.Value, Version: uint64(o.Version)})
	}
	return out
}

func snapshotOf(p *peerpb.ConfigSnapshot) confsync.Snapshot {
	s := confsync.Snapshot{
		Base: objectapi.Revision(p.Base), Revision: objectapi.Revision(p.Revision),
		Floor: objectapi.Revision(p.Floor), Deleted: p.Deleted,
	}
	for _, o := range p.Objects {
		s.Objects = append(s.Objects, objectapi.Object{Key: o.Key, Value: o.Value, Version: objectapi.Revision(o.Version)})
	}
	return s
}

// NewsDropped returns how much news never found room in a digest.
func (n *Node) NewsDropped() uint64 { return n.news.Dropped() }
