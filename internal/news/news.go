// Package news exchanges state about targets between entry VMs: the work that each VM has
// sent to each target, the engines that are being switched to other weights, the recent
// weights versions, changes of KV caches, rate limits, crashes and the use of allowances.
//
// A message is one datagram, sent to each peer and, outside the tree, not acknowledged. A lost or late message
// makes a decision slightly worse and never wrong: loads are sent again and decay, and an
// engine that is loading weights refuses work by itself. So the exchange keeps no connections
// and no order, and a partitioned VM blocks no other VM.
//
// The cost is bounded: the interval between two rounds grows with the number of peers, so
// that a VM receives at most messagesPerSecond messages with loads, or earlyMessagesPerSecond while
// calls wait (early.go). Beyond Exchange.TreeFrom
// peers a tree of VMs aggregates the messages (tree.go).
//
// Traffic between failure domains is expensive, so a message crosses the boundary once for
// each remote domain of more than relayThreshold VMs: one VM there forwards it (relay.go).
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
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/streams"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Peer is another entry VM.
type Peer struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	Addr          string // ip:port
	LinkMbps      int    // bandwidth of its link in Mbit/s; zero: not known
}

// Message is one datagram. Incarnation and Seq order the loads of one VM.
type Message struct {
	VM  ids.VM
	Seq uint64 // number of the round within one incarnation of the VM; zero: the message carries no loads
	// EarlySeq is the number of an early round (early.go). Such a message carries only Loads, and Seq
	// is zero, so that earlier releases ignore it.
	EarlySeq    uint64
	Incarnation int64  // start of the VM's process, in milliseconds of its wall clock
	Loads       []Load // all targets with work; the others have none
	// Unresponsive are targets that do not answer, or have not yet answered, the calls by which
	// this VM reads their cache feeds.
	Unresponsive []ids.Target
	Order        *Order
	// RecentWeights are weights versions that the configuration set a short while ago.
	RecentWeights []RecentWeights
	// StoreDown is the address of a KV cache store that does not answer.
	StoreDown string
	// CacheChanges are changes of the KV caches of targets.
	CacheChanges []cacheview.Change
	// LeaseLapse is set if this VM held the lease for orders, could not renew it and has
	// stopped sending orders. Nil: it has not held the lease, or still holds it.
	LeaseLapse *LeaseLapse
	// Crashes are requests that were in progress when replicas crashed.
	Crashes []quarantine.Report
	// Parts are parts of prompts of requests that were in progress when replicas crashed.
	Parts []quarantine.Report
	// Uses are what this VM has admitted of each workspace and the demand on it. They belong to
	// the round Seq.
	Uses []allowance.Use
	// Limits are rate limits that targets reported, and ends of such limits.
	Limits []ratelimit.Report
	// Paces are the targets that may be slow. They belong to the round Seq.
	Paces []loadview.Pace
	// Lacking are targets for whose limits this VM asks its peers for credit.
	Lacking []ids.Target
	// Grants answer Lacking. Such a message carries nothing else.
	Grants []ratelimit.Grant
	// Canaries are the counts of this VM for versions that are being rolled out.
	Canaries []canary.Report
	// Streams concerns the directory of where streams began. Such a message carries nothing else.
	Streams *streams.Message
	// Demand holds the sums of this VM's calls. Nil: as in its previous report.
	Demand *demand.Report
	// Budget is what this VM says of its part of the retry budgets' burst. Nil: nothing that a VM waits for.
	Budget *retry.Statement
	// Loan asks for a part of a retry, or answers that. Such a message carries nothing else.
	Loan *retry.Loan
	// Report and Total carry the state of several VMs in large fleets (tree.go).
	Report, Total *digest
}

// LeaseLapse identifies the state of the lease record under which the holder has stopped
// sending orders (package lease).
type LeaseLapse struct {
	_                struct{} `cbor:",toarray"`
	Instance         string
	Fence            uint64
	Renewal          uint64
	SinceLastOrderMs int64 // since its last order arrived or was abandoned
	Era              objectapi.Era
}

// Load is the work that one VM has sent to one target.
type Load struct {
	Target       ids.Target
	InFlight     int
	Pending      int // prompt tokens of requests that wait for their first token
	NotResumable int // requests that cannot continue at another target
}

// RecentWeights is a weights version of a model that the configuration set a short while
// ago. AgeMs is the time since then.
type RecentWeights struct {
	_       struct{} `cbor:",toarray"`
	Model   ids.Model
	Version uint64
	AgeMs   int64
}

// Order says that an engine is being switched to other weights or, if Done, has been.
type Order struct {
	_       struct{} `cbor:",toarray"`
	Target  ids.Target
	Weights ids.WeightsVersion
	Done    bool
	// Incarnation is the one of the engine; zero: the sender does not know it.
	Incarnation ids.Incarnation
}

const (
	// minRoundInterval is the shortest interval between two rounds: about the time to first
	// token.
	minRoundInterval = 150 * time.Millisecond
	// minCacheInterval is the shortest interval between two rounds of cache changes, so that a
	// prefix that was just computed is known before the next request for it is routed.
	minCacheInterval = 50 * time.Millisecond
	// messagesPerSecond bounds the messages with loads that a VM receives. With fewer messages, loads
	// get so old that all VMs send to the engines that last looked idle. The messages with cache
	// changes have the same interval between rounds, with up to maxCacheMessages in a round.
	messagesPerSecond = 200
	// maxDatagram bounds the size of a message, in bytes.
	maxDatagram = 48 << 10
	// orderCopies is the number of times that SendOrder sends an order, since datagrams get lost.
	orderCopies = 2
	// maxSkippedRounds is the number of consecutive rounds with nothing to send that a VM skips
	// before it sends an empty message: peers take a VM that sends nothing for unresponsive.
	maxSkippedRounds = 1
	// maxCacheChanges bounds the cache changes in one message, in entries of about 9 bytes, so that
	// the message fits in one packet. maxCacheMessages bounds the messages of one round.
	maxCacheChanges  = 120
	maxCacheMessages = 4
)

// Exchange sends this VM's state to its peers and receives theirs. Set the exported fields before
// Start, and then run Receive, SendLoads and SendCacheChanges once each. All other methods are safe
// for concurrent use, and callbacks may run concurrently.
type Exchange struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	Listen        string // ip:port
	// TreeFrom is the number of peers beyond which messages are aggregated over a tree of VMs
	// (tree.go). Zero: never.
	TreeFrom int
	Load     *loadview.Tracker
	// OnOrder is called for each order that a peer reports.
	OnOrder func(o Order)
	// Unresponsive returns the targets that do not answer this VM. OnUnresponsive is called with
	// all targets that do not answer a peer.
	Unresponsive   func() []ids.Target
	OnUnresponsive func(peer ids.VM, unresponsive []ids.Target)
	// RecentWeights returns the weights versions that the configuration set a short while ago.
	// OnRecentWeights is called for each one that a peer reports.
	RecentWeights   func() []RecentWeights
	OnRecentWeights func(w RecentWeights)
	// OnStoreDown is called for each KV cache store that does not answer a peer.
	OnStoreDown func(addr string)
	// Resolve returns the target whose hash has the given low 32 bits.
	Resolve func(short uint32) (ids.Target, bool)
	// CacheChanges returns the cache changes to send to peers. OnCacheChange is called for each
	// one that a peer reports.
	CacheChanges  func() []cacheview.Change
	OnCacheChange func(c cacheview.Change)
	// LeaseLapse returns the lapse to report if this VM could not renew the lease for orders, nil
	// otherwise. OnLeaseLapse is called for each lapse that a peer reports.
	LeaseLapse   func() *LeaseLapse
	OnLeaseLapse func(l LeaseLapse)
	// Crashes stores the requests that were in progress when replicas crashed. Nil: the exchange
	// sends and receives none.
	Crashes *quarantine.Ledger
	// Parts does the same for parts of prompts. Nil: as for Crashes.
	Parts *quarantine.Ledger
	// Allowances limits the use of workspaces over all VMs. Nil: the use is not limited.
	Allowances *allowance.Limiter
	// Limits returns the rate limits of targets to report to peers. OnLimit is called for each one
	// that a peer reports.
	Limits  func() []ratelimit.Report
	OnLimit func(w ratelimit.Report)
	// Credit moves credit for limits of targets between VMs. Nil: it is not moved.
	Credit *ratelimit.Limiter
	// OnCanaryReports is called with the canary counts of a VM. Nil: the exchange ignores those that
	// it receives.
	OnCanaryReports func(vm ids.VM, incarnation int64, r []canary.Report)
	// Demand counts the calls of all VMs. Nil: the exchange sends no sums of this VM's calls, and
	// ignores those of others, which it forwards over the tree.
	Demand *demand.Tracker
	// Budgets are the retry budgets, whose burst the VMs divide. Nil: the exchange sends and receives no statements of them.
	Budgets *retry.ServiceBudgets
	// Streams is the directory of where streams began. Nil: the exchange ignores messages about it.
	Streams *streams.Directory
	// PrefillRate is the assumed prefill rate of targets, in tokens/s. Zero: no round starts early.
	PrefillRate float64
	// Meter counts the bytes sent. Nil: they are not counted.
	Meter *traffic.Meter

	mu            sync.Mutex
	peers         []Peer
	useTree       bool // there are more peers than TreeFrom
	contacts      map[ids.VM]contact
	tree          tree
	conn          *net.UDPConn
	transmit      func(data []byte, p Peer) error // sends a datagram, which it must not keep; nil: transmitUDP
	incarnation   int64
	seq           atomic.Uint64
	rounds        loadRounds
	lastLoads     int // largest number of loads in the last full round and the early rounds since
	skippedRounds int // full rounds skipped since the last one that was sent
	demandRounds  demandRounds

	// Sent counts the datagrams of this VM, Forwarded those that it forwarded for others, Received
	// the messages received, Rejected the failures to read, decode, encode or send a message, and
	// Dropped the cache changes that were not sent because there were too many.
	Sent, Forwarded, Received, Rejected, Dropped atomic.Int64
	// EarlyRounds counts the early rounds of this VM, and EarlyReceived the messages of those of peers.
	EarlyRounds, EarlyReceived atomic.Int64
}

// SetPeers replaces the list of peers. all may include VMs without an address, to which this VM
// sends no loads. It must include this VM if the fleet is large enough for the tree, since the
// position of a VM in the tree depends on its own entry. SetPeers may be called while the exchange
// runs.
func (x *Exchange) SetPeers(all []Peer) {
	var sameDomain, crossDomain []Peer
	for _, p := range all {
		switch {
		case p.VM == x.VM || p.Addr == "":
		case p.FailureDomain == x.FailureDomain:
			sameDomain = append(sameDomain, p)
		default:
			crossDomain = append(crossDomain, p)
		}
	}
	peers := append(sameDomain, crossDomain...)
	x.tree.setPeers(x.VM, x.FailureDomain, all)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers, x.useTree = peers, x.TreeFrom > 0 && len(peers) > x.TreeFrom
	contacts := map[ids.VM]contact{}
	for _, p := range peers {
		contacts[p.VM] = x.contacts[p.VM]
	}
	x.contacts = contacts
}

// usesTree reports whether messages are aggregated over the tree.
func (x *Exchange) usesTree() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.useTree
}

func (x *Exchange) peerList() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peers
}

// contact records the last message from a listed peer.
type contact struct {
	lastSeen    time.Time // zero: never
	incarnation int64
}

// recordContact records a message from a listed peer and reports whether the peer's process has
// started since its last one. incarnation is zero if another VM reported the peer.
func (x *Exchange) recordContact(vm ids.VM, incarnation int64, now time.Time) (started bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, listed := x.contacts[vm]
	if !listed {
		return false
	}
	started = incarnation > c.incarnation
	c.lastSeen, c.incarnation = now, max(c.incarnation, incarnation)
	x.contacts[vm] = c
	return started
}

// SeenWithin reports whether the exchange received a message from a listed peer, or a total
// that includes it, within the last d.
func (x *Exchange) SeenWithin(vm ids.VM, d time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := x.contacts[vm].lastSeen
	return !at.IsZero() && clock.Since(at) < d
}

// Start opens the UDP socket on Listen. It must return before Receive, SendLoads or any other
// method that sends is called.
func (x *Exchange) Start() error {
	addr, err := net.ResolveUDPAddr("udp4", x.Listen)
	if err != nil {
		return eris.Wrapf(err, "resolve peer listen address %s", x.Listen)
	}
	x.conn, err = net.ListenUDP("udp4", addr)
	x.incarnation = time.Now().UnixMilli() // wall time, since peers compare it with that of an earlier start
	x.tree.wake = make(chan struct{}, 1)
	x.tree.lastNumber = uint64(x.incarnation) // numbers of events are larger than those before a restart
	return eris.Wrapf(err, "listen for peer messages on %s", x.Listen)
}

// Receive handles incoming datagrams until ctx ends, and then closes the socket.
func (x *Exchange) Receive(ctx context.Context) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { // unblocks the read below
		defer close(closed)
		_ = x.conn.Close()
	})
	defer func() {
		if stop() {
			_ = x.conn.Close()
			return
		}
		<-closed // a second Close would return before the first one has freed the address
	}()
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
		x.handle(buf[:n])
	}
}

func (x *Exchange) handle(data []byte) {
	m, err := decode(data, x.Resolve)
	if err != nil || m.VM == "" || m.VM == x.VM {
		x.Rejected.Add(1)
		return
	}
	if data[0] == actionForward {
		x.forward(data)
	}
	x.Received.Add(1)
	if x.recordContact(m.VM, m.Incarnation, clock.Now()) {
		x.Crashes.ResendAll()
		x.Parts.ResendAll()
		x.Streams.PeerStarted(m.VM)
	}
	if len(m.Grants) > 0 {
		x.receiveGrants(m.Grants)
		return
	}
	if m.Loan != nil {
		x.Budgets.ReceiveLoan(m.VM, m.Loan)
		return
	}
	if m.Streams != nil {
		x.Streams.Receive(m.VM, m.Streams)
		return
	}
	if len(m.Crashes) > 0 && x.Crashes != nil {
		x.Crashes.Receive(m.VM, m.Crashes, x.usesTree())
	}
	if len(m.Parts) > 0 && x.Parts != nil {
		x.Parts.Receive(m.VM, m.Parts, x.usesTree())
	}
	if len(m.Canaries) > 0 && x.OnCanaryReports != nil {
		x.OnCanaryReports(m.VM, m.Incarnation, m.Canaries)
		return
	}
	x.Budgets.Receive(m.VM, m.Budget)
	if m.Report != nil || m.Total != nil {
		x.handleDigest(&m, clock.Now())
		return
	}
	x.tree.peerAnnounced(m.VM)
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
	seq := max(m.Seq, m.EarlySeq)
	if seq == 0 {
		return
	}
	loads := make(map[ids.Target]loadview.TargetWork, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Target] = loadview.TargetWork{InFlight: l.InFlight, Pending: float64(l.Pending), NotResumable: l.NotResumable}
	}
	x.Load.SetPeerLoads(m.VM, m.Incarnation, seq, loads, clock.Now())
	if m.Seq == 0 {
		x.EarlyReceived.Add(1)
		return
	}
	if !x.usesTree() { // otherwise the tree's totals include them
		x.Allowances.RecordUse(m.VM, m.Incarnation, m.Seq, m.Uses)
		x.Load.SetPeerPaces(m.VM, m.Incarnation, m.Seq, m.Paces, clock.Now())
	}
	x.recordDemand(&m)
	x.OnUnresponsive(m.VM, m.Unresponsive)
	for _, w := range m.RecentWeights {
		x.OnRecentWeights(w)
	}
	if m.LeaseLapse != nil {
		x.OnLeaseLapse(*m.LeaseLapse)
	}
	for _, w := range m.Limits {
		x.OnLimit(w)
	}
	x.grant(m.VM, m.Lacking)
}

// SendLoads sends this VM's loads in rounds until ctx ends: to each peer, or over the tree in
// large fleets.
func (x *Exchange) SendLoads(ctx context.Context) {
	x.sendRound(Message{}) // announces this VM to its peers at once
	x.rounds.started(fullRound, roundState{now: clock.Now()})
	for ctx.Err() == nil {
		if x.usesTree() {
			x.runTreeRound(ctx)
			continue
		}
		x.runLoadRound(ctx)
	}
}

// SendCacheChanges sends cache changes in rounds until ctx ends. In large fleets SendLoads sends
// them over the tree instead.
func (x *Exchange) SendCacheChanges(ctx context.Context) {
	for timing.Sleep(ctx, max(minCacheInterval, x.receiveInterval())) {
		if !x.usesTree() {
			x.sendCacheRound()
		}
	}
}

// RoundInterval returns the current interval between two rounds of SendLoads.
func (x *Exchange) RoundInterval() time.Duration {
	if x.usesTree() {
		return treeRoundInterval
	}
	return max(minRoundInterval, x.receiveInterval())
}

// SettleTime returns the time in which a report of this VM reaches all VMs and their replies come back, if a round
// is lost on the way.
func (x *Exchange) SettleTime() time.Duration {
	if x.usesTree() {
		return treeSettleTime
	}
	return settleRounds * x.RoundInterval()
}

const (
	// settleRounds is the number of rounds in which a report and the replies to it have arrived: one each, one that is lost, and
	// one for the delay of the messages.
	settleRounds = 4
	// treeSettleTime is the same time over the tree: three VMs forward a report, each in its next round, and three the reply.
	treeSettleTime = 8 * treeRoundInterval
)

// receiveInterval returns the interval between two rounds at which a VM receives
// messagesPerSecond from its peers.
func (x *Exchange) receiveInterval() time.Duration {
	return time.Duration(len(x.peerList())) * time.Second / messagesPerSecond
}

// sendOwnLoads sends one round of all state that is repeated in every round: loads, unresponsive
// targets, recent weights, a lapse of the lease, crashes, uses and rate limits. It skips up to
// maxSkippedRounds consecutive rounds that have nothing to send.
func (x *Exchange) sendOwnLoads() {
	loads := x.ownLoads()
	m := Message{Loads: loads, Unresponsive: x.Unresponsive(), RecentWeights: x.RecentWeights(), LeaseLapse: x.LeaseLapse(), Parts: x.Parts.DueReports(len(x.peerList())), Crashes: x.Crashes.DueReports(len(x.peerList())), Uses: x.Allowances.OwnUse(), Limits: x.Limits(), Lacking: x.lacking(), Paces: x.Load.OwnPaces(clock.Now()), Budget: x.Budgets.Statement()}
	if len(loads) == 0 && len(m.Paces) == 0 && len(m.Uses) == 0 && x.lastLoads == 0 && len(m.Unresponsive) == 0 && len(m.RecentWeights) == 0 && m.LeaseLapse == nil && len(m.Crashes) == 0 && len(m.Parts) == 0 && len(m.Limits) == 0 && len(m.Lacking) == 0 && m.Budget == nil && x.skippedRounds < maxSkippedRounds {
		x.skippedRounds++
		return
	}
	m.Demand = x.ownDemand(clock.Now()) // also if it is empty, since peers scale up for VMs that report nothing
	x.sendRound(m)
}

// sendRound sends m with this VM's next sequence number.
func (x *Exchange) sendRound(m Message) {
	x.lastLoads, x.skippedRounds = len(m.Loads), 0
	m.VM, m.Incarnation, m.Seq = x.VM, x.incarnation, x.seq.Add(1)
	x.send(m, 0)
}

// sendCacheRound sends the pending cache changes in as many messages as needed, up to
// maxCacheMessages. It drops the remainder: a missing cache entry costs one computation at most.
func (x *Exchange) sendCacheRound() {
	changes := x.CacheChanges()
	for range maxCacheMessages {
		n := min(len(changes), maxCacheChanges)
		if n == 0 {
			return
		}
		x.send(Message{VM: x.VM, Incarnation: x.incarnation, CacheChanges: changes[:n]}, 0)
		changes = changes[n:]
	}
	x.Dropped.Add(int64(len(changes)))
}

// SendOrder sends an order to all peers: over the tree until they acknowledge it, otherwise
// orderCopies times.
func (x *Exchange) SendOrder(o Order) {
	if x.usesTree() {
		x.tree.enqueue(event{VM: shortenVM(x.VM), Orders: []Order{o}})
		return
	}
	for copy := range orderCopies {
		x.send(Message{VM: x.VM, Incarnation: x.incarnation, Order: &o}, copy)
	}
}

// SendCanaryReports sends this VM's canary counts to one VM, or passes them to OnCanaryReports if
// that VM is this one.
func (x *Exchange) SendCanaryReports(to ids.VM, r []canary.Report) {
	if to == x.VM {
		x.OnCanaryReports(x.VM, x.incarnation, r)
		return
	}
	for _, p := range x.peerList() {
		if p.VM == to {
			x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation, Canaries: r}, []Peer{p})
		}
	}
}

// SendStreams sends a message about where streams began to one VM, if it is listed.
func (x *Exchange) SendStreams(to ids.VM, m streams.Message) {
	if p, ok := x.tree.peer(to); ok && p.Addr != "" {
		x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation, Streams: &m}, []Peer{p})
	}
}

// SendLoan sends a question for a part of a retry, or the answer to one, to one VM, if it is listed.
func (x *Exchange) SendLoan(to ids.VM, l retry.Loan) {
	if p, ok := x.tree.peer(to); ok && p.Addr != "" {
		x.sendTo(Message{VM: x.VM, Incarnation: x.incarnation, Loan: &l}, []Peer{p})
	}
}

// SendStoreDown reports to all peers that the KV cache store at addr does not answer.
func (x *Exchange) SendStoreDown(addr string) {
	if x.usesTree() {
		x.tree.enqueue(event{VM: shortenVM(x.VM), StoreDown: []string{addr}})
		return
	}
	x.send(Message{VM: x.VM, Incarnation: x.incarnation, StoreDown: addr}, 0)
}
