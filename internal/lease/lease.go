// Package lease elects one VM at a time to act for its failure domain, by a record with
// a fencing token in the platform's object API.
//
// # Protocol
//
// The record names a holder, a fencing token and a duration. VMs never compare their
// wall clocks:
//
//   - The holder counts the duration from before it sent the write that acquired or
//     renewed the lease, on its own clock, which also runs while the VM is suspended, and
//     stops acting Margin before the end.
//   - Another VM takes over only after it has seen the record unchanged for the duration
//     plus WaitOut on its own clock. It does so by a write conditional on that record,
//     with the next fencing token.
//
// # Notices
//
// A holder that cannot renew because it does not reach the store may still reach its
// peers. It notifies them that it has stopped acting under one exact state of the record,
// and when its last action ended (notice.go). A VM that finds the record in that state
// takes over as soon as HandoverDelay has passed since that action, instead of after the
// full wait. If the holder has renewed in the meantime, the record differs and the notice
// is void; if both VMs write, the conditional write lets only one of them succeed.
//
// # Eras
//
// The store may come back from an older copy of itself, in a new era (objectapi.Revision). Writes that
// it had acknowledged are lost then, and the record may be of an earlier holder, or missing. Therefore:
//
//   - A record names the era in which it was written. One of an earlier era says nothing about who
//     holds the lease now. Nobody takes over at once because of it, not even its own holder, and each
//     VM waits for the full time from when it first saw the record in the new era.
//   - A holder goes on until its lease ends, and may renew it in the new era before that, whatever the
//     record says: all others still wait.
//   - The fencing token of a holder that replaces such a record has the era in its high bits, so it is
//     above those of all earlier eras, of which some may be in no record any more.
//
// # Limits
//
// A holder that is paused between its check of the lease and its action acts late.
// WaitOut limits the damage: it must be at least as long as the longest action, so that
// an action started in time ends before a successor acts. Targets that check fencing
// tokens refuse an action started late, after a pause longer than Margin. Targets that
// ignore them may still carry it out; therefore an action must state the desired state
// and not a step, and the successor must read back the actual state.
//
// spec/lease.pml is a formal model of this protocol; its comments name the functions here.
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

// Prefix is the key prefix of leases in the object API.
const Prefix = "leases/"

// Record is the stored form of a lease.
type Record struct {
	Holder   ids.VM        `json:"holder"`
	Instance string        `json:"instance"` // incarnation of the holder's process
	Fence    uint64        `json:"fence"`    // fencing token; increases with every new holder
	Renewal  uint64        `json:"renewal"`  // number of renewals under this fencing token
	Duration time.Duration `json:"duration_ns"`
	Era      objectapi.Era `json:"era,omitempty"` // of the store when it was written
	// Released is set if the holder gave the lease up before its end.
	Released bool `json:"released,omitempty"`
}

// Tuning holds the durations of the lease protocol. New uses them as they are; DefaultTuning
// holds the defaults.
type Tuning struct {
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// Margin is how long before the lease's end the holder stops acting.
	Margin time.Duration
	// WaitOut is how long after the lease's end a successor waits. It must be at least as
	// long as the longest action.
	WaitOut time.Duration
	// HandoverDelay is the minimum time between the end of a holder's last action, as
	// reported by its notice, and a successor's first action. Zero disables notices.
	HandoverDelay time.Duration
	// ReclaimOwn lets a VM take over at once from its own previous incarnation. It
	// requires that a VM never has two incarnations at a time.
	ReclaimOwn bool
}

// DefaultTuning suits actions of up to 10 s.
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
	held     Record             // the record that this VM last wrote; empty after lose
	version  objectapi.Revision // of held in the store
	inSync   bool               // the stored record is known to equal held
	until    time.Time          // when this VM stops acting; zero before write and after lose or Release
	released bool               // this VM has released the lease and never acquires it again
	seen     objectapi.Revision // version of another holder's record as last read
	seenAt   time.Time          // when the record was first seen at version seen
	seenRec  Record
	duration time.Duration // of seenRec; Margin if the holder has released the lease
	notice   Notice        // latest notice of a peer
	idleAt   time.Time     // when the last action of the notice's sender had ended
}

// New returns a lease that this VM does not hold yet. All VMs that pass the same name compete for
// one lease. now returns the current time; nil means clock.Now.
func New(store objectapi.Store, name string, vm ids.VM, t Tuning, now func() time.Time) *Lease {
	if now == nil {
		now = clock.Now
	}
	return &Lease{store: store, key: Prefix + name, vm: vm, instance: uuid.NewString(), tuning: t, now: now}
}

// Token is the right to act until a point in time.
type Token struct {
	Fence uint64    // fencing token, to be sent with each action
	Until time.Time // by the clock of the VM that holds it
}

// Held returns the token if this VM holds the lease now.
func (l *Lease) Held() (Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.IsZero() || !l.now().Before(l.until) {
		return Token{}, false
	}
	return Token{Fence: l.held.Fence, Until: l.until}, true
}

// Try acquires, renews or watches the lease; Held returns the result. The caller should call
// it a few times per lease duration. Try returns an error if the store fails or the record can't
// be decoded; a lease that is not renewed expires by itself.
func (l *Lease) Try(ctx context.Context) error {
	if l.isReleased() {
		return nil
	}
	began := l.now()
	if rec, version, ok := l.renewable(); ok {
		if err := l.write(ctx, began, rec, version); err != nil || l.isInSync() {
			return err
		}
	}
	obj, err := l.store.Get(ctx, l.key)
	missing := errors.Is(err, objectapi.ErrNotFound)
	if err != nil && !missing {
		return eris.Wrap(err, "read lease")
	}
	var rec Record
	if !missing {
		if err := json.Unmarshal(obj.Value, &rec); err != nil {
			return eris.Wrap(err, "decode lease")
		}
	}
	next, ok := l.next(&rec, obj.Version, missing, began)
	if !ok {
		return nil
	}
	version := obj.Version
	if missing {
		version = 0
	}
	next.Era = obj.Version.Era()
	return l.write(ctx, began, next, version)
}

// next returns the record that this VM may write in place of the stored one, or of a missing one, and
// false if it has to wait. began is when the read of the record began.
func (l *Lease) next(rec *Record, version objectapi.Revision, missing bool, began time.Time) (Record, bool) {
	era := version.Era()
	current := !missing && rec.Era == era // written in this era
	if current && rec.Instance == l.instance {
		return Record{Fence: rec.Fence, Renewal: rec.Renewal + 1}, true
	}
	if held, ok := l.heldBefore(era); ok && !current {
		return Record{Fence: held.Fence, Renewal: held.Renewal + 1}, true
	}
	l.lose()
	successor := Record{Fence: rec.Fence + 1}
	switch {
	case missing && era == 0:
		return successor, true
	case !current:
		successor.Fence = firstFence(version)
		rec.Duration = max(rec.Duration, l.tuning.Duration) // of a holder that the store has lost
	case l.tuning.ReclaimOwn && rec.Holder == l.vm:
		return successor, true
	case rec.Released:
		rec.Duration = l.tuning.Margin // the holder may have acted until it released the lease
	}
	return successor, l.watch(version, *rec, began)
}

// fenceBits is the number of low bits of a fencing token that distinguish the holders of one era.
const fenceBits = 40

// firstFence returns the fencing token of a holder that replaces a record of an earlier era. Besides the
// era it holds the number of the replaced record's version: each holder of an era takes at least one
// number, so the token is also above those of holders whose record a late write of an earlier era has
// replaced.
func firstFence(replaced objectapi.Revision) uint64 {
	return uint64(replaced.Era())<<fenceBits + replaced.Number() + 1
}

// heldBefore returns the record that this VM wrote last if it still holds the lease by it and wrote it
// before the given era.
func (l *Lease) heldBefore(era objectapi.Era) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.held.Era < era && l.now().Before(l.until)
}

// renewable returns the next renewal of a lease that is held and whose stored record is
// known. Reading the record first would double the store calls of each renewal, so Try
// reads it only after a failed write.
func (l *Lease) renewable() (Record, objectapi.Revision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inSync || !l.now().Before(l.until) {
		return Record{}, 0, false
	}
	return Record{Fence: l.held.Fence, Renewal: l.held.Renewal + 1, Era: l.held.Era}, l.version, true
}

// setInSync records whether the stored record is known to be the one that this VM holds.
func (l *Lease) setInSync(inSync bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inSync = inSync
}

func (l *Lease) isInSync() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inSync
}

// lose records that another VM holds the lease.
func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until, l.held, l.inSync = time.Time{}, Record{}, false
}

// watch records since when the stored record has been unchanged, and reports whether this
// VM may take over: whether the lease had expired and the wait had passed when the read
// began. A record that a read returns for the first time may have been written just
// before the response, so its wait starts when the read ends.
func (l *Lease) watch(v objectapi.Revision, rec Record, began time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != v {
		l.seen, l.seenAt, l.seenRec, l.duration = v, l.now(), rec, rec.Duration
		return l.noticeApplies() && began.Sub(l.idleAt) > l.tuning.HandoverDelay
	}
	return began.Sub(l.seenAt) > l.duration+l.tuning.WaitOut || l.noticeApplies() && began.Sub(l.idleAt) > l.tuning.HandoverDelay
}

// Takeover returns the time until this VM may take the lease over if the holder does not
// renew it. It returns false if this VM has released the lease, was the last to hold it as
// far as it knows, or has not seen a record of another VM.
func (l *Lease) Takeover() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released || !l.until.IsZero() || l.seenAt.IsZero() {
		return 0, false
	}
	due := l.seenAt.Add(l.duration + l.tuning.WaitOut)
	if early := l.idleAt.Add(l.tuning.HandoverDelay); l.noticeApplies() && early.Before(due) {
		due = early
	}
	return max(due.Sub(l.now()), 0), true
}

// write stores a record of this VM. The lease duration counts from began, the time before
// the first call to the store, so the write always takes effect later than that.
func (l *Lease) write(ctx context.Context, began time.Time, rec Record, version objectapi.Revision) error {
	rec.Holder, rec.Instance, rec.Duration = l.vm, l.instance, l.tuning.Duration
	value, err := json.Marshal(rec)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	isOwnWrite := func(stored []byte) bool {
		var s Record
		return json.Unmarshal(stored, &s) == nil && s.Instance == rec.Instance && s.Fence == rec.Fence && s.Renewal == rec.Renewal
	}
	var obj objectapi.Object
	if version == 0 {
		obj, err = objectapi.ResolveCreate(ctx, l.store, l.key, value, isOwnWrite)
	} else {
		obj, err = objectapi.ResolveUpdate(ctx, l.store, l.key, value, version, isOwnWrite)
	}
	l.setInSync(err == nil)
	if errors.Is(err, objectapi.ErrExists) || errors.Is(err, objectapi.ErrConflict) {
		return nil // another VM wrote first
	}
	if err != nil {
		return eris.Wrap(err, "write lease")
	}
	if obj.Version.Era() != rec.Era {
		l.setInSync(false) // the write took effect in a later era and may have replaced another holder's record
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.version = rec, obj.Version
	if l.released {
		return nil // released during this write; the new record expires by itself
	}
	l.until = began.Add(l.tuning.Duration - l.tuning.Margin)
	return nil
}

func (l *Lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Release gives the lease up for good, so that a successor waits only for Margin and
// WaitOut. This VM never acquires the lease again. If Release returns an error, the record may
// be unchanged, and the successor waits until the lease has expired.
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
