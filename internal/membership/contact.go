package membership

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// MarkSeen records that this VM received something from the target.
func (t *Table) MarkSeen(id ids.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.seenAt = now
	}
}

// SetReachable records whether a long-lived call of this VM to the target, such as the one
// that reads its cache feed, is answered.
func (t *Table) SetReachable(id ids.Target, alive bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	if m == nil {
		return
	}
	m.unreachable = !alive
	if alive {
		m.seenAt = now
	}
}

// SeenSince reports whether an incarnation of the target is the latest one and this VM has received an event, a
// response or its feed since a time.
func (t *Table) SeenSince(id ids.Target, inc ids.Incarnation, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	return m != nil && m.record.Incarnation == inc && m.seenAt.After(since)
}

// ForgetFailures drops this VM's own evidence against a target: failed requests, timeouts and long-lived calls that
// were not answered. They were due to this VM's link to the target.
func (t *Table) ForgetFailures(id ids.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.fails, m.lastFail, m.failRate, m.unreachable = 0, time.Time{}, failRate{}, false
	}
}

// SuspectUntil records that, until the given time, it is not known whether the target
// answers: the VMs that would know have sent no message. A time in the past ends this.
func (t *Table) SuspectUntil(id ids.Target, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.suspectUntil = until
	}
}

// suspected reports whether SuspectUntil applies and this VM had no recent contact of its own.
func (m *target) suspected(now time.Time) bool {
	return now.Before(m.suspectUntil) && now.Sub(m.seenAt) >= ownContactPrecedence
}

// SetLostByPeer records that the given targets are all those to which a peer's long-lived calls
// fail. It replaces what was recorded for that peer.
func (t *Table) SetLostByPeer(peer ids.VM, lost []ids.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.targets {
		delete(m.lostBy, peer)
	}
	for _, id := range lost {
		m := t.targets[id]
		if m == nil {
			continue
		}
		if m.lostBy == nil {
			m.lostBy = map[ids.VM]time.Time{}
		}
		m.lostBy[peer] = now
	}
}

const (
	// peerReportTTL is how long a peer's report of a lost target counts; the peer repeats the
	// report while the target stays lost.
	peerReportTTL = 2 * time.Second
	// minPeersLost is how many peers must report the loss: a single one may be partitioned itself.
	minPeersLost = 2
	// ownContactPrecedence is for how long this VM's own contact with a target overrides what
	// peers report.
	ownContactPrecedence = time.Second
)

// lostByPeers reports whether enough peers have lost the target and this VM had no recent
// contact of its own.
func (m *target) lostByPeers(now time.Time) bool {
	if len(m.lostBy) < minPeersLost || now.Sub(m.seenAt) < ownContactPrecedence {
		return false
	}
	peers := 0
	for _, at := range m.lostBy {
		if now.Sub(at) < peerReportTTL {
			peers++
		}
	}
	return peers >= minPeersLost
}

// Unresponsive reports whether the target answers nothing, as far as this VM and its peers
// know. A target that is full, slow, or carries out an order does answer.
func (t *Table) Unresponsive(id ids.Target, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.targets[id]
	return m != nil && m.unresponsive(t.tuning, now)
}

// TimedOut records that a request of this VM, sent at the given time, got nothing from
// the target for too long. This raises the target's failure rate, and with it its cost. If this VM
// has seen the target since it sent the request, the target is slow or does not answer some
// requests, and the timeout does not count toward the breaker: under load all targets are slow,
// and taking some out makes the others slower still.
func (t *Table) TimedOut(id ids.Target, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	if m == nil {
		return
	}
	m.failRate.add(1)
	m.failRate.at = now
	if m.seenAt.After(sent) {
		return
	}
	m.fails++
	m.lastFail = now
}
