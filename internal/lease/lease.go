// Package lease lets one VM at a time act for its failure domain, by an object of
// the platform's object API with a fencing number.
//
// # Protocol
//
// The record names a holder, a fencing number and a duration. Nobody's wall clock
// is compared with anybody else's:
//
//   - The holder counts the duration from before it sent the write that acquired
//     or renewed the lease, on its own clock, which counts suspensions, and stops Margin early.
//   - Another VM takes over only after it has seen the record unchanged for the
//     duration plus WaitOut on its own clock, by a write conditional on that
//     record, with the next fencing number.
//
// # Notices
//
// A holder that can no longer renew, since the store is out of its reach, may still reach
// its peers. It tells them that it has stopped under one exact state of the record, and
// when its last action ended (notice.go). Whoever finds the record in that state takes over
// as soon as Turn has passed since, in place of the whole wait. If the holder has renewed
// meanwhile the record differs and the notice is void; if both write, the condition of the
// write lets one of them through.
//
// # What remains possible
//
// A holder that is paused between looking at the lease and acting acts late.
// WaitOut bounds the harm: it must be at least the longest action, so an action
// begun in time ends before a successor begins. An action begun late, after a
// pause longer than Margin, is refused by targets that check fencing numbers. At
// targets that ignore them it can still happen; so actions must state what is
// wanted and not a step, and the successor reads back what it finds.
//
// spec/lease.pml models this; its comments name the functions here.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Prefix is where leases live in the object API.
const Prefix = "leases/"

// Record is a lease as stored.
type Record struct {
	Holder   ids.VM        `json:"holder"`
	Instance string        `json:"instance"` // one life of the holder
	Fence    uint64        `json:"fence"`    // grows with every new holder
	Renewal  uint64        `json:"renewal"`
	Duration time.Duration `json:"duration_ns"`
	// Released tells that the holder has stopped before the lease's end.
	Released bool `json:"released,omitempty"`
}

// Tuning holds a lease's times.
type Tuning struct {
	// Duration is how long a lease lasts without renewal. Default 10s.
	Duration time.Duration
	// Margin is how long before its end the holder stops. Default 2s.
	Margin time.Duration
	// WaitOut is how long after its end a successor waits. It must be at least the
	// longest action. Default 10s.
	WaitOut time.Duration
	// HandoverDelay is the least time between the end of a holder's last action and a successor's
	// first one, where a notice tells of the former. Zero: notices are not heeded.
	HandoverDelay time.Duration
	// ReclaimOwn lets a VM take over at once from its own former life, where a
	// VM's name never has two lives at a time.
	ReclaimOwn bool
}

// DefaultTuning suits orders of up to ten seconds.
var DefaultTuning = Tuning{Duration: 10 * time.Second, Margin: 2 * time.Second, WaitOut: 10 * time.Second}

// Lease is one VM's side of a lease. Safe for concurrent use.
type Lease struct {
	store    objectapi.Store
	key      string
	vm       ids.VM
	instance string
	tuning   Tuning
	now      func() time.Time

	mu       sync.Mutex
	held     Record
	version  objectapi.Revision
	sure     bool      // the store's record is held, at version
	until    time.Time // zero: not held
	released bool      // for good: this VM stops
	seen     objectapi.Revision
	seenAt   time.Time // when the record was first seen at this version
	seenRec  Record
	duration time.Duration
	notice   Notice
	quietAt  time.Time // when the last action of the notice's holder had ended
}

// New returns a lease that is not held. now is nil for that of package clock.
func New(store objectapi.Store, name string, vm ids.VM, t Tuning, now func() time.Time) *Lease {
	if now == nil {
		now = clock.Now
	}
	return &Lease{store: store, key: Prefix + name, vm: vm, instance: uuid.NewString(), tuning: t, now: now}
}

// Token is the right to act until a moment.
type Token struct {
	Fence uint64
	Until time.Time // by the clock of the VM that holds it
}

// Held returns the token if the lease is held now.
func (l *Lease) Held() (Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.IsZero() || !l.now().Before(l.until) {
		return Token{}, false
	}
	return Token{Fence: l.held.Fence, Until: l.until}, true
}

// Try acquires or renews the lease, or watches it. A duty calls it a few times in
// each duration. An error is one of the store; the lease then runs out by itself.
func (l *Lease) Try(ctx context.Context) error {
	if l.isReleased() {
		return nil
	}
	began := l.now()
	if rec, version, ok := l.renewable(); ok {
		if err := l.write(ctx, began, rec, version); err != nil || l.isSure() {
			return err
		}
	}
	obj, err := l.store.Get(ctx, l.key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return l.write(ctx, began, Record{Fence: 1}, 0)
	}
	if err != nil {
		return eris.Wrap(err, "read lease")
	}
	var rec Record
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return eris.Wrap(err, "read lease")
	}
	if rec.Instance == l.instance {
		return l.write(ctx, began, Record{Fence: rec.Fence, Renewal: rec.Renewal + 1}, obj.Version)
	}
	l.lose()
	if rec.Released {
		rec.Duration = l.tuning.Margin // the holder may have acted until it released
	}
	if former := l.tuning.ReclaimOwn && rec.Holder == l.vm; !former && !l.watch(obj.Version, rec, began) {
		return nil
	}
	return l.write(ctx, began, Record{Fence: rec.Fence + 1}, obj.Version)
}

// renewable returns the next renewal of a lease that is held and whose record is known: a
// look at it first would double the calls of renewing. After a write that failed, the
// record is read.
func (l *Lease) renewable() (Record, objectapi.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sure || !l.now().Before(l.until) {
		return Record{}, 0, false
	}
	return Record{Fence: l.held.Fence, Renewal: l.held.Renewal + 1}, l.version, true
}

// setSure notes whether the record is the one that this VM knows.
func (l *Lease) setSure(sure bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sure = sure
}

func (l *Lease) isSure() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sure
}

// lose forgets a lease that another holds.
func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.held, l.sure = time.Time{}, Record{}, false
}

// watch remembers since when the record stands unchanged, and tells whether it had run
// out and been waited out when the look began. What a look shows for the first time may
// be as young as its answer.
func (l *Lease) watch(v objectapi.Revision, rec Record, began time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != v {
		l.seen, l.seenAt, l.seenRec, l.duration = v, l.now(), rec, rec.Duration
		return l.noticed() && began.Sub(l.quietAt) > l.tuning.HandoverDelay
	}
	return began.Sub(l.seenAt) > l.duration+l.tuning.WaitOut || l.noticed() && began.Sub(l.quietAt) > l.tuning.HandoverDelay
}

// Takeover returns how long it takes until this VM may take the lease over, if its holder
// does not renew it; false if it knows of no record of another VM.
func (l *Lease) Takeover() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released || !l.until.IsZero() || l.seenAt.IsZero() {
		return 0, false
	}
	due := l.seenAt.Add(l.duration + l.tuning.WaitOut)
	if early := l.quietAt.Add(l.tuning.HandoverDelay); l.noticed() && early.Before(due) {
		due = early
	}
	return max(due.Sub(l.now()), 0), true
}

// write stores a record of ours. Its time is counted from began, before the read
// that it builds on: whenever the write took effect, it was later.
func (l *Lease) write(ctx context.Context, began time.Time, rec Record, version objectapi.Revision) error {
	rec.Holder, rec.Instance, rec.Duration = l.vm, l.instance, l.tuning.Duration
	value, err := json.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	mine := func(stored []byte) bool {
		var s Record
		return json.Unmarshal(stored, &s) == nil && s.Instance == rec.Instance && s.Fence == rec.Fence && s.Renewal == rec.Renewal
	}
	var obj objectapi.Object
	if version == 0 {
		obj, err = objectapi.ResolveCreate(ctx, l.store, l.key, value, mine)
	} else {
		obj, err = objectapi.ResolveUpdate(ctx, l.store, l.key, value, version, mine)
	}
	l.setSure(err == nil)
	if errors.Is(err, objectapi.ErrExists) || errors.Is(err, objectapi.ErrConflict) {
		return nil // somebody was faster
	}
	if err != nil {
		return eris.Wrap(err, "write lease")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.version = rec, obj.Version
	if l.released {
		return nil // it was given up while this write was under way; it runs out
	}
	l.until = began.Add(l.tuning.Duration - l.tuning.Margin)
	return nil
}

func (l *Lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Release gives the lease up for good, so that a successor has to wait for Margin and
// WaitOut only. This VM never acquires it again.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	rec, version, held := l.held, l.version, !l.until.IsZero()
	l.until, l.released = time.Time{}, true
	l.mu.Unlock()
	if !held {
		return nil
	}
	rec.Released = true
	value, err := json.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	_, err = l.store.Update(ctx, l.key, value, version)
	return eris.Wrap(err, "release lease")
}
