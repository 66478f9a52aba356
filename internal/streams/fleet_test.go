package streams

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/threadwall/threadwall/internal/ids"
)

// These tests play fleets in virtual time: streams begin at VMs and are taken up at others, while messages get lost and
// VMs are killed, restarted and cut off.

// scenario is one play.
type scenario struct {
	vms, domains int
	perSecond    int // streams that begin
	loss         float64
	pause        time.Duration // until a stream is taken up
	length       time.Duration
	// fault runs beside the streams. begun is called when a stream has begun at a VM.
	fault func(f *testFleet)
	begun func(f *testFleet, at *testVM)
	least float64 // fraction of the streams taken up whose version must be found
	// share is the fraction of the streams that are taken up; zero: all.
	share float64
	// soleUntil is the time at which a second version appears; zero: there are two from the start.
	soleUntil time.Duration
	seeds     uint64 // zero: three
}

// testFleet is a fleet in virtual time.
type testFleet struct {
	scenario
	t    *testing.T
	mu   sync.Mutex // guards the fields below
	rng  *rand.Rand
	all  []*testVM
	byID map[ids.VM]*testVM
	// side is the side of a partition on which a domain is.
	side           map[ids.FailureDomain]int
	cutAt, started time.Time
	bytes          int
}

type testVM struct {
	f      *testFleet
	name   ids.VM
	domain ids.FailureDomain
	d      *Directory
	up     bool
	downAt time.Time
	cancel context.CancelFunc
}

const (
	testLatency = 2 * time.Millisecond
	// testAliveFor is how long a VM that is gone counts as alive.
	testAliveFor = 3 * time.Second
	// headerBytes is the size of the envelope of a message and of the UDP and IP headers.
	headerBytes = 60
)

func newTestFleet(t *testing.T, s scenario, seed uint64) *testFleet {
	f := &testFleet{scenario: s, t: t, rng: rand.New(rand.NewPCG(seed, 1)), started: time.Now(), byID: map[ids.VM]*testVM{}, side: map[ids.FailureDomain]int{}}
	for i := range s.vms {
		v := &testVM{f: f, name: ids.VM(fmt.Sprint("vm", i)), domain: ids.FailureDomain(fmt.Sprint("z", i%s.domains))}
		f.all = append(f.all, v)
		f.byID[v.name] = v
		v.start()
	}
	return f
}

func (v *testVM) start() {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.up, v.cancel = true, cancel
	v.d = &Directory{VM: v.name, FailureDomain: v.domain, Peers: v.peers, Sole: v.sole, Send: v.send, Now: time.Now}
	go v.d.Run(ctx)
}

// sole returns the only version while there is one.
func (v *testVM) sole(uint64) Version {
	if time.Since(v.f.started) < v.f.soleUntil {
		return VersionOf("llm", "v2")
	}
	return 0
}

func (v *testVM) kill() {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	v.up, v.downAt = false, time.Now()
	v.cancel()
}

// restart starts a killed VM, whose peers notice it a little later.
func (v *testVM) restart() {
	v.start()
	time.AfterFunc(150*time.Millisecond, func() {
		for _, p := range v.f.reachable(v) {
			p.PeerStarted(v.name)
		}
	})
}

// reachable returns the directories of the other VMs that are up.
func (f *testFleet) reachable(v *testVM) (out []*Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		if p != v && p.up && f.connected(v, p) {
			out = append(out, p.d)
		}
	}
	return out
}

// connected reports whether no partition separates two VMs. The caller holds f.mu.
func (f *testFleet) connected(a, b *testVM) bool { return f.side[a.domain] == f.side[b.domain] }

func (v *testVM) peers() []Peer {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	out := make([]Peer, 0, len(v.f.all)-1)
	for _, p := range v.f.all {
		if p == v {
			continue
		}
		alive := p.up || time.Since(p.downAt) < testAliveFor
		if !v.f.connected(v, p) && time.Since(v.f.cutAt) >= testAliveFor {
			alive = false
		}
		out = append(out, Peer{VM: p.name, FailureDomain: p.domain, Alive: alive})
	}
	return out
}

func (v *testVM) send(to ids.VM, m Message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		v.f.t.Error(err)
		return
	}
	p, ok := v.f.transmit(v, to, len(data)+headerBytes)
	if !ok {
		return
	}
	var received Message
	if err := cbor.Unmarshal(data, &received); err != nil {
		v.f.t.Error(err)
		return
	}
	time.AfterFunc(testLatency, func() {
		if d := p.running(); d != nil {
			d.Receive(v.name, &received)
		}
	})
}

// transmit counts a message and reports whether it arrives.
func (f *testFleet) transmit(from *testVM, to ids.VM, size int) (p *testVM, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += size
	p = f.byID[to]
	return p, f.connected(from, p) && f.rng.Float64() >= f.loss
}

// running returns the directory of a VM that is up, or nil.
func (v *testVM) running() *Directory {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	if !v.up {
		return nil
	}
	return v.d
}

// chance returns true with the given probability.
func (f *testFleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

// anyUp returns a VM that is up, other than not; nil: there is none.
func (f *testFleet) anyUp(not *testVM) *testVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []*testVM
	for _, v := range f.all {
		if v.up && v != not {
			up = append(up, v)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[f.rng.IntN(len(up))]
}

// cut moves a domain to a side of a partition.
func (f *testFleet) cut(domain ids.FailureDomain, side int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutAt = time.Now()
	f.side[domain] = side
}

// result counts the streams that were taken up.
type result struct {
	takenUp, found, wrong int
	most                  int // records of one VM
	bytesPerVM            float64
}

// play begins streams and takes each up at another VM after the pause.
func (f *testFleet) play() (r result) {
	if f.fault != nil {
		go f.fault(f)
	}
	version := VersionOf("llm", "v2")
	for i := range f.perSecond * int(f.length/time.Second) {
		time.Sleep(time.Second / time.Duration(f.perSecond))
		at := f.anyUp(nil)
		if at == nil {
			continue
		}
		k := KeyOf("t1", "h", ids.Request(fmt.Sprint("q", i)))
		d := at.running()
		if d == nil {
			continue
		}
		d.Begin(k, "llm", "v2")
		if f.begun != nil {
			f.begun(f, at)
		}
		if f.share > 0 && !f.chance(f.share) {
			continue
		}
		time.AfterFunc(f.pause, func() {
			by := f.anyUp(at)
			if by == nil {
				return
			}
			d := by.running()
			if d == nil {
				return
			}
			v, found := d.Lookup(context.Background(), k, "llm")
			f.mu.Lock()
			defer f.mu.Unlock()
			r.takenUp++
			switch {
			case found == Found && v == version:
				r.found++
			case found == Found:
				r.wrong++
			}
		})
	}
	time.Sleep(f.pause + lookupTimeout + time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.all {
		r.most = max(r.most, v.d.Len())
	}
	r.bytesPerVM = float64(f.bytes) / float64(f.vms) / f.length.Seconds()
	return r
}

// maxFleetBytes bounds what a VM of the largest fleet may spend on records, in bytes/s: a third of what
// its control traffic may take.
const maxFleetBytes = 1000

// TestRecordsOutliveTheirVM checks that a VM finds where a stream began that another VM has begun.
func TestRecordsOutliveTheirVM(t *testing.T) {
	killed := func(f *testFleet, at *testVM) {
		time.AfterFunc(10*time.Millisecond, func() {
			if at.running() != nil && f.chance(0.01) {
				at.kill()
				time.AfterFunc(time.Second, at.restart)
			}
		})
	}
	restarts := func(f *testFleet) {
		for range 30 {
			time.Sleep(700 * time.Millisecond)
			v := f.anyUp(nil)
			if v == nil {
				continue
			}
			v.kill()
			time.Sleep(300 * time.Millisecond)
			v.restart()
		}
	}
	domainKilled := func(f *testFleet) {
		time.Sleep(3 * time.Second)
		for _, v := range f.all {
			if v.domain == "z0" && v.running() != nil {
				v.kill()
			}
		}
	}
	cut := func(f *testFleet) {
		time.Sleep(3 * time.Second)
		f.cut("z0", 1)
		time.Sleep(3 * time.Second)
		f.cut("z0", 0)
	}
	for name, s := range map[string]scenario{
		"6 VMs in 4 domains":                    {vms: 6, domains: 4, perSecond: 60, least: 1},
		"a tenth of the messages lost":          {vms: 6, domains: 4, perSecond: 60, loss: 0.1, least: 0.99},
		"a third of the messages lost":          {vms: 6, domains: 4, perSecond: 60, loss: 0.33, least: 0.9},
		"taken up 20 s later":                   {vms: 6, domains: 4, perSecond: 60, pause: 20 * time.Second, least: 1},
		"VMs are killed soon after a begin":     {vms: 6, domains: 4, perSecond: 60, pause: time.Second, begun: killed, least: 0.9},
		"VMs restart in turn, taken up in 20 s": {vms: 6, domains: 4, perSecond: 60, pause: 20 * time.Second, fault: restarts, least: 0.9},
		"a domain is killed":                    {vms: 8, domains: 4, perSecond: 60, pause: 2 * time.Second, fault: domainKilled, least: 0.9},
		"a domain is cut off for 3 s":           {vms: 8, domains: 4, perSecond: 60, pause: 5 * time.Second, fault: cut, least: 0.9},
		"one domain only":                       {vms: 3, domains: 1, perSecond: 60, pause: time.Second, begun: killed, least: 0.9},
		"one version, then two":                 {vms: 6, domains: 4, perSecond: 60, pause: 2 * time.Second, soleUntil: 5 * time.Second, least: 1},
		"one version":                           {vms: 30, domains: 4, perSecond: 60, soleUntil: time.Hour, least: 1},
		"380 VMs, 3,800 streams a second":       {vms: 380, domains: 17, perSecond: 3800, length: time.Second, share: 0.02, seeds: 1, least: 1},
		"986 VMs, 800 streams a second":         {vms: 986, domains: 17, perSecond: 800, length: 2 * time.Second, loss: 0.03, share: 0.02, seeds: 1, least: 0.99},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if s.length == 0 {
				s.length = 10 * time.Second
			}
			for seed := range cmp.Or(s.seeds, 3) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, s, seed)
					r := f.play()
					t.Logf("seed %d: %d of %d found, at most %d records in one VM, %.0f bytes/s of each VM", seed, r.found, r.takenUp, r.most, r.bytesPerVM)
					if r.wrong > 0 {
						t.Errorf("seed %d: %d streams were given a wrong version", seed, r.wrong)
					}
					if s.vms > 900 && r.bytesPerVM > maxFleetBytes {
						t.Errorf("seed %d: each VM sends %.0f bytes/s, allowed are %d", seed, r.bytesPerVM, maxFleetBytes)
					}
					if float64(r.found) < s.least*float64(r.takenUp) {
						t.Errorf("seed %d: the version of %d of %d streams was found", seed, r.found, r.takenUp)
					}
					for _, v := range f.all {
						v.cancel()
					}
				})
			}
		})
	}
}
