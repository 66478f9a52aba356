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
// A replica whose entry is removed is gone, and one that says it leaves gets no
// new work for the rest of its incarnation. Only when the store was away may an
// entry be missing though its replica lives: such a replica is kept for
// ReturnGrace, in which a living one registers again.
//
// A replica may start again under its id. Its incarnation then grows, in whatever source
// is heard first, and nothing that is believed of the incarnation before is kept. What a
// slower source still says of that one is left out.
//
// An entry that can't be read names no replica to use: if it stands where a replica's
// entry stood, that replica gets no work until it has written its own again.
type Replicas struct {
	Fleet *fleet.Fleet
	// Decode reads one entry.
	Decode func(o objectapi.Object) (platform.Record, error)
	// OnGone is called for each replica that is gone or has started again.
	OnGone func(id ids.Target)
	// Configured tells whether the configuration names a service. Replicas of other services
	// are not published. Nil: all are.
	Configured func(service string) bool
	// ReturnGrace is how long after the store's return a missing entry may come
	// back.
	ReturnGrace time.Duration
	Log         *eventlog.Log
	// Subset bounds which replicas this VM works with.
	Subset Subset

	mu         sync.Mutex
	records    map[ids.Target]*record
	directory  directory
	regainedAt time.Time
	listed     bool
}

var _ Handler = (*Replicas)(nil)

// record is one entry and what became of it.
type record struct {
	platform.Record
	missingAt time.Time // zero: it is listed
	foreign   bool      // its entry can't be read
	// weightsAt is when the weights were learned from another source than the
	// entry, which is written about once a second.
	weightsAt time.Time
	hash      uint64 // of its id
	weight    uint64 // of the replica for this VM: the least come first
	chosen    bool
}

// entryLag is how long an entry may still say what is no longer so: a replica
// writes it about once a second, and the list lags behind that.
const entryLag = 2500 * time.Millisecond

// Ready tells whether the list has been read once.
func (r *Replicas) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// Listed implements Handler.
func (r *Replicas) Listed(objects []objectapi.Object, _ At, regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if regained {
		r.regainedAt = clock.Now()
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
			r.missing(id)
		}
	}
	r.listed = true
	r.publish()
}

// Changed implements Handler.
func (r *Replicas) Changed(events []objectapi.Object, _ At) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range events {
		if !o.Deleted {
			r.put(o)
			continue
		}
		if id, ok := r.directory.keys[o.Key]; ok {
			r.missing(id)
		}
	}
	r.publish()
}

// Unchanged implements Handler.
func (r *Replicas) Unchanged(At) { r.Sweep() }

// Key is where the record's object lies.
func (r *record) Key() string { return r.Record.Key }

// put takes in one entry. The lock is held.
func (r *Replicas) put(o objectapi.Object) (ids.Target, bool) {
	n, err := r.Decode(o)
	if err != nil {
		r.Log.Belief("replica-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
		return r.putForeign(o.Key)
	}
	id := ids.Target(n.ID)
	old := r.records[id]
	if old != nil && n.Incarnation < old.Incarnation {
		old.foreign, old.missingAt = false, time.Time{}
		return id, true // it speaks of an incarnation that has ended
	}
	rec := &record{Record: n, hash: routing.HashTarget(id)}
	rec.weight = routing.RendezvousWeight(rec.hash, r.Subset.hash())
	switch {
	case old == nil:
	case n.Incarnation > old.Incarnation:
		r.restarted(id, n.Incarnation, "entry")
	default:
		rec.carryOver(old)
	}
	if r.tells(old) && (old == nil || old.State != rec.State || old.Weights != rec.Weights || old.Incarnation != rec.Incarnation) {
		r.Log.Belief("replica").Str("target", n.ID).Str("service", n.Service).Str("addr", n.Addr).Uint64("incarnation", uint64(n.Incarnation)).
			Str("state", string(rec.State)).Str("weights", string(rec.Weights)).Uint64("revision", uint64(o.Version)).Send()
	}
	r.directory.replace(id, old, rec)
	if old != nil {
		rec.chosen = old.chosen
		*old = *rec // the directory's lists hold it
		return id, true
	}
	r.records[id] = rec
	return id, true
}

// tells tells whether what an entry says is logged: of a large fleet only of replicas that this
// VM works with. The lock is held.
func (r *Replicas) tells(old *record) bool {
	most := r.Subset.Max
	return most <= 0 || len(r.records) < most || old != nil && r.works(ids.Target(old.ID), old)
}

// putForeign takes in an entry that can't be read. The lock is held.
func (r *Replicas) putForeign(key string) (ids.Target, bool) {
	id, ok := r.directory.keys[key]
	if !ok {
		return "", false
	}
	r.records[id].foreign = true
	r.directory.changed()
	r.Fleet.Members.Remove(id)
	return id, true
}

// carryOver keeps what is known of the same incarnation beside its entry.
func (r *record) carryOver(old *record) {
	if old.State == platform.StateLeaving {
		r.State = platform.StateLeaving
	}
	if r.Weights != old.Weights && clock.Since(old.weightsAt) < entryLag {
		r.Weights, r.weightsAt = old.Weights, old.weightsAt
	}
}

// Restarted records that a replica is known to be in an incarnation. If that is a later
// one than its entry says yet, the replica takes work, with the weights that it had: a
// replica keeps them when it starts again.
func (r *Replicas) Restarted(id ids.Target, inc ids.Incarnation, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || inc <= rec.Incarnation {
		return
	}
	r.restarted(id, inc, from)
	rec.Incarnation, rec.State, rec.weightsAt = inc, platform.StateLive, time.Time{}
	r.directory.changed()
	r.publish()
}

// restarted forgets the incarnation before. The lock is held.
func (r *Replicas) restarted(id ids.Target, inc ids.Incarnation, from string) {
	r.Log.Belief("replica-restarted").Str("target", string(id)).Uint64("incarnation", uint64(inc)).Str("from", from).Send()
	r.OnGone(id)
}

// missing marks an entry that is no longer listed. The lock is held.
func (r *Replicas) missing(id ids.Target) {
	rec := r.records[id]
	if rec == nil || !rec.missingAt.IsZero() {
		return
	}
	now := clock.Now()
	rec.missingAt = now
	if now.Sub(r.regainedAt) >= r.ReturnGrace {
		r.drop(id, "its entry was removed")
	}
}

// Sweep drops replicas whose entries did not come back in time.
func (r *Replicas) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := false
	for id, rec := range r.records {
		if !rec.missingAt.IsZero() && clock.Since(rec.missingAt) >= r.ReturnGrace {
			r.drop(id, "its entry did not come back")
			dropped = true
		}
	}
	if dropped {
		r.publish()
	}
}

// drop forgets a replica that is gone. The lock is held.
func (r *Replicas) drop(id ids.Target, reason string) {
	r.directory.replace(id, r.records[id], nil)
	delete(r.records, id)
	r.Fleet.Members.Remove(id)
	r.OnGone(id)
	r.Log.Belief("replica-gone").Str("target", string(id)).Str("reason", reason).Send()
}

// SetWeights records that a replica has other weights than its entry says yet.
func (r *Replicas) SetWeights(id ids.Target, w ids.WeightsVersion, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[id]
	if rec == nil || rec.Weights == w {
		return
	}
	r.Log.Belief("weights").Str("target", string(id)).Str("before", string(rec.Weights)).Str("now", string(w)).Str("from", from).Send()
	before := rec.Weights
	rec.Weights, rec.weightsAt = w, clock.Now()
	r.directory.counted(rec.Model, before, -1)
	r.directory.counted(rec.Model, w, 1)
	r.directory.changed()
	if r.works(id, rec) {
		r.publish()
	}
}

// publish gives the fleet the replicas that this VM works with. The lock is held.
func (r *Replicas) publish() {
	now := clock.Now()
	r.choose()
	var out []platform.Record
	before := r.directory.working
	r.directory.working = map[ids.Target]bool{}
	for rec := range r.atWork() {
		id := ids.Target(rec.ID)
		if r.directory.working[id] {
			continue
		}
		r.directory.working[id] = true
		if r.usable(rec) {
			out = append(out, rec.Record)
		}
	}
	for id := range before {
		if !r.directory.working[id] && r.records[id] != nil {
			r.Fleet.Members.Remove(id) // it is there, and no longer this VM's to work with
		}
	}
	r.directory.published = out
	r.Fleet.Members.ApplyPlatform(out, now)
	r.Fleet.MarkDirty()
}

// Publish gives the list to the fleet anew: the configuration names other services.
func (r *Replicas) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.changed()
	r.publish()
}

// usable tells whether an entry names a replica of a service that the configuration names.
func (r *Replicas) usable(rec *record) bool {
	return !rec.foreign && (r.Configured == nil || r.Configured(rec.Service))
}

// Each calls f with each replica that is listed or may come back, until f returns false. f must
// not call r.
func (r *Replicas) Each(f func(*platform.Record) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range r.records {
		if r.usable(rec) && !f(&rec.Record) {
			return
		}
	}
}

// Records returns the replicas that are listed or may come back. The result is shared and must
// not be changed.
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
