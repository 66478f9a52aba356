package loadview

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TargetWork is the work of one or several VMs at one target.
type TargetWork struct {
	InFlight     int
	Pending      float64 // prompt tokens of requests that wait for their first token
	NotResumable int     // requests in flight that can't be resumed at another target
}

// peerLoadTTL is how long a peer's last report counts. It is longer than the interval
// between two reports in a large fleet.
const peerLoadTTL = 2500 * time.Millisecond

// peerReport is the last report of one VM.
type peerReport struct {
	incarnation int64
	seq         uint64
	at          time.Time
	loads       map[ids.Target]TargetWork
}

// SetPeerLoads replaces a peer's loads by those of a new report. It ignores a report that is
// not newer than the last, by incarnation and sequence number. The caller must not use loads
// afterwards.
func (t *Tracker) SetPeerLoads(vm ids.VM, incarnation int64, seq uint64, loads map[ids.Target]TargetWork, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[vm]
	if old != nil && (incarnation < old.incarnation || incarnation == old.incarnation && seq <= old.seq) {
		return
	}
	t.subtract(old)
	if t.peers == nil {
		t.peers = map[ids.VM]*peerReport{}
	}
	t.peers[vm] = &peerReport{incarnation: incarnation, seq: seq, at: now, loads: loads}
	for id, l := range loads {
		o := t.loadOf(id)
		o.peers.InFlight += l.InFlight
		o.peers.Pending += l.Pending
		o.peers.NotResumable += l.NotResumable
	}
}

// ExpirePeers drops the loads of peers whose last report is older than peerLoadTTL.
func (t *Tracker) ExpirePeers(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.loads != nil && now.Sub(p.at) > peerLoadTTL {
			t.subtract(p)
			p.loads = nil
		}
	}
}

// EstimateAge returns the age of the data behind the estimate for a target whose report has
// the given age: the age of the report or, if that is too old to be used, the mean age of
// the peers' last reports. The latter is zero if this VM has no peers, since it then knows
// all work itself.
func (t *Tracker) EstimateAge(report time.Duration, now time.Time) time.Duration {
	if report <= sendWindow {
		return report
	}
	return t.MeanPeerAge(now)
}

// MeanPeerAge returns the mean age of the peers' last reports, or zero if there are none.
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

// subtract removes a peer's last report from the totals. The caller holds t.mu.
func (t *Tracker) subtract(p *peerReport) {
	if p == nil {
		return
	}
	for id, l := range p.loads {
		o := t.loadOf(id)
		o.peers.InFlight -= l.InFlight
		o.peers.Pending -= l.Pending
		o.peers.NotResumable -= l.NotResumable
	}
}

// Total returns the work of this VM and, as far as they have reported, of all peers at a
// target.
func (t *Tracker) Total(id ids.Target) TargetWork {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.targets[id]
	if o == nil {
		return TargetWork{}
	}
	return TargetWork{
		InFlight: o.inFlight + o.peers.InFlight, Pending: o.pending + o.peers.Pending, NotResumable: o.notResumable + o.peers.NotResumable,
	}
}

// Own calls f for each target at which this VM has requests in flight. f must not call the
// Tracker.
func (t *Tracker) Own(f func(id ids.Target, l TargetWork)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.targets {
		if o.inFlight > 0 {
			f(id, TargetWork{InFlight: o.inFlight, Pending: o.pending, NotResumable: o.notResumable})
		}
	}
}

// Forget drops the record of a target that has been removed or has restarted. Work in
// progress keeps the record in which it was counted.
func (t *Tracker) Forget(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.targets, id)
	t.forgetPace(id)
	for _, p := range t.peers {
		delete(p.loads, id)
	}
}
