package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// This file simulates fleets in virtual time in which a part of prompts crashes each replica that begins an answer on
// it, while requests of which no two are alike share their other parts.

// partScenario is what happens to a fleet.
type partScenario struct {
	vms, domains int
	tree         bool
	lost         float64 // fraction of the messages
	replicas     int
	perSecond    int // sound calls
	badParts     int // number of parts that crash replicas
	badEvery     time.Duration
	badFrom      time.Duration
	crashAfter   [2]int        // minimum and maximum of the time until the crash, in ms
	endsEvery    time.Duration // pause between replicas that end by themselves; zero: none
	restartEvery time.Duration // a VM restarts, one after the other; zero: none
	newDocuments bool          // sound calls come with parts that nobody has asked before, a new one each half second
	seconds      int
}

// partCall is one call and its run.
type partCall struct {
	request Request
	bad     bool
	vm      int
	sent    time.Time
	goesOn  time.Time // second event; zero: past
	done    time.Time
	left    int // sends of the VM that are left
	repeats int // of the caller that are left
}

type partReplica struct {
	name        Replica
	runs        []*partCall
	availableAt time.Time
}

// partVM is one VM's two ledgers.
type partVM struct {
	parts, requests *Ledger
	started         time.Time
}

type partMessage struct {
	to             int
	from           ids.VM
	at             time.Time
	parts, reports []Report
}

type partSim struct {
	partScenario
	rng        *rand.Rand
	start, now time.Time
	all        []*partVM
	fleet      []*partReplica
	names      uint64
	messages   []partMessage
	found      []func() bool // crashes that VMs will detect; each returns true once it is done
	ends       []time.Time   // of replicas under bad parts
	arrivals   []time.Time   // of bad calls at replicas
	sound      int
	refused    int // sound calls
	reported   int // cases in messages
}

func runPartSim(s partScenario, seed uint64) *partSim {
	f := &partSim{partScenario: s, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0)}
	f.now = f.start
	for range s.vms {
		f.all = append(f.all, f.newVM())
		f.all[len(f.all)-1].started = f.start.Add(-time.Hour)
	}
	for range s.replicas {
		f.names++
		f.fleet = append(f.fleet, &partReplica{name: Replica(f.names)})
	}
	for f.now.Sub(f.start) < time.Duration(s.seconds)*time.Second {
		f.step()
		f.now = f.now.Add(tick)
	}
	return f
}

// settle is the settle time of the simulated exchange: rounds of reportRound, three hops in a tree.
func (f *partSim) settle() time.Duration {
	if f.tree {
		return 8 * reportRound
	}
	return 4 * reportRound
}

func (f *partSim) newVM() *partVM {
	now := func() time.Time { return f.now }
	v := &partVM{parts: NewPartLedger(nil, now), requests: NewLedger(nil, now), started: f.now}
	v.parts.Settle, v.requests.Settle, v.requests.ExplainedElsewhere = f.settle, f.settle, v.parts.Explains
	return v
}

func (f *partSim) every(d time.Duration) bool {
	return d > 0 && f.now.Sub(f.start)%d < tick && f.now != f.start
}

func (f *partSim) step() {
	f.deliver()
	f.finish()
	if f.now.Sub(f.start) >= f.badFrom && f.badParts > 0 && f.every(f.badEvery) {
		f.call(&partCall{request: f.prompt(fmt.Sprint("bad", f.rng.IntN(f.badParts))), bad: true, repeats: 1})
	}
	for range f.perSecond {
		if f.rng.Float64() < tick.Seconds() {
			f.sound++
			f.call(&partCall{request: f.prompt(), repeats: 1})
		}
	}
	if f.every(f.endsEvery) {
		f.end(f.fleet[f.rng.IntN(len(f.fleet))])
	}
	if f.every(reportRound) {
		f.sendReports()
	}
	if f.every(f.restartEvery) {
		f.restart(int(f.now.Sub(f.start)/f.restartEvery) % f.vms)
	}
}

// prompt returns a request with the parts that all share, the given ones and a document.
func (f *partSim) prompt(parts ...string) Request {
	f.names++
	document := fmt.Sprint("doc", f.rng.IntN(20))
	if f.newDocuments {
		document = fmt.Sprint("new", f.now.Sub(f.start)/(500*time.Millisecond))
	}
	return Request{Workspace: "w", Model: "m", Body: [][]byte{[]byte(fmt.Sprint(f.names))}, Parts: append(append([]string{"system"}, parts...), document)}
}

func (f *partSim) restart(vm int) {
	f.all[vm] = f.newVM()
	for o, v := range f.all {
		if o != vm {
			v.parts.ResendAll()
			v.requests.ResendAll()
		}
	}
}

// guardOf returns the call as the guard of its VM sees it.
func (f *partSim) guardOf(c *partCall) *Call {
	v := f.all[c.vm]
	g := &Guard{Detector: &Detector{Ledger: v.requests, Parts: v.parts}, Rank: func(name ids.Target) int { return (c.vm + int(name[0])) % f.vms }}
	call := g.Call("", c.request)
	return &call
}

func (f *partSim) call(c *partCall) {
	c.vm, c.left = f.rng.IntN(f.vms), attempts
	f.send(c, true)
}

func (f *partSim) send(c *partCall, first bool) {
	if f.guardOf(c).RefusalAtSend(first) != nil {
		if !c.bad {
			f.refused++
		}
		return
	}
	var live []*partReplica
	for _, r := range f.fleet {
		if !f.now.Before(r.availableAt) {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return
	}
	r := live[f.rng.IntN(len(live))]
	c.left--
	c.sent, c.goesOn, c.done = f.now, f.now.Add(60*time.Millisecond), f.now.Add(time.Duration(100+f.rng.IntN(900))*time.Millisecond)
	if c.bad {
		c.goesOn = time.Time{}
		c.done = f.now.Add(time.Duration(f.crashAfter[0]+f.rng.IntN(f.crashAfter[1]-f.crashAfter[0]+1)) * time.Millisecond)
		if f.now.Sub(f.all[c.vm].started) >= catchUpTime {
			f.arrivals = append(f.arrivals, f.now)
		}
	}
	r.runs = append(r.runs, c)
}

// finish answers the runs that are done, and ends the replicas that begin an answer on a bad part.
func (f *partSim) finish() {
	for _, r := range f.fleet {
		var kept []*partCall
		crash := false
		for _, c := range r.runs {
			switch {
			case c.done.After(f.now):
				if !c.goesOn.IsZero() && !c.goesOn.After(f.now) {
					c.goesOn = time.Time{}
					f.guardOf(c).GoesOn()
				}
				kept = append(kept, c)
			case c.bad:
				crash = true
				kept = append(kept, c)
			default:
				f.guardOf(c).Answered(200)
			}
		}
		r.runs = kept
		if crash {
			f.ends = append(f.ends, f.now)
			f.end(r)
		}
	}
}

// end ends a replica. Its runs are sent again as VMs and callers do, and their VMs detect the crash after checkTime.
func (f *partSim) end(r *partReplica) {
	if f.now.Before(r.availableAt) {
		return
	}
	runs, at := r.runs, f.now.Add(checkTime)
	byVM := map[int][]run{}
	for _, c := range runs {
		byVM[c.vm] = append(byVM[c.vm], run{
			Send: Send{Target: ids.Target(fmt.Sprint(r.name)), Sent: c.sent, Broke: f.now}, request: c.request.Fingerprint(), parts: c.request.PartFingerprints(),
		})
	}
	for vm, broken := range byVM {
		v := f.all[vm]
		f.found = append(f.found, func() bool {
			if at.After(f.now) {
				return false
			}
			d := Detector{Ledger: v.requests, Parts: v.parts}
			d.recordCrash(broken)
			return true
		})
	}
	f.names++
	r.name, r.runs, r.availableAt = Replica(f.names), nil, f.now.Add(1500*time.Millisecond)
	for _, c := range runs {
		again := *c
		switch {
		case c.left > 0 && !f.guardOf(c).Suspected():
			f.send(&again, false)
		case c.repeats > 0:
			again.repeats--
			f.call(&again)
		}
	}
}

func (f *partSim) deliver() {
	f.found = slices.DeleteFunc(f.found, func(detect func() bool) bool { return detect() })
	f.messages = slices.DeleteFunc(f.messages, func(m partMessage) bool {
		if m.at.After(f.now) {
			return false
		}
		f.all[m.to].parts.Receive(m.from, m.parts, f.tree)
		f.all[m.to].requests.Receive(m.from, m.reports, f.tree)
		return true
	})
}

func (f *partSim) sendReports() {
	topology := fleetSim{fleetScenario: fleetScenario{vms: f.vms, domains: f.domains, tree: f.tree}}
	for vm, v := range f.all {
		peers := topology.peersOf(vm)
		parts, reports := v.parts.DueReports(len(peers)), v.requests.DueReports(len(peers))
		if len(parts)+len(reports) == 0 {
			continue
		}
		f.reported += len(parts) * len(peers)
		for _, o := range peers {
			if f.rng.Float64() >= f.lost {
				f.messages = append(f.messages, partMessage{o, ids.VM(fmt.Sprint(vm)), f.now.Add(reportDelay), parts, reports})
			}
		}
	}
}

// late returns how many bad calls reached replicas later than catchUpTime after the fifth crash.
func (f *partSim) late() (n int) {
	if len(f.ends) < 5 {
		return 0
	}
	for _, at := range f.arrivals {
		if at.After(f.ends[4].Add(catchUpTime)) {
			n++
		}
	}
	return n
}

// TestPartFleets checks that a part that crashes replicas is kept from them in time, and that no sound call is refused,
// with lost messages, restarts of VMs and replicas that end by themselves.
func TestPartFleets(t *testing.T) {
	base := partScenario{
		vms: 6, domains: 3, replicas: 9, perSecond: 40, badParts: 1, badEvery: 250 * time.Millisecond, badFrom: 2 * time.Second, crashAfter: [2]int{20, 100}, seconds: 26,
	}
	for name, change := range map[string]func(s *partScenario){
		"one VM":                               func(s *partScenario) { s.vms, s.domains = 1, 1 },
		"six VMs":                              func(*partScenario) {},
		"from the first moment":                func(s *partScenario) { s.badFrom = 0 },
		"two bad parts":                        func(s *partScenario) { s.badParts = 2 },
		"fourteen a second":                    func(s *partScenario) { s.badEvery = 70 * time.Millisecond },
		"a third of the messages lost":         func(s *partScenario) { s.lost = 0.33 },
		"VMs restart in turn":                  func(s *partScenario) { s.restartEvery = 700 * time.Millisecond },
		"replicas end by themselves too":       func(s *partScenario) { s.endsEvery = 400 * time.Millisecond },
		"replicas end, with new documents":     func(s *partScenario) { s.endsEvery, s.newDocuments = 400*time.Millisecond, true },
		"nothing bad, replicas end":            func(s *partScenario) { s.badParts, s.endsEvery, s.newDocuments = 0, 150*time.Millisecond, true },
		"tree of 30":                           func(s *partScenario) { s.vms, s.tree = 30, true },
		"tree of 195 that see a call a second": func(s *partScenario) { s.vms, s.domains, s.tree, s.perSecond, s.replicas = 195, 6, true, 195, 40 },
		"tree of 195, a tenth of messages lost": func(s *partScenario) {
			s.vms, s.domains, s.tree, s.perSecond, s.replicas, s.lost = 195, 6, true, 195, 40, 0.1
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := base
			change(&s)
			seeds := uint64(6)
			if s.vms > 100 {
				seeds = 2
			}
			for seed := range seeds {
				f := runPartSim(s, seed)
				t.Logf("seed %d: %d replicas ended under bad parts, %d of %d arrivals late, %d of %d sound calls refused, %.1f cases/s of each VM",
					seed, len(f.ends), f.late(), len(f.arrivals), f.refused, f.sound, float64(f.reported)/float64(f.vms)/float64(f.seconds))
				if f.refused > 0 {
					t.Errorf("seed %d: %d of %d sound calls were refused", seed, f.refused, f.sound)
				}
				if f.late() > 3 {
					t.Errorf("seed %d: %d bad calls reached replicas late", seed, f.late())
				}
				if s.badParts > 0 && len(f.ends) == 0 {
					t.Errorf("seed %d: no replica ended", seed)
				}
			}
		})
	}
}
