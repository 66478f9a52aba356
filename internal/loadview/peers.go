package loadview

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// PeerLoad is one or several VMs' work at one target.
type PeerLoad struct {
	InFlight int
	Pending  float64 // prompt tokens without a first token yet
	NotResumable    int     // of those in flight, requests that can't go on at another target
}

// peerMemory is how long a peer's last word counts. It is longer than the pause
// between two rounds of news in a large fleet.
const peerMemory = 2500 * time.Millisecond

// peer is the last word of one VM.
type peer struct {
	life  int64
	seq   uint64
	at    time.Time
	loads map[ids.Target]PeerLoad
}

// SetPeerLoads takes in all of a peer's loads. One that is older than the last is left out.
func (t *Tracker) SetPeerLoads(vm ids.VM, life int64, seq uint64, loads map[ids.Target]PeerLoad, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[vm]
	if old != nil && (life < old.life || life == old.life && seq <= old.seq) {
		return
	}
	t.subtract(old)
	if t.peers == nil {
		t.peers = map[ids.VM]*peer{}
	}
	t.peers[vm] = &peer{life: life, seq: seq, at: now, loads: loads}
	for id, l := range loads {
		o := t.of(id)
		o.peers.InFlight += l.InFlight
		o.peers.Pending += l.Pending
		o.peers.NotResumable += l.NotResumable
	}
}

// ExpirePeers forgets the loads of peers that have not been heard for long.
func (t *Tracker) ExpirePeers(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.loads != nil && now.Sub(p.at) > peerMemory {
			t.subtract(p)
			p.loads = nil
		}
	}
}

// EstimateAge returns how old what an estimate goes by is, for a target whose report has the
// given age: that of the report, or, where it is too old to be used, the mean age of the
// peers' last words. It is zero where this VM has no peers, and knows by itself.
func (t *Tracker) EstimateAge(report time.Duration, now time.Time) time.Duration {
	if report <= memory {
		return report
	}
	return t.MeanPeerAge(now)
}

// MeanPeerAge returns the mean age of the peers' last words; zero: this VM has no peers.
func (t *Tracker) MeanPeerAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, n := time.Duration(0), time.Duration(0)
	for _, p := range t.peers {
		if p.loads != nil {
			sum += now.Sub(p.at)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// subtract takes a peer's last word back. The lock is held.
func (t *Tracker) subtract(p *peer) {
	if p == nil {
		return
	}
	for id, l := range p.loads {
		o := t.of(id)
		o.peers.InFlight -= l.InFlight
		o.peers.Pending -= l.Pending
		o.peers.NotResumable -= l.NotResumable
	}
}

// Total returns the work of this VM and, as far as they tell, of all peers at a target.
func (t *Tracker) Total(id ids.Target) PeerLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.own[id]
	if o == nil {
		return PeerLoad{}
	}
	return PeerLoad{
		InFlight: o.inFlight + o.peers.InFlight, Pending: o.pending + o.peers.Pending, NotResumable: o.bound + o.peers.NotResumable,
	}
}

// Own calls f for each target at which this VM has work.
func (t *Tracker) Own(f func(id ids.Target, l PeerLoad)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.own {
		if o.inFlight > 0 {
			f(id, PeerLoad{InFlight: o.inFlight, Pending: o.pending, NotResumable: o.bound})
		}
	}
}

// Forget drops the record of a target that is gone or has started again. Work under way
// keeps the record that it was counted in.
func (t *Tracker) Forget(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.own, id)
	for _, p := range t.peers {
		delete(p.loads, id)
	}
}
