package membership

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// MarkSeen records a sign of life from the target.
func (t *Table) MarkSeen(id ids.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.heardAt = now
	}
}

// SetReachable records whether a standing call of this VM to the target, such as the one
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
		m.heardAt = now
	}
}

// SuspectUntil records that until then nobody can say whether the target answers: those who
// would know have fallen silent. A moment in the past ends the doubt.
func (t *Table) SuspectUntil(id ids.Target, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.targets[id]; m != nil {
		m.doubtUntil = until
	}
}

// doubted tells whether the target is in doubt, and this VM knows no better.
func (m *target) doubted(now time.Time) bool {
	return now.Before(m.doubtUntil) && now.Sub(m.heardAt) >= ownWord
}

// SetLostByPeer records all targets to which a peer's standing calls fail; those to the others
// don't.
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
	// peerWord is how long a peer's word that it lost a target counts; it repeats it
	// while that lasts.
	peerWord = 2 * time.Second
	// peersToBelieve is how many peers must say so: one may be cut off itself.
	peersToBelieve = 2
	// ownWord is for how long a sign of life that this VM had itself goes before what
	// peers say.
	ownWord = time.Second
)

// lostByPeers tells whether peers say that the target is silent, and this VM knows no
// better.
func (m *target) lostByPeers(now time.Time) bool {
	if len(m.lostBy) < peersToBelieve || now.Sub(m.heardAt) < ownWord {
		return false
	}
	peers := 0
	for _, at := range m.lostBy {
		if now.Sub(at) < peerWord {
			peers++
		}
	}
	return peers >= peersToBelieve
}

// Unresponsive tells whether the target answers nothing, as far as this VM and its peers
// know. One that is full, slow, or carries out an order does answer.
func (t *Table) Unresponsive(id ids.Target, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := t.targets[id]
	return m != nil && m.silent(t.tuning, now)
}

// TimedOut records that a request of this VM, sent at the given time, got nothing from
// the target for too long. A target that gave signs of life since is slow, or hangs
// some requests: that makes it dearer, and nothing worse, since under load all
// targets are slow, and fewer of them make the others slower still.
func (t *Table) TimedOut(id ids.Target, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.targets[id]
	if m == nil {
		return
	}
	m.failRate.add(1)
	m.failRate.at = now
	if m.heardAt.After(sent) {
		return
	}
	m.fails++
	m.lastFail = now
}
