package news

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// treeFleet plays the trees of a fleet in virtual time, step by step: what is sent in one
// step arrives in the next, some of it never.
type treeFleet struct {
	t     *testing.T
	now   time.Time
	all   []Peer
	trees map[ids.VM]*tree
	due   map[ids.VM]time.Time
	loads map[ids.VM][]Load
	dead  map[ids.VM]bool
	deaf  map[ids.VM]bool            // they send and hear nothing
	cut   map[ids.FailureDomain]bool // from the other domains
	mail  []treeMail
	loss  float64
	draws *rand.Rand
	// totals are what VMs believe of the others, and heard which order they have heard.
	totals map[ids.VM]map[ids.Target]int
	heard  map[ids.VM]bool
	sent   map[ids.VM]int
}

type treeMail struct {
	from, to Peer
	d        digest
	isTotal  bool
}

const treeStep = 10 * time.Millisecond

func newTreeFleet(t *testing.T, domains, perDomain int, loss float64) *treeFleet {
	f := &treeFleet{
		t: t, now: time.Unix(1_000_000, 0), trees: map[ids.VM]*tree{}, due: map[ids.VM]time.Time{}, loads: map[ids.VM][]Load{},
		dead: map[ids.VM]bool{}, deaf: map[ids.VM]bool{}, cut: map[ids.FailureDomain]bool{}, loss: loss, draws: rand.New(rand.NewPCG(1, 2)),
		totals: map[ids.VM]map[ids.Target]int{}, heard: map[ids.VM]bool{}, sent: map[ids.VM]int{},
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
	f.due[p.VM] = f.now.Add(time.Duration(f.draws.Int64N(int64(treeRound))))
	delete(f.dead, p.VM)
}

func (f *treeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(treeStep) {
		mail := f.mail
		f.mail = nil
		for _, m := range mail {
			f.deliver(m)
		}
		for _, p := range f.all {
			tr := f.trees[p.VM]
			select {
			case <-tr.wake:
				f.due[p.VM] = minTime(f.due[p.VM], f.now.Add(treeHaste))
			default:
			}
			if f.dead[p.VM] || f.now.Before(f.due[p.VM]) {
				continue
			}
			f.due[p.VM] = f.now.Add(treeRound)
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
		own.Loads = append(own.Loads, wireLoad{Target: shorten(l.Target), InFlight: l.InFlight, Pending: l.Pending, Bound: l.NotResumable})
	}
	s := f.trees[p.VM].next(p.VM, own, f.loads[p.VM], f.now)
	for _, to := range s.to {
		f.mail = append(f.mail, treeMail{from: p, to: to, d: s.report})
	}
	f.sent[p.VM] += len(s.to)
	if s.total != nil {
		for _, to := range s.kids {
			f.mail = append(f.mail, treeMail{from: p, to: to, d: *s.total, isTotal: true})
		}
		f.sent[p.VM] += len(s.kids)
	}
	if s.applies {
		f.believe(p.VM, *s.total)
	}
	if s.hello {
		for _, to := range f.all {
			if to.FailureDomain == p.FailureDomain && to.VM != p.VM {
				f.trees[to.VM].met(p.VM)
			}
		}
	}
}

func (f *treeFleet) deliver(m treeMail) {
	across := m.from.FailureDomain != m.to.FailureDomain
	if f.dead[m.to.VM] || f.deaf[m.to.VM] || across && (f.cut[m.from.FailureDomain] || f.cut[m.to.FailureDomain]) || f.draws.Float64() < f.loss {
		return
	}
	applies := f.trees[m.to.VM].hear(m.from, m.d, m.isTotal, !across, f.now)
	if m.isTotal && !applies {
		return
	}
	for _, e := range m.d.Events {
		if len(e.Orders) > 0 {
			f.heard[m.to.VM] = true
		}
	}
	if applies {
		f.believe(m.to.VM, m.d)
	}
}

func (f *treeFleet) believe(vm ids.VM, d digest) {
	byShort := map[shortID]ids.Target{}
	for _, loads := range f.loads {
		for _, l := range loads {
			byShort[shorten(l.Target)] = l.Target
		}
	}
	var total []Load
	for _, l := range d.Loads {
		total = append(total, Load{Target: byShort[l.Target], InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.Bound})
	}
	out := map[ids.Target]int{}
	others, _ := f.trees[vm].without(vm, total, nil, d.members())
	for _, l := range others {
		out[l.Target] += l.InFlight
	}
	f.totals[vm] = out
}

// wrong returns the VMs whose belief is not the sum of the loads of the others that they
// can know of.
func (f *treeFleet) wrong() []ids.VM {
	var out []ids.VM
	for _, p := range f.all {
		if f.dead[p.VM] {
			continue
		}
		want := map[ids.Target]int{}
		for _, q := range f.all {
			apart := q.FailureDomain != p.FailureDomain && (f.cut[q.FailureDomain] || f.cut[p.FailureDomain])
			if q.VM == p.VM || f.dead[q.VM] || apart {
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
		f.t.Errorf("%s: %d VMs believe something else than the sum of the others, at most %d may", what, len(wrong), most)
	}
}

// TestTreeOf195VMs plays a fleet of 195 VMs: each knows the loads of all others, also after
// the first of a domain has died, while a domain is cut off, and after all that. What a
// VM sends stays bounded.
func TestTreeOf195VMs(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.all = f.all[:195]
	f.run(2 * time.Second)
	f.expect("at rest", 0)

	clear(f.sent)
	f.run(2 * time.Second)
	most, all := 0, 0
	for _, n := range f.sent {
		most, all = max(most, n), all+n
	}
	if perSecond := most / 2; perSecond > 300 {
		t.Errorf("a VM sends %d datagrams a second", perSecond)
	}
	if perSecond := float64(all) / 2 / 195; perSecond > 15 {
		t.Errorf("VMs send %.1f datagrams a second on average", perSecond)
	}

	root := f.trees["vm-1-7"].parent
	f.dead[root] = true
	f.run(1200 * time.Millisecond)
	f.expect("1.2 s after the root of a domain has died", 0)
	f.cut["z2"] = true
	f.run(1200 * time.Millisecond)
	f.expect("1.2 s after a domain was cut off", 0)
	f.cut["z2"] = false
	f.run(1200 * time.Millisecond)
	f.expect("1.2 s after the cut has healed", 0)
	for _, p := range f.all {
		if p.VM == root {
			f.start(p)
		}
	}
	f.run(3 * time.Second)
	f.expect("3 s after the root has started again", 0)
}

// TestTreeUnderLoss loses 3% of the datagrams: nearly all VMs know all loads, and an order
// reaches them all before the drain of an engine ends.
func TestTreeUnderLoss(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0.03)
	f.run(2 * time.Second)
	f.expect("under loss", 20)
	teller := f.all[40].VM
	f.trees[teller].tell(event{VM: shortenVM(teller), Orders: []Order{{Target: "e1"}}})
	f.run(350 * time.Millisecond)
	f.heard[teller] = true
	if n := len(f.all) - len(f.heard); n > 2 {
		t.Errorf("%d of %d VMs have not heard of an order after 350 ms", n, len(f.all))
	}
}

// TestTreeAfterAllStart starts all VMs at once but the first two of each domain: each is
// passed over in 0.6 s, and the roots that are left find each other in 0.6 s more.
func TestTreeAfterAllStart(t *testing.T) {
	f := newTreeFleet(t, 17, 22, 0)
	for i, p := range f.all {
		f.dead[p.VM] = i%22 < 2 // the first two of each domain
	}
	f.run(2500 * time.Millisecond)
	f.expect("2.5 s after the start", 0)
}

// TestTreeTakesARootBack keeps the root of a domain down for so long that its children pass
// it over for seconds more, and starts it again: it says that it is there, and all know all.
func TestTreeTakesARootBack(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	root := f.trees["vm-1-7"].parent
	f.dead[root] = true
	f.run(5 * time.Second)
	for _, p := range f.all {
		if p.VM == root {
			f.start(p)
		}
	}
	f.run(2500 * time.Millisecond)
	f.expect("2.5 s after the root has started again", 0)
}

// TestTreeCountsWhatItLeavesOut queues more changes of caches than are passed on, and an
// order behind them: the order is passed on, and what was left out is counted.
func TestTreeCountsWhatItLeavesOut(t *testing.T) {
	tr := &tree{}
	for range maxQueued/100 + 5 {
		tr.tell(event{VM: 1, Caches: []wireCache{{Target: 7, Held: make([]uint64, 99)}}})
	}
	tr.tell(event{VM: 1, Orders: []Order{{Target: "e1"}}})
	if n := tr.takeUntold(); n < 5*100 || tr.takeUntold() != 0 {
		t.Errorf("%d changes count as left out", n)
	}
	if last := tr.up[len(tr.up)-1]; len(last.Orders) != 1 || entries(tr.up) > maxQueued {
		t.Errorf("%d changes are queued, and last %+v", entries(tr.up), last)
	}
}

// TestTreeLeavesTheDeadAlone takes the root of a domain away for good: after it was passed
// over, nobody misses a word for trying it again.
func TestTreeLeavesTheDeadAlone(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	f.dead[f.trees["vm-1-7"].parent] = true
	f.run(1500 * time.Millisecond)
	for range 100 {
		f.run(200 * time.Millisecond)
		if wrong := f.wrong(); len(wrong) > 0 {
			t.Fatalf("%d VMs believe something else than the sum of the others %v after the root was lost", len(wrong), f.now.Sub(time.Unix(1_000_000, 0))-2*time.Second)
		}
	}
}

// TestTreeWithADeafRoot cuts the root of a domain off in one direction: it says that it is
// there, and hears nothing. The others find together again, and try it now and then only.
func TestTreeWithADeafRoot(t *testing.T) {
	f := newTreeFleet(t, 6, 33, 0)
	f.run(2 * time.Second)
	deaf := f.trees["vm-1-7"].parent
	f.deaf[deaf] = true
	f.loads[deaf] = nil // its domain can't know them: it reports to nobody there
	f.run(1500 * time.Millisecond)
	const looks = 100
	apart := 0
	for range looks {
		f.run(200 * time.Millisecond)
		if len(f.wrong()) > 1 { // the deaf one itself
			apart++
		}
	}
	if apart > looks*4/10 {
		t.Errorf("in %d of %d looks a domain was apart", apart, looks)
	}
}
