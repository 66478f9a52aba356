package news

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// In fleets of more than Exchange.TreeFrom VMs news go over a tree, so that what a VM sends and takes
// in does not grow with the number of VMs: told one by one to the VMs of the own failure
// domain, each of 195 VMs took in 200 datagrams a second (worked out from the pause), heard of no load beyond its
// domain, and read the cache feeds of all others with more readers than there were places.
//
// The VMs of a failure domain agree on an order of themselves, the widest links first. Each
// reports to the first of them that answers, its parent; that one is the root of the domain.
// Roots exchange the sums of their domains, and tell their children the sum of all:
//
//	VM ── report ──> root ── report ──> roots of other domains
//	VM <── total ─── root <── report ── roots of other domains
//
// A VM takes its own part out of the total: the total names the round of each VM that is in
// it. A parent that sends no total for parentWait is passed over until it says that it is
// there; as parents always come before their children in the order, no ring of parents can
// arise. A VM that has children and is no root passes on between the two.
// Domains that are cut off from each other have a tree each, and miss each other's sums.
//
// What is told once (orders, changes of caches) goes along as events of the VM that told it;
// what must not be missed goes twice.

const (
	// treeRound is the longest pause between two rounds of the tree, and treeHaste the
	// shortest: orders are passed on after that.
	treeRound = 150 * time.Millisecond
	treeHaste = 40 * time.Millisecond
	// reportFor is for how long a report counts: four rounds, of which three may be lost.
	reportFor = 600 * time.Millisecond
	// parentWait is after how long without a total a parent is passed over.
	parentWait = 600 * time.Millisecond
	// avoidFor is for how long a parent is passed over that does not speak. It says so when it
	// is back; each try of one that is gone costs a failure domain its news for parentWait.
	avoidFor = 30 * time.Second
	// avoidLeast is the same for one that says so.
	avoidLeast = 3 * time.Second
	// rootsTried is how many VMs of a domain whose root is not known are sent reports at a
	// time; after triedRounds the next ones.
	rootsTried  = 2
	triedRounds = 4
	// helloRounds is how often a root says that it is there to all VMs of its domain, some of
	// which may pass it over, in rounds: once a second.
	helloRounds = 7
	// ownRounds is how many of its own rounds a VM remembers, to take them out of totals.
	ownRounds = 32
	// maxEvents bounds the changes of caches that a digest carries, in entries of about 9
	// bytes; with those of other kinds a datagram stays within maxDatagram.
	maxEvents = 900
	// maxQueued bounds the changes that wait to be passed on.
	maxQueued = 4 * maxEvents
)

// tree is this VM's part of the tree. Safe for concurrent use.
type tree struct {
	mu       sync.Mutex
	before   []Peer                       // VMs of the own domain that come before this one
	far      map[ids.FailureDomain][]Peer // those of the others, in their order
	peers    map[shortVM]Peer
	children map[ids.VM]heardDigest
	roots    map[ids.VM]heardDigest
	total    heardDigest // as the parent told it
	parent   ids.VM
	since    time.Time // this VM reports to the parent since then
	avoid    map[ids.VM]avoided
	round    uint64
	own      [ownRounds][]Load            // by round
	ownUses  [ownRounds][]allowance.Use   // by round
	up, down []event                      // to be passed on
	again    []event                      // told in the last round, to be told once more
	lost     map[ids.FailureDomain]uint64 // domains whose root is not known, and since which round
	silent   map[ids.VM]bool              // VMs that told of silent targets
	untold   int64                        // changes of caches that were left out, since takeUntold
	wake     chan struct{}
}

// avoided is a parent that sent no total. The zero value is none.
type avoided struct {
	since  time.Time
	speaks bool // it said since that it is there
}

func (a avoided) passedOver(now time.Time) bool {
	if a.speaks {
		return now.Sub(a.since) < avoidLeast
	}
	return now.Sub(a.since) < avoidFor
}

// byOrder sorts the VMs of a failure domain: the widest links first, since a parent sends
// the total to all its children.
func byOrder(a, b Peer) int {
	if a.LinkMbps != b.LinkMbps {
		return cmp.Compare(b.LinkMbps, a.LinkMbps)
	}
	return cmp.Compare(routing.VMWeight(treeKey, b.VM), routing.VMWeight(treeKey, a.VM))
}

// treeKey names the tree for rendezvous.
const treeKey ids.Target = "news tree"

// setPeers takes in all VMs, this one included.
func (t *tree) setPeers(self ids.VM, domain ids.FailureDomain, all []Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.before, t.far, t.peers = nil, map[ids.FailureDomain][]Peer{}, map[shortVM]Peer{}
	sorted := slices.SortedFunc(slices.Values(all), byOrder)
	first := true
	for _, p := range sorted {
		switch {
		case p.VM == self:
			first = false
			continue
		case p.FailureDomain != domain:
			t.far[p.FailureDomain] = append(t.far[p.FailureDomain], p)
		case first:
			t.before = append(t.before, p)
		}
		t.peers[shortenVM(p.VM)] = p
	}
	for vm := range t.children {
		if _, listed := t.peers[shortenVM(vm)]; !listed {
			delete(t.children, vm)
		}
	}
}

// tell queues an event of this VM, or of a child, for the parent and the children.
func (t *tree) tell(e event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up = t.queue(t.up, e)
	t.down = t.queue(t.down, e)
	if len(e.Orders) > 0 {
		t.again = append(t.again, e)
	}
	t.hurry(e)
}

// hurry ends the pause between two rounds for an order. The lock is held.
func (t *tree) hurry(e event) {
	if len(e.Orders) == 0 {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default: // it is awake
	}
}

// queue adds an event; changes of caches that are too many are left out: a belief that is
// missing costs a computation at most.
// The lock is held.
func (t *tree) queue(q []event, e event) []event {
	if n := entries([]event{e}); n > 0 && entries(q)+n > maxQueued {
		t.untold += int64(n)
		e.Caches = nil
	}
	return append(q, e)
}

// takeUntold returns how many changes of caches were left out since the last call.
func (t *tree) takeUntold() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.untold
	t.untold = 0
	return n
}

func entries(events []event) int {
	n := 0
	for _, e := range events {
		for _, c := range e.Caches {
			n += 1 + len(c.Held) + len(c.Dropped)
		}
	}
	return n
}

// takeEvents returns as many queued events as fit in a digest, and the rest.
func takeEvents(q []event) (now, later []event) {
	n := 0
	for i := range q {
		if n += entries(q[i : i+1]); n > maxEvents && i > 0 {
			return q[:i], slices.Clone(q[i:])
		}
	}
	return q, nil
}

// hear takes in a digest of a VM: a report, or a total of its parent's. It returns whether
// it is to be taken for what the fleet says, and where its events go.
func (t *tree) hear(from Peer, d digest, isTotal, sameDomain bool, now time.Time) (applies bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := heardDigest{d, now}
	h.Events = nil
	switch {
	case isTotal && from.VM != t.parent:
		return false
	case isTotal:
		t.total, applies = h, true
		delete(t.avoid, from.VM)
		t.pass(d.Events, false)
	case sameDomain:
		t.children = put(t.children, from.VM, h)
		t.pass(d.Events, true)
	default:
		t.roots = put(t.roots, from.VM, h)
		t.pass(d.Events, false)
	}
	return applies
}

func put(m map[ids.VM]heardDigest, vm ids.VM, h heardDigest) map[ids.VM]heardDigest {
	if m == nil {
		m = map[ids.VM]heardDigest{}
	}
	m[vm] = h
	return m
}

// pass queues events that were heard: those of children go on to the parent or the other
// roots, and all go to the children. The lock is held.
func (t *tree) pass(events []event, up bool) {
	for _, e := range events {
		if up {
			t.up = t.queue(t.up, e)
		}
		if len(t.children) > 0 {
			t.down = t.queue(t.down, e)
		}
		t.hurry(e)
	}
}

// chooseParent returns the VM to which this one reports; false: it is a root. The lock is
// held.
func (t *tree) chooseParent(now time.Time) (Peer, bool) {
	if t.parent != "" && now.Sub(maxTime(t.since, t.total.at)) > parentWait {
		if t.avoid == nil {
			t.avoid = map[ids.VM]avoided{}
		}
		t.avoid[t.parent] = avoided{since: now}
	}
	for _, p := range t.before {
		if t.avoid[p.VM].passedOver(now) {
			continue
		}
		if t.parent != p.VM {
			t.parent, t.since, t.total = p.VM, now, heardDigest{}
		}
		return p, true
	}
	t.parent = ""
	return Peer{}, false
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// met notes that a VM says that it is there: it is tried again as a parent, once it has
// been passed over for avoidLeast. One that can be heard and hears nothing says so, too.
func (t *tree) met(vm ids.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.avoid[vm]; ok {
		a.speaks = true
		t.avoid[vm] = a
	}
}

// sending is what one round sends.
type sending struct {
	report  digest
	to      []Peer // of the report
	total   *digest
	kids    []Peer // to whom the total goes
	applies bool   // this VM is a root: the total is what it believes
	hello   bool   // this VM is a root: VMs that pass it over are to know that it is there
}

// next makes a round of this VM's own words.
func (t *tree) next(self ids.VM, own digest, loads []Load, now time.Time) sending {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.round++
	t.own[t.round%ownRounds], t.ownUses[t.round%ownRounds] = loads, own.Uses
	own.addMember(member{shortenVM(self), uint16(t.round)})
	parts := append([]heardDigest{{own, now}}, fresh(t.children, now)...)
	up, down := t.dueEvents()
	out := sending{report: sum(parts, now), kids: t.kids()}
	out.report.Events = up
	if parent, ok := t.chooseParent(now); ok {
		out.to = []Peer{parent}
		out.total = t.passedOn(down, now)
		return out
	}
	out.to, out.applies = t.otherRoots(now), true
	out.hello = t.round%helloRounds == 1
	total := sum(append(parts, fresh(t.roots, now)...), now)
	total.Events = down
	out.total = &total
	return out
}

// dueEvents returns the events that this round tells, and queues those that are told twice
// for the next one. The lock is held.
func (t *tree) dueEvents() (up, down []event) {
	up, moreUp := takeEvents(t.up)
	down, moreDown := takeEvents(t.down)
	t.up, t.down = append(moreUp, t.again...), append(moreDown, t.again...)
	t.again = nil
	return up, down
}

// kids returns the children. The lock is held.
func (t *tree) kids() []Peer {
	var out []Peer
	for vm := range t.children {
		out = append(out, t.peers[shortenVM(vm)])
	}
	return out
}

// passedOn returns the parent's total with other events; nil: the parent has told none yet.
// The lock is held.
func (t *tree) passedOn(events []event, now time.Time) *digest {
	if t.total.at.IsZero() {
		return nil
	}
	total := t.total.digest
	total.Events = events
	total.Limits = aged(total.Limits, now.Sub(t.total.at))
	return &total
}

// fresh returns the digests that still count, and forgets the others.
func fresh(m map[ids.VM]heardDigest, now time.Time) []heardDigest {
	var out []heardDigest
	for vm, h := range m {
		if now.Sub(h.at) > reportFor {
			delete(m, vm)
			continue
		}
		out = append(out, h)
	}
	return out
}

// otherRoots returns the roots of the other domains, and for each domain without a known
// one some VMs that may be it. The lock is held.
func (t *tree) otherRoots(now time.Time) []Peer {
	var out []Peer
	if t.lost == nil {
		t.lost = map[ids.FailureDomain]uint64{}
	}
	for domain, peers := range t.far {
		known := false
		for _, p := range peers {
			if _, ok := t.roots[p.VM]; ok {
				out, known = append(out, p), true
			}
		}
		if known {
			delete(t.lost, domain)
			continue
		}
		if t.lost[domain] == 0 {
			t.lost[domain] = t.round
		}
		for i := range min(rootsTried, len(peers)) {
			at := int((t.round-t.lost[domain])/triedRounds)*rootsTried + i
			out = append(out, peers[at%len(peers)])
		}
	}
	return out
}

// without takes this VM's own part out of a total.
func (t *tree) without(self ids.VM, total []Load, uses []allowance.Use, members []member) ([]Load, []allowance.Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	me := shortenVM(self)
	for _, m := range members {
		behind := uint16(t.round) - m.round
		if m.vm != me || behind >= ownRounds {
			continue
		}
		round := (t.round - uint64(behind)) % ownRounds
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

// peer returns the VM of a name; false: it is not listed.
func (t *tree) peer(vm ids.VM) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[shortenVM(vm)]
	return p, ok && p.VM == vm
}

// peerOf returns the VM of a short name; false: it is not listed.
func (t *tree) peerOf(vm shortVM) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[vm]
	return p, ok
}

// swapSilent notes which VMs tell of silent targets now, and returns which did before.
func (t *tree) swapSilent(now map[ids.VM]bool) (before map[ids.VM]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, t.silent = t.silent, now
	return before
}
