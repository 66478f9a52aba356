package news

import (
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
)

// In fleets of more than Exchange.TreeFrom VMs messages are aggregated over a tree, so that the
// cost per VM does not grow with the number of VMs. Without a tree, each VM sent its messages to
// every VM of its own failure domain: each of 195 VMs received 200 datagrams per second (computed
// from the round interval) and knew of no load outside its domain. Each domain also read the cache
// feeds of all others, so that a feed had more readers than slots.
//
// The VMs of a failure domain are sorted, widest links first. Each VM reports to the first one
// that responds, its parent; the VM without a parent is the root of the domain. Roots exchange
// the sums of their domains, and send the sum of all domains to their children:
//
//	VM ── report ──> root ── report ──> roots of other domains
//	VM <── total ─── root <── report ── roots of other domains
//
// A VM subtracts its own share from the total: the total lists the round of each VM that it
// includes. If a parent sends no total for parentTimeout, its children skip it for
// avoidUnannounced, or for avoidAnnounced if it announces itself in that time. A parent always
// precedes its children in the order, so parents cannot form a cycle. A VM that has children and
// is not a root adds their reports to its own and sends them the total of its parent. Domains on
// different sides of a partition have separate trees, each without the sums of the other side.
//
// State that is not repeated in every round (orders, KV cache stores that do not answer, cache
// changes) travels as events. Those that must arrive are acknowledged and repeated (outbox.go).

const (
	// treeRoundInterval is the longest interval between two rounds of the tree. treeOrderDelay is
	// the shortest one: a VM that gets an order to forward starts the next round after it.
	treeRoundInterval = 150 * time.Millisecond
	treeOrderDelay    = 40 * time.Millisecond
	// reportTTL is the time for which a report is valid: four rounds, of which three may be lost.
	reportTTL = 600 * time.Millisecond
	// parentTimeout is the time without a total after which a VM skips its parent.
	parentTimeout = 600 * time.Millisecond
	// avoidUnannounced is the time for which a VM skips a parent that has not announced itself since.
	// A parent that is back announces itself; each retry of one that is still down leaves a
	// failure domain without updates for parentTimeout.
	avoidUnannounced = 30 * time.Second
	// avoidAnnounced is the same time for a parent that has announced itself.
	avoidAnnounced = 3 * time.Second
	// rootCandidates is the number of VMs of a domain with an unknown root that get reports at the
	// same time. After rootCandidateRounds rounds the next ones get them.
	rootCandidates      = 2
	rootCandidateRounds = 4
	// announceRounds is the number of rounds between two announcements of a root to all VMs of its
	// domain, some of which may skip it: about one second.
	announceRounds = 7
	// ownRoundHistory is the number of its own rounds that a VM stores, to subtract them from
	// totals.
	ownRoundHistory = 32
	// maxDigestCacheChanges bounds the cache changes in a digest, in entries of about 9 bytes each,
	// so that a digest with all other kinds of state stays within maxDatagram.
	maxDigestCacheChanges = 900
	// maxQueuedCacheChanges bounds the cache changes that wait to be forwarded.
	maxQueuedCacheChanges = 4 * maxDigestCacheChanges
)

// tree is this VM's state in the tree. It is safe for concurrent use.
type tree struct {
	mu                    sync.Mutex
	parentCandidates      []Peer                       // VMs of the own domain that precede this one
	otherDomains          map[ids.FailureDomain][]Peer // VMs of the other domains, sorted
	peers                 map[shortVM]Peer
	children              map[ids.VM]receivedDigest // last report of each child
	roots                 map[ids.VM]receivedDigest // last report of each root of another domain
	total                 receivedDigest            // last total of the parent
	parent                ids.VM
	parentSince           time.Time // time at which this VM chose its parent
	avoided               map[ids.VM]avoidance
	round                 uint64
	fullRounds            uint64                           // rounds with messages to all neighbours
	lastRound             time.Time                        // the last of them
	own                   [ownRoundHistory][]Load          // loads by round
	ownUses               [ownRoundHistory][]allowance.Use // uses by round
	up, down              outbox                           // events for the parent or the other roots, and for the children
	received              inbox
	lastNumber            uint64                       // of this VM's last numbered event
	rootUnknownSince      map[ids.FailureDomain]uint64 // round since which the root of a domain is unknown
	unresponsiveReporters map[ids.VM]bool              // VMs whose last report listed unresponsive targets
	demandUp, demandDown  demandRounds                 // rounds whose reports and totals carry demand
	domainDemand          *lenient[demandSums]         // of this VM and its children, as in the last such report
	dropped               int64                        // cache changes dropped since the last takeDropped
	wake                  chan struct{}                // receives a value if the next round must start early
}

// setPeers replaces the list of VMs, which must include this one.
func (t *tree) setPeers(self ids.VM, domain ids.FailureDomain, all []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parentCandidates, t.otherDomains, t.peers = nil, map[ids.FailureDomain][]Peer{}, map[shortVM]Peer{}
	sorted := slices.SortedFunc(slices.Values(all), compareTreeOrder)
	first := true
	for _, p := range sorted {
		switch {
		case p.VM == self:
			first = false
			continue
		case p.FailureDomain != domain:
			t.otherDomains[p.FailureDomain] = append(t.otherDomains[p.FailureDomain], p)
		case first:
			t.parentCandidates = append(t.parentCandidates, p)
		}
		t.peers[shortenVM(p.VM)] = p
	}
	for vm := range t.children {
		if _, listed := t.peers[shortenVM(vm)]; !listed {
			delete(t.children, vm)
		}
	}
}

// enqueue queues an event of this VM for the parent and the children.
func (t *tree) enqueue(e event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.mustArrive() {
		t.lastNumber++
		e.Number = t.lastNumber
		t.firstCopy(&e, clock.Now())
	}
	t.forward(e, true)
}

// firstCopy records a copy of a numbered event and reports whether it is the first one. The caller
// holds the lock.
func (t *tree) firstCopy(e *event, now time.Time) bool {
	if t.received == nil {
		t.received = inbox{}
	}
	return t.received.add(e, now)
}

// forward queues an event for the children and, if up is set, for the parent or the other roots. If
// it must arrive, the next round starts early. The caller holds the lock.
func (t *tree) forward(e event, up bool) {
	t.up.supersede(e.Orders)
	t.down.supersede(e.Orders)
	if up {
		t.up.queue = t.appendEvent(t.up.queue, e)
	}
	if e.mustArrive() {
		t.down.queue = append(t.down.queue, e)
		t.wakeUp()
	} else if len(t.children) > 0 {
		t.down.queue = t.appendEvent(t.down.queue, e)
	}
}

// wakeUp starts the next round early.
func (t *tree) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// appendEvent appends an event to a queue. It drops the event's cache changes if the queue would
// exceed maxQueuedCacheChanges: a missing cache entry costs one computation at most. The caller holds the
// lock.
func (t *tree) appendEvent(q []event, e event) []event {
	if n := cacheEntries([]event{e}); n > 0 && cacheEntries(q)+n > maxQueuedCacheChanges {
		t.dropped += int64(n)
		e.CacheChanges = nil
	}
	return append(q, e)
}

// takeDropped returns the number of cache changes dropped since the last call.
func (t *tree) takeDropped() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.dropped
	t.dropped = 0
	return n
}

func cacheEntries(events []event) int {
	n := 0
	for _, e := range events {
		for _, c := range e.CacheChanges {
			n += 1 + len(c.Held) + len(c.Dropped)
		}
	}
	return n
}

// splitEvents returns the queued events that fit in a digest, and the remaining ones.
func splitEvents(q []event) (now, later []event) {
	n := 0
	for i := range q {
		if n += cacheEntries(q[i : i+1]); n > maxDigestCacheChanges && i > 0 {
			return q[:i], slices.Clone(q[i:])
		}
	}
	return q, nil
}

// receive stores a digest from another VM, a report or a total, and queues its events for
// forwarding. It reports whether the digest is the current total of the fleet.
func (t *tree) receive(from Peer, d digest, isTotal, sameDomain bool, now time.Time) (applies bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := receivedDigest{d, now}
	h.Events, h.EventNumbers, h.Acks = nil, nil, nil
	previous := t.total
	switch {
	case isTotal:
	case sameDomain:
		previous = t.children[from.VM]
	default:
		previous = t.roots[from.VM]
	}
	h.keepDemand(&previous)
	t.up.acknowledge(from.VM, d.Acks)
	t.down.acknowledge(from.VM, d.Acks)
	switch {
	case isTotal && from.VM != t.parent:
		return false
	case isTotal:
		t.total, applies = h, true
		delete(t.avoided, from.VM)
		t.forwardEvents(from, d.Events, false, now)
	case sameDomain:
		t.children = putDigest(t.children, from.VM, h)
		t.forwardEvents(from, d.Events, true, now)
	default:
		t.roots = putDigest(t.roots, from.VM, h)
		t.forwardEvents(from, d.Events, false, now)
	}
	return applies
}

func putDigest(m map[ids.VM]receivedDigest, vm ids.VM, h receivedDigest) map[ids.VM]receivedDigest {
	if m == nil {
		m = map[ids.VM]receivedDigest{}
	}
	m[vm] = h
	return m
}

// forwardEvents queues received events for the children and, if up is set, for the parent or the
// other roots, unless an earlier copy was queued. The caller holds the lock.
func (t *tree) forwardEvents(from Peer, events []event, up bool, now time.Time) {
	for _, e := range events {
		if e.Number == 0 {
			t.forward(e, up)
			continue
		}
		if t.firstCopy(&e, now) {
			t.forward(e, up)
		}
		t.up.hasEvent(from.VM, &e)
		t.down.hasEvent(from.VM, &e)
	}
}

// roundOutput is what a VM sends in one round.
type roundOutput struct {
	report   digest
	reportTo []Peer // receivers of the report
	total    *digest
	totalTo  []Peer // receivers of the total
	applies  bool   // this VM is a root, and total is its own view of the fleet
	full     bool   // the receivers are all neighbours
	announce bool   // this VM is a root and announces itself to its domain, where VMs may skip it
}

// nextRound starts a round with this VM's own state and returns what to send. It sends to all
// neighbours if a regular round is due or a new event must arrive. Otherwise it only repeats events,
// to the neighbours that have not acknowledged them.
func (t *tree) nextRound(self ids.VM, own digest, loads []Load, now time.Time) roundOutput {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up.interval, t.down.interval = upRepeatInterval, downRepeatInterval
	t.up.expire(now)
	t.down.expire(now)
	above, isRoot := t.peersAbove(now)
	unexpired(t.children, now) // drops the children that no longer report
	below := t.childPeers()
	var out roundOutput
	if now.Sub(t.lastRound) >= treeRoundInterval || t.up.urgent() || t.down.urgent() {
		t.lastRound = now
		out = t.fullRound(self, own, loads, above, below, isRoot, now)
	} else if above, below := t.up.repeatTo(above, now), t.down.repeatTo(below, now); len(above)+len(below) > 0 {
		out = t.newRound(self, own, loads, isRoot, now)
		out.send(above, t.up.repeats(above, now), below, t.down.repeats(below, now))
	}
	if t.up.waiting(above) || t.down.waiting(below) {
		t.wakeUp()
	}
	return out
}

// fullRound returns a round that sends to all neighbours. The caller holds the lock.
func (t *tree) fullRound(self ids.VM, own digest, loads []Load, above, below []Peer, isRoot bool, now time.Time) roundOutput {
	t.fullRounds++
	out := t.newRound(self, own, loads, isRoot, now)
	out.full = true
	t.addDemand(&out, own, isRoot, now)
	out.announce = isRoot && t.fullRounds%announceRounds == 1
	out.send(above, t.up.next(above, now), below, t.down.next(below, now))
	return out
}

// newRound counts a round and returns its report and total, without receivers and events. The caller
// holds the lock.
func (t *tree) newRound(self ids.VM, own digest, loads []Load, isRoot bool, now time.Time) roundOutput {
	t.round++
	t.own[t.round%ownRoundHistory], t.ownUses[t.round%ownRoundHistory] = loads, own.Uses
	own.addMember(member{shortenVM(self), uint16(t.round)})
	parts := append([]receivedDigest{{own, now}}, unexpired(t.children, now)...)
	out := roundOutput{report: sum(parts, now), applies: isRoot}
	if isRoot {
		total := sum(append(parts, unexpired(t.roots, now)...), now)
		out.total = &total
	} else {
		out.total = t.parentTotal(now)
	}
	out.report.Acks = t.received.acks(now)
	if out.total != nil {
		out.total.Acks = out.report.Acks
	}
	return out
}

// addDemand adds the sums of calls to a round if they are due. The caller holds the lock.
func (t *tree) addDemand(out *roundOutput, own digest, isRoot bool, now time.Time) {
	up := time.Duration(0)
	if isRoot {
		up = rootDemandOffset
	}
	if t.demandUp.due(now, up) {
		t.domainDemand = sumDemand(append([]receivedDigest{{own, now}}, unexpired(t.children, now)...), now)
		out.report.Demand = t.domainDemand
	}
	if out.total == nil || !t.demandDown.due(now, totalDemandOffset) {
		return
	}
	parts := []receivedDigest{t.total}
	if isRoot {
		// The sums of this domain are those that the other roots have received, so that all roots add
		// the same reports up and leave out the same workspaces.
		parts = append(unexpired(t.roots, now), receivedDigest{digest{Demand: t.domainDemand}, now})
	}
	out.total.Demand = sumDemand(parts, now)
}

// send sets the receivers and the events of a round.
func (o *roundOutput) send(above []Peer, up []event, below []Peer, down []event) {
	o.reportTo, o.totalTo = above, below
	o.report.setEvents(up)
	if o.total != nil {
		o.total.setEvents(down)
	}
}

// childPeers returns the children. The caller holds the lock.
func (t *tree) childPeers() []Peer {
	var out []Peer
	for vm := range t.children {
		out = append(out, t.peers[shortenVM(vm)])
	}
	return out
}

// parentTotal returns the parent's last total; nil: there is none yet. The caller holds the lock.
func (t *tree) parentTotal(now time.Time) *digest {
	if t.total.receivedAt.IsZero() {
		return nil
	}
	total := t.total.digest
	total.Demand = nil // addDemand sets it
	total.Limits = addAge(total.Limits, now.Sub(t.total.receivedAt))
	return &total
}

// unexpired returns the digests that are not older than reportTTL, and deletes the others.
func unexpired(m map[ids.VM]receivedDigest, now time.Time) []receivedDigest {
	var out []receivedDigest
	for vm, h := range m {
		if now.Sub(h.receivedAt) > reportTTL {
			delete(m, vm)
			continue
		}
		out = append(out, h)
	}
	return out
}

// subtractOwn subtracts from a total what it includes of this VM: the loads and uses of the round
// that members lists for it. It changes total in place.
func (t *tree) subtractOwn(self ids.VM, total []Load, uses []allowance.Use, members []member) ([]Load, []allowance.Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	me := shortenVM(self)
	for _, m := range members {
		behind := uint16(t.round) - m.round
		if m.vm != me || behind >= ownRoundHistory {
			continue
		}
		round := (t.round - uint64(behind)) % ownRoundHistory
		for _, l := range t.own[round] {
			subtract(total, l)
		}
		uses = allowance.Without(uses, t.ownUses[round])
	}
	return total, uses
}

func subtract(total []Load, l Load) {
	for i := range total {
		if total[i].Target == l.Target {
			total[i].InFlight = max(total[i].InFlight-l.InFlight, 0)
			total[i].Pending = max(total[i].Pending-l.Pending, 0)
			total[i].NotResumable = max(total[i].NotResumable-l.NotResumable, 0)
		}
	}
}

// peer returns the peer with the given name; false: it is not listed.
func (t *tree) peer(vm ids.VM) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[shortenVM(vm)]
	return p, ok && p.VM == vm
}

// peerByShort returns the peer whose name has the given hash; false: it is not listed.
func (t *tree) peerByShort(vm shortVM) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[vm]
	return p, ok
}

// swapUnresponsiveReporters stores the VMs that now report unresponsive targets, and returns those
// that did before.
func (t *tree) swapUnresponsiveReporters(now map[ids.VM]bool) (before map[ids.VM]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, t.unresponsiveReporters = t.unresponsiveReporters, now
	return before
}
