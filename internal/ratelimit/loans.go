package ratelimit

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// The senders of a target have equal shares of its limit, but callers may come to one VM only. A VM that refused a call for
// want of credit says so to its peers, and those that have not used theirs grant it. Credit only moves, and with it the
// room in the buckets: what all senders may send at once stays the sum of their full buckets, also if a grant is lost.

const (
	// lackingFor is how long after a call was refused for want of credit a VM asks for more.
	lackingFor = 500 * time.Millisecond
	// ownUseFor is how long after a VM has sent to a target it keeps credit for its own calls.
	ownUseFor = 300 * time.Millisecond
	// lentFor is how long the room of granted credit is missing in the bucket of the VM that granted it, and borrowedFor how
	// long it extends that of the one that received it. The difference exceeds the time of a message.
	lentFor     = 300 * time.Millisecond
	borrowedFor = 200 * time.Millisecond
	// grantTime is the time of whose share, beyond one request, a VM grants the credit at once, so that grants come
	// as evenly as calls do. VMs ask again about as often.
	grantTime = 150 * time.Millisecond
)

// loan is room in a bucket that was moved between two VMs: positive at the one that received it.
type loan struct {
	requests float64
	until    time.Time
}

// Grant is credit for a target that one VM passes on to another.
type Grant struct {
	_        struct{} `cbor:",toarray"`
	Target   uint32   // the low 32 bits of the target's hash
	Requests int
}

// Lacked records that a call was refused since the target's limit allows this VM no request.
func (l *Limiter) Lacked(id ids.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.targets[id]; e != nil {
		e.lackedAt = l.now()
	}
}

// Lacking returns the targets for which this VM asks its peers for credit: those whose limits it has a share of.
func (l *Limiter) Lacking() []ids.Target {
	if l.announced.Load() == 0 {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []ids.Target
	for id, e := range l.targets {
		if e.limit.Announced && e.share > 0 && now.Sub(e.lackedAt) < lackingFor {
			out = append(out, id)
		}
	}
	return out
}

// Give takes the credit for a target that this VM does not need, in requests, to grant it to a peer.
func (l *Limiter) Give(id ids.Target) int {
	if l.announced.Load() == 0 {
		return 0
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[id]
	if e == nil || !e.limit.Announced || now.Sub(e.lackedAt) < lackingFor {
		return 0
	}
	l.advance(id, e, now)
	spare := e.credit
	if now.Sub(e.tookAt) < ownUseFor {
		spare -= 1 + e.share*ownUseFor.Seconds()
	}
	n := max(int(min(spare, 1+e.share*grantTime.Seconds())), 0)
	if n > 0 {
		e.credit -= float64(n)
		e.loans = append(e.loans, loan{-float64(n), now.Add(lentFor)})
	}
	return n
}

// Receive adds credit that a peer has granted. What exceeds this VM's bucket is lost.
func (l *Limiter) Receive(id ids.Target, n int) {
	if n <= 0 || l.announced.Load() == 0 {
		return
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.targets[id]
	if e == nil || !e.limit.Announced || e.share == 0 {
		return
	}
	l.advance(id, e, now)
	e.loans = append(e.loans, loan{float64(n), now.Add(borrowedFor)})
	e.credit = min(e.credit+float64(n), e.bucket(now))
}

// bucket returns the most credit that this VM accumulates.
func (e *targetLimit) bucket(now time.Time) float64 {
	size := 1 + e.share*creditTime.Seconds()
	e.loans = slices.DeleteFunc(e.loans, func(l loan) bool { return !now.Before(l.until) })
	for _, l := range e.loans {
		size += l.requests
	}
	return size
}
