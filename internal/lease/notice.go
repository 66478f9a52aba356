package lease

import "time"

// Notice says that a holder no longer acts under one state of the lease's record.
type Notice struct {
	Instance string // that holds it, by the record
	Fence    uint64
	Renewal  uint64
	IdleFor  time.Duration // since its last action ended
}

// Lapsed returns the state of the record under which this VM held the lease, if its time
// has run out and nobody else is known to hold it. This VM acts no more under that state:
// to act again it has to renew, which changes it.
func (l *Lease) Lapsed() (Notice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Instance == "" || l.until.IsZero() || l.now().Before(l.until) {
		return Notice{}, false
	}
	return Notice{Instance: l.held.Instance, Fence: l.held.Fence, Renewal: l.held.Renewal}, true
}

// ReceiveNotice takes in a peer's notice, and tells whether it is a new one.
func (l *Lease) ReceiveNotice(n Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tuning.HandoverDelay <= 0 {
		return false
	}
	old := l.notice
	old.IdleFor = n.IdleFor
	isNew := old != n
	// What it took to get here makes the quiet longer than it says, never shorter.
	l.notice, l.quietAt = n, l.now().Add(-n.IdleFor)
	return isNew
}

// noticed tells whether the notice is about the record as it was last seen. The lock is
// held.
func (l *Lease) noticed() bool {
	n, r := &l.notice, &l.seenRec
	return l.tuning.HandoverDelay > 0 && n.Instance != "" && n.Instance == r.Instance && n.Fence == r.Fence && n.Renewal == r.Renewal
}
