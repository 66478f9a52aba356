// Package news is what entry VMs tell each other about targets: how much work each
// has sent where, which engines are being brought to new weights, and since when these
// are named.
//
// A message is one datagram, sent to each peer and not answered. One that is lost
// or late makes a decision a little worse and nothing wrong: loads are told again
// and fade, and an engine that is told to load refuses work by itself. So there is
// no connection to keep, no order to restore, and a VM that is cut off waits for
// nobody.
//
// What it costs stays bounded: the pause between two rounds grows with the number
// of peers, so that a VM takes in at most MessagesPerSecond; beyond TreeFrom messages are
// summed up over a tree of VMs (tree.go).
//
// Bytes between failure domains are dear, so a message crosses a boundary once for each
// domain of more than relayFrom VMs: one VM there passes it on (relay.go).
package news

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Peer is another entry VM.
type Peer struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	Addr          string // ip:port
	LinkMbps      int    // width of its link; zero: not known
}

// Message is one datagram.
type Message struct {
	VM          ids.VM
	Seq         uint64 // orders the loads of one life of a VM; zero: it tells none
	Incarnation int64  // when that life began, in milliseconds of the VM's clock
	Loads       []Load // all targets with work; others have none
	// Unresponsive are engines that don't answer the calls by which this VM reads their feeds, or
	// have not answered the first one yet.
	Unresponsive []ids.Target
	Order        *Order
	// RecentWeights are weights that were named a short while ago.
	RecentWeights []RecentWeights
	// StoreDown is the address of a store of KV cache that does not answer.
	StoreDown string
	// CacheChanges are changes of what targets hold.
	CacheChanges []cacheview.Change
	// LeaseLapse tells that this VM could not renew the lease for orders and gives none. Nil: it
	// has not held it, or holds it.
	LeaseLapse *LeaseLapse
	// Crashes are requests under which replicas crashed.
	Crashes []quarantine.Report
	// Uses are what this VM lets workspaces use, along with Seq.
	Uses []allowance.Use
	// Limits are rates that targets named, and the ends of such.
	Limits []ratelimit.Report
	// Canaries are what this VM has counted of versions that are being brought into service.
	Canaries []canary.Report
	// Report and Total are what several VMs say, in large fleets (tree.go).
	Report, Total *digest
}

// LeaseLapse is one state of the lease's record under which its holder has stopped (package
// lease).
type LeaseLapse struct {
	_                struct{} `cbor:",toarray"`
	Instance         string
	Fence            uint64
	Renewal          uint64
	SinceLastOrderMs int64 // since its last order had arrived or was given up
}

// Load is a VM's work at one target.
type Load struct {
	Target       ids.Target
	InFlight     int
	Pending      int // prompt tokens without a first token yet
	NotResumable int // requests that can't go on at another target
}

// RecentWeights is a version of a model's weights and for how long it has been named.
type RecentWeights struct {
	_       struct{} `cbor:",toarray"`
	Model   ids.Model
	Version uint64
	AgeMs   int64
}

// Order says that an engine is being brought to other weights, or has been.
type Order struct {
	_       struct{} `cbor:",toarray"`
	Target  ids.Target
	Weights ids.WeightsVersion
	Done    bool
	// Incarnation is that of the engine, as far as the sender knows; zero: it does not.
	Incarnation ids.Incarnation
}

// Bounds.
const (
	// shortest is the least pause between two rounds: about the time to a first token.
	shortest = 150 * time.Millisecond
	// shortestCaches is the least pause between two tellings of caches: what a prompt that
	// was just computed saves the next one is known before the next one is decided.
	shortestCaches = 50 * time.Millisecond
	// messagesPerSecond bounds what a VM takes in. Fewer make loads so old that all VMs send to
	// the engines that had looked idle.
	messagesPerSecond = 200
	// maxDatagram bounds a message, in bytes.
	maxDatagram = 48 << 10
	// orderCopies is how often an order is told, since datagrams get lost.
	orderCopies = 2
	// idleRounds is after how many rounds with nothing to tell a VM speaks all the same:
	// peers take its silence for a cut.
	idleRounds = 1
	// maxTold bounds the changes of caches in one message, in entries of about 9 bytes: it
	// then fits in one packet. maxCacheMessages bounds the messages of one round.
	maxTold          = 120
	maxCacheMessages = 4
)

// Exchange tells and hears news. Its fields are set before Run.
type Exchange struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	Listen        string // ip:port
	// TreeFrom is the number of peers beyond which news go over the tree. Zero: never.
	TreeFrom int
	Load     *loadview.Tracker
	// OnOrder is called for each order that a peer tells of.
	OnOrder func(o Order)
	// Unresponsive returns the engines that this VM gets no answer from, and PeerSilent is
	// called with all that a peer gets none from.
	Unresponsive   func() []ids.Target
	OnUnresponsive func(peer ids.VM, silent []ids.Target)
	// RecentWeights returns the weights that were named a short while ago, and HeardNamed is
	// called for each that a peer tells of.
	RecentWeights   func() []RecentWeights
	OnRecentWeights func(n RecentWeights)
	// OnStoreDown is called for each store of KV cache that a peer gets no answer from.
	OnStoreDown func(addr string)
	// Resolve returns the target whose hash has the given low 32 bits.
	Resolve func(short uint32) (ids.Target, bool)
	// CacheChanges returns the changes of caches that peers are to be told of, and HeardCache is
	// called for each that a peer tells of.
	CacheChanges  func() []cacheview.Change
	OnCacheChange func(c cacheview.Change)
	// LeaseLapse returns what peers are to know of a lease that this VM could not renew; nil:
	// nothing. HeardLapsed is called with what a peer tells of its own.
	LeaseLapse   func() *LeaseLapse
	OnLeaseLapse func(l LeaseLapse)
	// Crashes keeps the requests under which replicas crashed. Nil: none are told of.
	Crashes *quarantine.Ledger
	// Allowances bounds what workspaces use over all VMs. Nil: nothing does.
	Allowances *allowance.Limiter
	// Limits returns what peers are to know of the rates that targets named, and HeardLimit
	// is called with what a peer tells of one.
	Limits  func() []ratelimit.Report
	OnLimit func(w ratelimit.Report)
	// OnCanaryReports is called with what a VM has counted of canaries.
	OnCanaryReports func(vm ids.VM, life int64, r []canary.Report)
	// Meter counts the bytes that are sent. Nil: nothing does.
	Meter *traffic.Meter

	mu    sync.Mutex
	peers []Peer
	large bool // news go over the tree
	heard map[ids.VM]contact
	tree  tree
	conn  *net.UDPConn
	life  int64
	seq   atomic.Uint64
	told  int // targets in the last round
	idle  int // rounds since this VM last spoke

	Sent, Forwarded, Received, Rejected, Dropped atomic.Int64
}

// SetPeers tells who the peers are; this VM itself is left out.
func (x *Exchange) SetPeers(all []Peer) {
	var near, far []Peer
	for _, p := range all {
		switch {
		case p.VM == x.VM || p.Addr == "":
		case p.FailureDomain == x.FailureDomain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	peers := append(near, far...)
	x.tree.setPeers(x.VM, x.FailureDomain, all)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers, x.large = peers, x.TreeFrom > 0 && len(peers) > x.TreeFrom
	heard := map[ids.VM]contact{}
	for _, p := range peers {
		heard[p.VM] = x.heard[p.VM]
	}
	x.heard = heard
}

// isLarge tells whether news go over the tree.
func (x *Exchange) isLarge() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.large
}

func (x *Exchange) list() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers
}

// contact is what is known of a listed peer's presence.
type contact struct {
	at   time.Time // it last told something
	life int64
}

// note remembers when a listed peer told something, and tells whether it has started since
// it last did. life is zero where another VM names it.
func (x *Exchange) note(vm ids.VM, life int64, now time.Time) (started bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, listed := x.heard[vm]
	if !listed {
		return false
	}
	started = life > c.life
	c.at, c.life = now, max(c.life, life)
	x.heard[vm] = c
	return started
}

// SeenWithin tells whether a peer has told something in the last d.
func (x *Exchange) SeenWithin(vm ids.VM, d time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := x.heard[vm].at
	return !at.IsZero() && clock.Since(at) < d
}

// Start listens.
func (x *Exchange) Start() error {
	addr, err := net.ResolveUDPAddr("udp4", x.Listen)
	if err != nil {
		return eris.Wrapf(err, "news address %s", x.Listen)
	}
	x.conn, err = net.ListenUDP("udp4", addr)
	x.life = time.Now().UnixMilli() // peers compare it with that of another start
	x.tree.wake = make(chan struct{}, 1)
	return eris.Wrapf(err, "listen for news on %s", x.Listen)
}

// Receive takes in datagrams until ctx ends.
func (x *Exchange) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() }) // ends the read below
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := x.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			x.Rejected.Add(1)
			continue
		}
		x.take(buf[:n])
	}
}

func (x *Exchange) take(data []byte) {
	m, err := decode(data, x.Resolve)
	if err != nil || m.VM == "" || m.VM == x.VM {
		x.Rejected.Add(1)
		return
	}
	if data[0] == passOn {
		x.passOn(data)
	}
	x.Received.Add(1)
	if x.note(m.VM, m.Incarnation, clock.Now()) {
		x.Crashes.ResendAll()
	}
	if len(m.Crashes) > 0 && x.Crashes != nil {
		x.Crashes.Receive(m.VM, m.Crashes, x.isLarge())
	}
	if len(m.Canaries) > 0 && x.OnCanaryReports != nil {
		x.OnCanaryReports(m.VM, m.Incarnation, m.Canaries)
		return
	}
	if m.Report != nil || m.Total != nil {
		x.takeDigest(&m, clock.Now())
		return
	}
	x.tree.met(m.VM)
	if m.Order != nil {
		x.OnOrder(*m.Order)
		return
	}
	if m.StoreDown != "" {
		x.OnStoreDown(m.StoreDown)
		return
	}
	for _, c := range m.CacheChanges {
		x.OnCacheChange(c)
	}
	if m.Seq == 0 {
		return
	}
	loads := make(map[ids.Target]loadview.PeerLoad, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Target] = loadview.PeerLoad{InFlight: l.InFlight, Pending: float64(l.Pending), NotResumable: l.NotResumable}
	}
	x.Load.SetPeerLoads(m.VM, m.Incarnation, m.Seq, loads, clock.Now())
	if !x.isLarge() { // the tree's totals say it all
		x.Allowances.RecordUse(m.VM, m.Incarnation, m.Seq, m.Uses)
	}
	x.OnUnresponsive(m.VM, m.Unresponsive)
	for _, n := range m.RecentWeights {
		x.OnRecentWeights(n)
	}
	if m.LeaseLapse != nil {
		x.OnLeaseLapse(*m.LeaseLapse)
	}
	for _, w := range m.Limits {
		x.OnLimit(w)
	}
}

// SendLoads sends this VM's loads round after round until ctx ends.
func (x *Exchange) SendLoads(ctx context.Context) {
	x.tellRound(Message{}) // peers know at once that this VM is there
	for ctx.Err() == nil {
		if x.isLarge() {
			x.tellTree(ctx)
			continue
		}
		if timing.Sleep(ctx, x.RoundInterval()) {
			x.Load.ExpirePeers(clock.Now())
			x.round()
		}
	}
}

// SendCacheChanges tells changes of caches until ctx ends.
func (x *Exchange) SendCacheChanges(ctx context.Context) {
	for timing.Sleep(ctx, max(shortestCaches, x.intake())) {
		if !x.isLarge() {
			x.tellCaches()
		}
	}
}

// RoundInterval is the time between two rounds.
func (x *Exchange) RoundInterval() time.Duration {
	if x.isLarge() {
		return treeRound
	}
	return max(shortest, x.intake())
}

// intake is the pause between two rounds at which a VM takes in messagesPerSecond of its
// peers.
func (x *Exchange) intake() time.Duration {
	return time.Duration(len(x.list())) * time.Second / messagesPerSecond
}

// round tells loads, silent engines and new weights once; after a round without any of them,
// nothing for some rounds.
func (x *Exchange) round() {
	var loads []Load
	x.Load.Own(func(t ids.Target, l loadview.PeerLoad) {
		loads = append(loads, Load{Target: t, InFlight: l.InFlight, Pending: int(l.Pending), NotResumable: l.NotResumable})
	})
	m := Message{Loads: loads, Unresponsive: x.Unresponsive(), RecentWeights: x.RecentWeights(), LeaseLapse: x.LeaseLapse(), Crashes: x.Crashes.DueReports(len(x.list())), Uses: x.Allowances.OwnUse(), Limits: x.Limits()}
	if len(loads) == 0 && len(m.Uses) == 0 && x.told == 0 && len(m.Unresponsive) == 0 && len(m.RecentWeights) == 0 && m.LeaseLapse == nil && len(m.Crashes) == 0 && len(m.Limits) == 0 && x.idle < idleRounds {
		x.idle++
		return
	}
	x.tellRound(m)
}

// tellRound sends a message that orders this VM's loads.
func (x *Exchange) tellRound(m Message) {
	x.told, x.idle = len(m.Loads), 0
	m.VM, m.Incarnation, m.Seq = x.VM, x.life, x.seq.Add(1)
	x.send(m, 0)
}

// tellCaches tells changes of caches in as many messages as it takes. What is too much for
// one round is left out: a belief that is missing costs a computation at most.
func (x *Exchange) tellCaches() {
	changes := x.CacheChanges()
	for range maxCacheMessages {
		n := min(len(changes), maxTold)
		if n == 0 {
			return
		}
		x.send(Message{VM: x.VM, Incarnation: x.life, CacheChanges: changes[:n]}, 0)
		changes = changes[n:]
	}
	x.Dropped.Add(int64(len(changes)))
}

// SendOrder tells all peers of an order.
func (x *Exchange) SendOrder(o Order) {
	for copy := range orderCopies {
		if x.isLarge() {
			x.tree.tell(event{VM: shortenVM(x.VM), Orders: []Order{o}})
			continue
		}
		x.send(Message{VM: x.VM, Incarnation: x.life, Order: &o}, copy)
	}
}

// SendCanaryReports tells one VM what this one has counted.
func (x *Exchange) SendCanaryReports(to ids.VM, r []canary.Report) {
	if to == x.VM {
		x.OnCanaryReports(x.VM, x.life, r)
		return
	}
	for _, p := range x.list() {
		if p.VM == to {
			x.sendDigest(Message{VM: x.VM, Incarnation: x.life, Canaries: r}, []Peer{p})
		}
	}
}

// SendStoreDown tells all peers that a store of KV cache does not answer.
func (x *Exchange) SendStoreDown(addr string) {
	if x.isLarge() {
		x.tree.tell(event{VM: shortenVM(x.VM), StoreDown: []string{addr}})
		return
	}
	x.send(Message{VM: x.VM, Incarnation: x.life, StoreDown: addr}, 0)
}
