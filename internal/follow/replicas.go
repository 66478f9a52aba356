package follow

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
)

// Replicas keeps the list of replicas that the platform publishes.
//
// A replica whose entry is removed is gone, and one that says it leaves gets no
// new work for the rest of its incarnation. Only when the store was away may an
// entry be missing though its replica lives: such a replica is kept for
// ReturnGrace, in which a living one registers again.
type Replicas struct {
	Fleet *fleet.Fleet
	// Decode reads one entry.
	Decode func(o objectapi.Object) (platform.Record, error)
	// Gone is called for each replica that is gone.
	Gone func(id ids.Target)
	// ReturnGrace is how long after the store's return a missing entry may come
	// back.
	ReturnGrace time.Duration
	Log         *eventlog.Log

	mu         sync.Mutex
	records    map[ids.Target]*record
	regainedAt time.Time
	listed     bool
}

var _ Handler = (*Replicas)(nil)

// record is one entry and what became of it.
type record struct {
	platform.Record
	missingAt time.Time // zero: it is listed
	// weightsAt is when the weights were learned from another source than the
	// entry, which is written about once a second.
	weightsAt time.Time
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
		r.regainedAt = time.Now()
	}
	if r.records == nil {
		r.records = map[ids.Target]*record{}
	}
	seen := map[ids.Target]bool{}
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
		for id, rec := range r.records {
			if rec.Key() == o.Key {
				r.missing(id)
			}
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
		return "", false
	}
	id := ids.Target(n.ID)
	old := r.records[id]
	if old != nil && old.State == platform.StateLeaving {
		n.State = platform.StateLeaving
	}
	var weightsAt time.Time
	if old != nil && n.Weights != old.Weights && time.Since(old.weightsAt) < entryLag {
		n.Weights, weightsAt = old.Weights, old.weightsAt
	}
	if old == nil || old.State != n.State || old.Weights != n.Weights {
		r.Log.Belief("replica").Str("target", n.ID).Str("service", n.Service).Str("addr", n.Addr).
			Str("state", string(n.State)).Str("weights", string(n.Weights)).Uint64("revision", uint64(o.Version)).Send()
	}
	r.records[id] = &record{Record: n, weightsAt: weightsAt}
	return id, true
}

// missing marks an entry that is no longer listed. The lock is held.
func (r *Replicas) missing(id ids.Target) {
	rec := r.records[id]
	if rec == nil || !rec.missingAt.IsZero() {
		return
	}
	now := time.Now()
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
		if !rec.missingAt.IsZero() && time.Since(rec.missingAt) >= r.ReturnGrace {
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
	delete(r.records, id)
	r.Fleet.Members.Remove(id)
	r.Gone(id)
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
	rec.Weights, rec.weightsAt = w, time.Now()
	r.publish()
}

// publish gives the list to the fleet. The lock is held.
func (r *Replicas) publish() {
	records := make([]platform.Record, 0, len(r.records))
	for _, rec := range r.records {
		records = append(records, rec.Record)
	}
	r.Fleet.Members.Platform(records, time.Now())
	r.Fleet.MarkDirty()
}

// Records returns the replicas that are listed or may come back.
func (r *Replicas) Records() []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]platform.Record, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.Record)
	}
	return out
}
