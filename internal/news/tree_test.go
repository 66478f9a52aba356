package news

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// treeFleet simulates the trees of a fleet in virtual time, in steps: datagrams that are sent in one
// step arrive in the next one, unless they are lost.
type treeFleet struct {
	t               *testing.T
	now             time.Time
	all             []Peer
	trees           map[ids.VM]*tree
	due             map[ids.VM]time.Time
	loads           map[ids.VM][]Load
	stopped         map[ids.VM]bool
	receivesNothing map[ids.VM]bool            // VMs that send but receive nothing
	partitioned     map[ids.FailureDomain]bool // from all other domains
	inTransit       []treeDatagram
	loss            float64
	rng             *rand.Rand
	// totals is each VM's view of the loads of the others, and orderReceived the VMs that have
	// received an order.
	totals        map[ids.VM]map[ids.Target]int
	orderReceived map[ids.VM]bool
	sent          map[ids.VM]int
}

type treeDatagram struct {
	from, to Peer
	d        digest
	isTotal  bool
}

const treeStep = 10 * time.Millisecond

func newTreeFleet(t *testing.T, domains, perDomain int, loss float64) *treeFleet {
	f := &treeFleet{
		t: t, now: time.Unix(1_000_000, 0), trees: map[ids.VM]*tree{}, due: map[ids.VM]time.Time{}, loads: map[ids.VM][]Load{},
		stopped: map[ids.VM]bool{}, receivesNothing: map[ids.VM]bool{}, partitioned: map[ids.FailureDomain]bool{}, loss: loss, rng: rand.New(rand.NewPCG(1, 2)),
		totals: map[ids.VM]map[ids.Target]int{}, orderReceived: map[ids.VM]bool{}, sent: map[ids.VM]int{},
	}
	for d := range domains {
		for i := range perDomain {
			link := 20
			if i < 3 {
				link = 200
			}
			f.all = append(f.all, Peer{VM: ids.VM(fmt.Sprintf("vm-%d-%d", d, i)), FailureDomain: ids.FailureDomain(fmt.Sprint("z", d)), LinkMbps: link})
		}
	}
	for i, p := range f.all {
		f.start(p)
		f.loads[p.VM] = []Load{{Target: ids.Target(fmt.Sprint("e", i%117)), InFlight: 1 + i%3, Pending: 10 * i}}
	}
	return f
}

func (f *treeFleet) start(p Peer) {
	tr := &tree{wake: make(chan struct{}, 1)}
	tr.setPeers(p.VM, p.FailureDomain, f.all)
	f.trees[p.VM] = tr
	f.due[p.VM] = f.now.Add(time.Duration(f.rng.Int64N(int64(treeRoundInterval))))
	delete(f.stopped, p.VM)
}

func (f *treeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(treeStep) {
		arrived := f.inTransit
		f.inTransit = nil
		for _, m := range arrived {
			f.deliver(m)
		}
		for _, p := range f.all {
			tr := f.trees[p.VM]
			select {
			case <-tr.wake:
				f.due[p.VM] = minTime(f.due[p.VM], f.now.Add(treeOrderDelay))
			default:
			}
			if f.stopped[p.VM] || f.now.Before(f.due[p.VM]) {
				continue
			}
			f.due[p.VM] = f.now.Add(treeRoundInterval)
			f.round(p)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (f *treeFleet) round(p Peer) {
	var own digest
	for _, l := range f.loads[p.VM] {
		own.Loads = append(own.Loads, wireLoad{Target: shorten(l.Target), InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.NotResumable})
	}
	s := f.trees[p.VM].nextRound(p.VM, own, f.loads[p.VM], f.now)
	for _, to := range s.reportTo {
		f.inTransit = append(f.inTransit, treeDatagram{from: p, to: to, d: s.report})
	}
	f.sent[p.VM] += len(s.reportTo)
	if s.total != nil {
		for _, to := range s.totalTo {
			f.inTransit = append(f.inTransit, treeDatagram{from: p, to: to, d: *s.total, isTotal: true})
		}
		f.sent[p.VM] += len(s.totalTo)
	}
	if s.applies {
		f.applyTotal(p.VM, *s.total)
	}
	if s.announce {
		for _, to := range f.all {
			if to.FailureDomain == p.FailureDomain && to.VM != p.VM {
				f.trees[to.VM].peerAnnounced(p.VM)
			}
		}
	}
}

func (f *treeFleet) deliver(m treeDatagram) {
	across := m.from.FailureDomain != m.to.FailureDomain
	if f.stopped[m.to.VM] || f.receivesNothing[m.to.VM] || across && (f.partitioned[m.from.FailureDomain] || f.partitioned[m.to.FailureDomain]) || f.rng.Float64() < f.loss {
		return
	}
	applies := f.trees[m.to.VM].receive(m.from, m.d, m.isTotal, !across, f.now)
	if m.isTotal && !applies {
		return
	}
	for _, e := range m.d.Events {
		if len(e.Orders) > 0 {
			f.orderReceived[m.to.VM] = true
		}
	}
	if applies {
		f.applyTotal(m.to.VM, m.d)
	}
}

func (f *treeFleet) applyTotal(vm ids.VM, d digest) {
	byShort := map[shortID]ids.Target{}
	for _, loads := range f.loads {
		for _, l := range loads {
			byShort[shorten(l.Target)] = l.Target
		}
	}
	var total []Load
	for _, l := range d.Loads {
		total = append(total, Load{Target: byShort[l.Target], InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.NotResumable})
	}
	out := map[ids.Target]int{}
	others, _ := f.trees[vm].subtractOwn(vm, total, nil, d.members())
	for _, l := range others {
		out[l.Target] += l.InFlight
	}
	f.totals[vm] = out
}

// wrong returns the VMs whose view is not the sum of the loads of the other VMs that they can
// reach.
func (f *treeFleet) wrong() []ids.VM {
	var out []ids.VM
	for _, p := range f.all {
		if f.stopped[p.VM] {
			continue
		}
		want := map[ids.Target]int{}
		for _, q := range f.all {
			apart := q.FailureDomain != p.FailureDomain && (f.partitioned[q.FailureDomain] || f.partitioned[p.FailureDomain])
			if q.VM == p.VM || f.stopped[q.VM] || apart {
				continue
			}
			for _, l := range f.loads[q.VM] {
				want[l.Target] += l.InFlight
			}
		}
		for i := range 117 {
			if id := ids.Target(fmt.Sprint("e", i)); f.totals[p.VM][id] != want[id] {
				out = append(out, p.VM)
				break
			}
		}
	}
	return out
}

func (f *treeFleet) expect(what string, most int) {
	f.t.Helper()
	if wrong := f.wrong(); len(wrong) > most {
		f.t.Errorf("%s: %d VMs have a view that is not the sum of the others, want at most %d", what, len(wrong), most)
	}
}

// TestTreeOf195VMs checks in a fleet of 195 VMs that each has the loads of all others: without
// faults, after a root has failed, while a domain is partitioned, and after both have recovered.
// The number of datagrams that a VM sends must stay bounded.
func TestTreeOf195VMs(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.all = f.all[:195]
	f.run(2 * time.Second)
	f.expect("without faults", 0)

	clear(f.sent)
	f.run(2 * time.Second)
	most, all := 0, 0
	for _, n := range f.sent {
		most, all = max(most, n), all+n
	}
	if perSecond := most / 2; perSecond > 300 {
		t.Errorf("a VM sends %d datagrams per second, want at most 300", perSecond)
	}
	if perSecond := float64(all) / 2 / 195; perSecond > 15 {
		t.Errorf("VMs send %.1f datagrams per second on average, want at most 15", perSecond)
	}

	root := f.trees["vm-1-7"].parent
	f.stopped[root] = true
	f.run(1200 * time.Millisecond)
	f.expect("1.2 s after the root of a domain has failed", 0)
	f.partitioned["z2"] = true
	f.run(1200 * time.Millisecond)
	f.expect("1.2 s after a domain was partitioned", 0)
	f.partitioned["z2"] = false
	f.run(1200 * time.Millisecond)
	f.expect("1.2 s after the partition has healed", 0)
	for _, p := range f.all {
		if p.VM == root {
			f.start(p)
		}
	}
	f.run(3 * time.Second)
	f.expect("3 s after the root has restarted", 0)
}

// TestTreeUnderLoss loses 3% of the datagrams. Nearly all VMs must have all loads, and an order must
// reach nearly all VMs within 350 ms, before the drain of an engine ends.
func TestTreeUnderLoss(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0.03)
	f.run(2 * time.Second)
	f.expect("under loss", 20)
	sender := f.all[40].VM
	f.trees[sender].enqueue(event{VM: shortenVM(sender), Orders: []Order{{Target: "e1"}}})
	f.run(350 * time.Millisecond)
	f.orderReceived[sender] = true
	if n := len(f.all) - len(f.orderReceived); n > 2 {
		t.Errorf("%d of %d VMs have not received an order after 350 ms, want at most 2", n, len(f.all))
	}
}

// TestTreeAfterAllStart starts all VMs at the same time, except the first two of each domain. The
// others skip each of the two after 0.6 s, and the new roots find each other within 0.6 s more.
func TestTreeAfterAllStart(t *testing.T) {
	f := newTreeFleet(t, 17, 22, 0)
	for i, p := range f.all {
		f.stopped[p.VM] = i%22 < 2 // the first two of each domain
	}
	f.run(2500 * time.Millisecond)
	f.expect("2.5 s after the start", 0)
}

// TestTreeRootReturns stops the root of a domain for so long that its children would skip it for
// seconds more, and restarts it. The root announces itself, and all VMs have all loads again.
func TestTreeRootReturns(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	root := f.trees["vm-1-7"].parent
	f.stopped[root] = true
	f.run(5 * time.Second)
	for _, p := range f.all {
		if p.VM == root {
			f.start(p)
		}
	}
	f.run(2500 * time.Millisecond)
	f.expect("2.5 s after the root has restarted", 0)
}

// TestTreeCountsDroppedChanges queues more cache changes than the queue holds, and an order after
// them: the order must stay queued, and the dropped changes must be counted.
func TestTreeCountsDroppedChanges(t *testing.T) {
	tr := &tree{}
	for range maxQueuedCacheChanges/100 + 5 {
		tr.enqueue(event{VM: 1, CacheChanges: []wireCache{{Target: 7, Held: make([]uint64, 99)}}})
	}
	tr.enqueue(event{VM: 1, Orders: []Order{{Target: "e1"}}})
	if n := tr.takeDropped(); n < 5*100 || tr.takeDropped() != 0 {
		t.Errorf("%d changes count as dropped, want at least 500, and none in a second call", n)
	}
	if last := tr.up.queue[len(tr.up.queue)-1]; len(last.Orders) != 1 || cacheEntries(tr.up.queue) > maxQueuedCacheChanges {
		t.Errorf("%d changes are queued, want at most maxQueuedCacheChanges, and the last event is %+v, want the order", cacheEntries(tr.up.queue), last)
	}
}

// TestTreeDoesNotRetryFailedRoot stops the root of a domain for good. Once the VMs skip it, none may
// lose loads because it tries the root again.
func TestTreeDoesNotRetryFailedRoot(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	f.stopped[f.trees["vm-1-7"].parent] = true
	f.run(1500 * time.Millisecond)
	for range 100 {
		f.run(200 * time.Millisecond)
		if wrong := f.wrong(); len(wrong) > 0 {
			t.Fatalf("%d VMs have a view that is not the sum of the others %v after the root has failed", len(wrong), f.now.Sub(time.Unix(1_000_000, 0))-2*time.Second)
		}
	}
}

// TestTreeRootThatReceivesNothing partitions a root in one direction: it announces itself, but
// receives nothing. The other VMs must choose another root, and retry this one so rarely that their
// loads are wrong in at most 40% of the checks.
func TestTreeRootThatReceivesNothing(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	root := f.trees["vm-1-7"].parent
	f.receivesNothing[root] = true
	f.loads[root] = nil // the root reports to no VM of its domain, so its domain cannot have its loads
	f.run(1500 * time.Millisecond)
	const checks = 100
	incomplete := 0
	for range checks {
		f.run(200 * time.Millisecond)
		if len(f.wrong()) > 1 { // the root itself
			incomplete++
		}
	}
	if incomplete > checks*4/10 {
		t.Errorf("in %d of %d checks a VM other than the root had wrong loads, want at most 40%%", incomplete, checks)
	}
}
