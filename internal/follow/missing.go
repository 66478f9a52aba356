package follow

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Entries of live replicas expire while the store can't be heard, or just after its return, before the
// replicas have reached it again. The wait for such an entry counts from the store's return, not from the moment at
// which the entry is found missing:
//
//   - An entry that the first list after an outage lacks is awaited until the grace after the return. If the store
//     is lost again before that, its replica could not register either: the wait goes on until the grace after the next
//     return.
//   - An entry whose removal this VM has seen while it heard the store is awaited until the grace after the last
//     return, and not beyond. It is not awaited at all if it was written after the return, since it can't have expired in
//     the outage then, or if the grace is over.
//
// A list that comes from a peer tells when the store was heard again, by the peer or by those that it reads from.

// lapse is what this VM knows of the latest outage of the store.
type lapse struct {
	returned time.Time          // when the store was first heard again; zero: there was no outage
	revision objectapi.Revision // of the first list after the outage
	lost     bool               // the store is not heard at present
	answered time.Time          // when the store last answered this VM, or the one whose copy it reads
	era      objectapi.Era      // of the latest response
}

// heard records a response.
func (l *lapse) heard(at At) {
	l.lost = false
	l.era = max(l.era, at.Revision.Era())
	if at.Answered.After(l.answered) {
		l.answered = at.Answered
	}
}

// isReturn reports whether a list that follows an outage is the first one for this VM. It may have heard of the store's return from
// a peer before the store answered it itself; and a peer may have been cut off for longer than this VM. A store that has come back
// from an older copy may lack entries although no call to it failed.
func (l *lapse) isReturn(at At) bool {
	return l.lost || at.Revision.Era() > l.era || at.Relayed && at.Regained.After(l.answered)
}

// missing is the state of an entry that is not listed. The zero value is that of a listed one.
type missing struct {
	since time.Time // when this VM found it missing
	until time.Time // when the wait for it ends
	seen  bool      // this VM has seen its removal; otherwise it was removed in an outage
}

// is reports whether the entry is missing.
func (m *missing) is() bool { return !m.since.IsZero() }

// over reports whether the wait for the entry has ended.
func (m *missing) over(l *lapse, now time.Time) bool {
	return m.is() && !now.Before(m.until) && (m.seen || !l.lost)
}

// await returns the state of an entry of a version that is found missing at a time, and whether to wait for it.
// inOutage says that the first list after an outage lacks it.
func (l *lapse) await(version objectapi.Revision, inOutage bool, grace time.Duration, now time.Time) (m missing, wait bool) {
	m = missing{since: now, until: l.returned.Add(grace), seen: !inOutage}
	switch {
	case l.returned.IsZero(), !now.Before(m.until):
		return m, false
	case m.seen && version > l.revision:
		return m, false // it was written after the return
	}
	return m, true
}

// regain records the first list after an outage, and waits anew for the entries that were removed in an earlier
// one. The caller holds the lock.
func (r *Replicas) regain(at At) {
	returned := at.Regained
	if returned.IsZero() {
		returned = clock.Now()
	}
	if !returned.After(r.lapse.returned) {
		return // the same return, from another peer
	}
	r.lapse.returned, r.lapse.revision = returned, at.Revision
	for _, rec := range r.records {
		if rec.missing.is() && !rec.missing.seen {
			rec.missing.until = returned.Add(r.ReturnGrace)
			r.logMissing(rec, "it was not listed after an earlier outage of the store, and could not be written in this one")
		}
	}
}

// markMissing records that a replica's entry is no longer listed, and drops the replica unless its
// entry may still return after an outage of the store. The caller holds the lock.
func (r *Replicas) markMissing(id ids.Target, inOutage bool) {
	rec := r.records[id]
	if rec == nil || rec.missing.is() {
		return
	}
	var wait bool
	rec.missing, wait = r.lapse.await(rec.version, inOutage, r.ReturnGrace, clock.Now())
	if !wait {
		r.drop(id, "its entry was removed")
		return
	}
	rule := "it was removed in an outage of the store"
	if rec.missing.seen {
		rule = "it was removed soon after an outage of the store, and not written since"
	}
	r.logMissing(rec, rule)
	r.wakeUp()
}

// logMissing logs since when and until when this VM waits for an entry. The caller holds the lock.
func (r *Replicas) logMissing(rec *record, rule string) {
	if !r.isLogged(rec) {
		return
	}
	now := clock.Now()
	r.Log.State("replica-missing").Str("target", rec.ID).Str("rule", rule).Int64("missing_ms", now.Sub(rec.missing.since).Milliseconds()).
		Int64("store_back_ms", now.Sub(r.lapse.returned).Milliseconds()).Int64("waits_ms", rec.missing.until.Sub(now).Milliseconds()).Send()
}

// sweepInterval is the longest time between two sweeps, which also look at restored entries.
const sweepInterval = 250 * time.Millisecond

// Run sweeps until ctx ends: in time for each wait for a missing entry.
func (r *Replicas) Run(ctx context.Context) {
	r.mu.Lock()
	r.wakeUp() // creates the channel
	wake := r.wake
	r.mu.Unlock()
	for timer := time.NewTimer(0); ; timer.Reset(r.sweep()) {
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-wake:
		case <-timer.C:
		}
	}
}

// wakeUp makes Run sweep now. The caller holds the lock.
func (r *Replicas) wakeUp() {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	select {
	case r.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Sweep drops replicas whose entries did not return in time, and takes back those whose restored entries have stayed
// listed.
func (r *Replicas) Sweep() { r.sweep() }

// sweep implements Sweep and returns the time until the next one.
func (r *Replicas) sweep() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, next, dropped := clock.Now(), sweepInterval, false
	for id, rec := range r.records {
		switch {
		case rec.missing.over(&r.lapse, now):
			r.dropOverdue(id, rec)
			dropped = true
		case rec.missing.is() && now.Before(rec.missing.until):
			next = min(next, rec.missing.until.Sub(now))
		}
	}
	alive := r.restored.sweep(r.Heartbeat)
	for _, o := range alive {
		r.put(o)
	}
	if dropped || len(alive) > 0 || r.withholds {
		r.publish()
	}
	return next
}

// dropOverdue drops a replica whose entry did not return in time. The caller holds the lock.
func (r *Replicas) dropOverdue(id ids.Target, rec *record) {
	reason := "its entry did not come back"
	if rec.missing.seen {
		reason = "its entry was removed, and did not come back"
	}
	r.drop(id, reason)
}

// drop removes a replica that is gone. The caller holds the lock.
func (r *Replicas) drop(id ids.Target, reason string) {
	since := r.records[id].missing.since
	r.restored.drop(id, r.records[id].Incarnation)
	r.directory.replace(id, r.records[id], nil)
	delete(r.records, id)
	r.Fleet.Members.Remove(id)
	r.OnGone(id)
	r.Log.State("replica-gone").Str("target", string(id)).Str("reason", reason).Int64("missing_ms", clock.Since(since).Milliseconds()).Send()
}
