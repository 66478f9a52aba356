package follow

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// Replicas keeps the list of replicas that the platform publishes.
//
// A replica whose entry is removed is gone, and one that reports that it leaves gets no
// new work for the rest of its incarnation. Only after an outage of the store may an
// entry be missing although its replica is alive: such a replica is kept until ReturnGrace after the
// store's return, within which a live one registers again (missing.go). A replica that is gone stays gone when the
// store comes back from a copy that still has its entry (restoredEntries).
//
// A replica may restart under its id. Its incarnation then increases, in whichever source
// reports it first, and no state of the previous incarnation is kept. Later reports about
// the previous incarnation are ignored.
//
// An entry that can't be decoded is not used. If it replaces a replica's entry, that replica
// gets no work until it has written its own entry again.
//
// Safe for concurrent use. The exported fields must be set before the first call.
type Replicas struct {
	Fleet *fleet.Fleet
	// Decode decodes one entry.
	Decode func(o objectapi.Object) (platform.Record, error)
	// OnGone is called for each replica that is gone or has restarted, with the lock held: it must
	// not call methods of Replicas.
	OnGone func(id ids.Target)
	// OnNewSoftware is called, with the lock held, when a service has a further version of its software.
	OnNewSoftware func()
	// StreamVersions keeps the versions at which streams may have begun. If it is nil, only what this VM has seen counts.
	StreamVersions StreamVersions
	// HasStreams reports whether a service has streams that callers may take up; known is false before the configuration is
	// known. It is called with the lock held, and set if StreamVersions is.
	HasStreams func(service string) (has, known bool)
	// Configured reports whether the configuration names a service. Replicas of other services
	// are not published. If nil, all are. It is called with the lock held.
	Configured func(service string) bool
	// ReturnGrace is how long a missing entry may take to reappear after the store has
	// recovered.
	ReturnGrace time.Duration
	// Heartbeat is the interval at which replicas write their entries.
	Heartbeat time.Duration
	Log       *eventlog.Log
	// Subset bounds which replicas are active on this VM.
	Subset Subset

	mu        sync.Mutex
	records   map[ids.Target]*record
	directory directory
	lapse     lapse
	listed    bool
	wake      chan struct{} // wakes up Run; nil before the first use
	restored  restoredEntries
	withholds bool // replicas were not published since their version is not listed
}

var (
	_ Handler       = (*Replicas)(nil)
	_ OutageHandler = (*Replicas)(nil)
)

// record is one entry and its state on this VM.
type record struct {
	platform.Record
	missing    missing
	version    objectapi.Revision // of the entry
	unreadable bool               // its entry can't be decoded
	// weightsAt is when the weights were received from another source than the
	// entry, which is written about once a second.
	weightsAt        time.Time
	hash             uint64 // of its id
	rendezvousWeight uint64 // for this VM; the subset holds the replicas with the lowest
	inSubset         bool
}

// entryLag is how long an entry may be out of date: a replica writes it about once a second, and
// the list lags behind that.
const entryLag = 2500 * time.Millisecond

// Ready reports whether the list has been read at least once.
func (r *Replicas) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// Listed implements Handler.
func (r *Replicas) Listed(objects []objectapi.Object, at At, regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored.beginList(at, r.listed)
	regained = regained && r.lapse.isReturn(at)
	r.lapse.heard(at)
	if regained {
		r.regain(at)
	}
	if r.records == nil {
		r.records = map[ids.Target]*record{}
	}
	seen := make(map[ids.Target]bool, len(objects))
	for _, o := range objects {
		if id, ok := r.put(o); ok {
			seen[id] = true
		}
	}
	for id := range r.records {
		if !seen[id] {
			r.markMissing(id, regained)
		}
	}
	r.listed = true
	r.publish()
}

// Changed implements Handler.
func (r *Replicas) Changed(events []objectapi.Object, at At) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse.heard(at)
	for _, o := range events {
		if !o.Deleted {
			r.put(o)
			continue
		}
		r.restored.removed(o.Key)
		if id, ok := r.directory.byKey[o.Key]; ok {
			r.markMissing(id, false)
		}
	}
	r.publish()
}

// Unchanged implements Handler.
func (r *Replicas) Unchanged(at At) {
	r.mu.Lock()
	r.lapse.heard(at)
	r.mu.Unlock()
	r.Sweep()
}

// Unavailable implements OutageHandler.
func (r *Replicas) Unavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapse.lost = true
}

// Key returns the key of the record's object in the store.
func (r *record) Key() string { return r.Record.Key }

// put applies one entry. The caller holds the lock.
func (r *Replicas) put(o objectapi.Object) (ids.Target, bool) {
	n, err := r.Decode(o)
	if err != nil {
		r.Log.State("replica-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
		return r.putUnreadable(o.Key)
	}
	id := ids.Target(n.ID)
	old := r.records[id]
	if old != nil && n.Incarnation < old.Incarnation {
		old.unreadable, old.missing = false, missing{}
		return id, true // the entry is of an incarnation that has ended
	}
	if old == nil && r.restored.refuse(id, n.Incarnation, o) {
		return "", false
	}
	rec := &record{Record: n, version: o.Version, hash: routing.HashTarget(id)}
	rec.rendezvousWeight = routing.RendezvousWeight(rec.hash, r.Subset.hash())
	r.logReturn(old)
	switch {
	case old == nil:
	case n.Incarnation > old.Incarnation:
		r.discardPreviousIncarnation(id, n.Incarnation, "entry")
	default:
		rec.carryOver(old)
		if r.restored.mayBeFromCopy(&o) {
			rec.keepNewerWeights(old)
		}
	}
	if r.isLogged(old) && (old == nil || old.State != rec.State || old.Weights != rec.Weights || old.Incarnation != rec.Incarnation) {
		r.Log.State("replica").Str("target", n.ID).Str("service", n.Service).Str("addr", n.Addr).Uint64("incarnation", uint64(n.Incarnation)).
			Str("state", string(rec.State)).Str("weights", string(rec.Weights)).Uint64("revision", o.Version.Number()).Uint64("era", uint64(o.Version.Era())).Send()
	}
	r.directory.replace(id, old, rec)
	if old != nil {
		rec.inSubset = old.inSubset
		*old = *rec // the directory's lists point to it
		return id, true
	}
	r.records[id] = rec
	return id, true
}

// logReturn logs that the entry of a replica is listed again, if it was missing.
func (r *Replicas) logReturn(old *record) {
	if old == nil || !old.missing.is() || !r.isLogged(old) {
		return
	}
	r.Log.State("replica-returned").Str("target", old.ID).Int64("missing_ms", clock.Since(old.missing.since).Milliseconds()).Send()
}

// isLogged reports whether changes of an entry are logged: in a large fleet only those of active
// replicas. The caller holds the lock.
func (r *Replicas) isLogged(old *record) bool {
	limit := r.Subset.Max
	return limit <= 0 || len(r.records) < limit || old != nil && r.isActive(ids.Target(old.ID), old)
}

// putUnreadable applies an entry that can't be decoded. The caller holds the lock.
func (r *Replicas) putUnreadable(key string) (ids.Target, bool) {
	id, ok := r.directory.byKey[key]
	if !ok {
		return "", false
	}
	r.records[id].unreadable = true
	r.directory.invalidateList()
	r.Fleet.Members.Remove(id)
	return id, true
}

// carryOver keeps what other sources reported about the same incarnation.
func (r *record) carryOver(old *record) {
	if old.State == platform.StateLeaving {
		r.State = platform.StateLeaving
	}
	if r.Weights != old.Weights && clock.Since(old.weightsAt) < entryLag {
		r.Weights, r.weightsAt = old.Weights, old.weightsAt
	}
}

// Restarted records the incarnation of a replica as reported by a source other than its entry. If
// it is later than that in the entry, the replica takes work again, with the weights that it
// had: a replica keeps its weights when it restarts.
func (r *Replicas) Restarted(id ids.Target, inc ids.Incarnation, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || inc <= rec.Incarnation {
		return
	}
	r.discardPreviousIncarnation(id, inc, from)
	rec.Incarnation, rec.State, rec.weightsAt = inc, platform.StateLive, time.Time{}
	r.directory.invalidateList()
	r.publish()
}

// discardPreviousIncarnation logs that a replica has restarted and has OnGone drop the state of its
// previous incarnation. The caller holds the lock.
func (r *Replicas) discardPreviousIncarnation(id ids.Target, inc ids.Incarnation, from string) {
	r.Log.State("replica-restarted").Str("target", string(id)).Uint64("incarnation", uint64(inc)).Str("from", from).Send()
	r.OnGone(id)
}

// SetWeights records the weights of a replica as reported by a source other than its entry.
func (r *Replicas) SetWeights(id ids.Target, w ids.WeightsVersion, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || rec.Weights == w {
		return
	}
	r.Log.State("weights").Str("target", string(id)).Str("before", string(rec.Weights)).Str("now", string(w)).Str("from", from).Send()
	before := rec.Weights
	rec.Weights, rec.weightsAt = w, clock.Now()
	r.directory.addDeployed(rec.Model, before, -1)
	r.directory.addDeployed(rec.Model, w, 1)
	r.directory.invalidateList()
	if r.isActive(id, rec) {
		r.publish()
	}
}

// publish passes the active replicas to the fleet. The caller holds the lock.
func (r *Replicas) publish() {
	now := clock.Now()
	if r.directory.newSoftware && r.OnNewSoftware != nil {
		r.OnNewSoftware()
	}
	r.directory.newSoftware = false
	r.updateSubsets()
	var out []platform.Record
	before := r.directory.active
	r.directory.active = map[ids.Target]bool{}
	r.withholds = false
	for rec := range r.active() {
		id := ids.Target(rec.ID)
		if r.directory.active[id] {
			continue
		}
		r.directory.active[id] = true
		switch {
		case !r.usable(rec):
		case r.withheld(rec):
			r.withholds = true
		default:
			out = append(out, rec.Record)
		}
	}
	if r.withholds {
		r.StreamVersions.Wake()
	}
	for id := range before {
		if !r.directory.active[id] && r.records[id] != nil {
			r.Fleet.Members.Remove(id) // still listed, but no longer active on this VM
		}
	}
	r.directory.published = out
	r.Fleet.Members.ApplyPlatform(out, now)
	r.Fleet.MarkDirty()
}

// Publish passes the list to the fleet again, after the configured services have changed.
func (r *Replicas) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.invalidateList()
	r.publish()
}

// usable reports whether an entry can be decoded and its service is configured.
func (r *Replicas) usable(rec *record) bool {
	return !rec.unreadable && (r.Configured == nil || r.Configured(rec.Service))
}

// Each calls f with each replica that Records returns, until f returns false. f must not call
// methods of r.
func (r *Replicas) Each(f func(*platform.Record) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range r.records {
		if r.usable(rec) && !f(&rec.Record) {
			return
		}
	}
}

// Records returns the replicas that are listed or within ReturnGrace, without those whose entries
// can't be decoded or whose services are not configured. The result is shared and must not be
// modified.
func (r *Replicas) Records() []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directory.list == nil {
		r.directory.list = make([]platform.Record, 0, len(r.records))
		for _, rec := range r.records {
			if r.usable(rec) {
				r.directory.list = append(r.directory.list, rec.Record)
			}
		}
	}
	return r.directory.list
}
