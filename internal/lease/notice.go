package lease

import (
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Notice states that a holder no longer acts under one state of the lease's record, which
// Instance, Era, Fence and Renewal identify.
type Notice struct {
	Instance string
	Era      objectapi.Era // of the record
	Fence    uint64
	Renewal  uint64
	IdleFor  time.Duration // time since the holder's last action ended
}

// Lapsed returns the state of the record under which this VM held the lease, without
// IdleFor, if the lease has expired and no other VM is known to hold it. This VM no longer
// acts under that state: to act again it must renew the lease, which changes the record.
func (l *Lease) Lapsed() (Notice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Instance == "" || l.until.IsZero() || l.now().Before(l.until) {
		return Notice{}, false
	}
	return Notice{Instance: l.held.Instance, Era: l.held.Era, Fence: l.held.Fence, Renewal: l.held.Renewal}, true
}

// ReceiveNotice records a peer's notice and reports whether it is new. It returns false
// if the tuning disables notices.
func (l *Lease) ReceiveNotice(n Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tuning.HandoverDelay <= 0 {
		return false
	}
	old := l.notice
	old.IdleFor = n.IdleFor
	isNew := old != n
	// The transit time makes the actual idle time longer than IdleFor, never shorter.
	l.notice, l.idleAt = n, l.now().Add(-n.IdleFor)
	return isNew
}

// noticeApplies reports whether the notice is about the record as last seen, and the record was written
// in the store's era: one that a new era has restored may have been replaced before. The caller holds
// the lock.
func (l *Lease) noticeApplies() bool {
	n, r := &l.notice, &l.seenRec
	return l.tuning.HandoverDelay > 0 && n.Instance != "" && n.Instance == r.Instance && n.Fence == r.Fence && n.Renewal == r.Renewal &&
		n.Era == r.Era && r.Era == l.seen.Era()
}
