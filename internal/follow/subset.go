package follow

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// A VM of a large fleet works with a bounded part of each service's replicas: loads, beliefs,
// connections and the work of a decision follow that part, and not the fleet. The parts are
// steady, overlap, and differ by VM, so that together they cover all replicas about evenly. Where
// shared prompts are computed is not bound by them: all VMs of a failure domain agree on that
// by rendezvous over the whole domain (Visit).

// Subset bounds which replicas a VM works with.
type Subset struct {
	VM     ids.VM
	Domain ids.FailureDomain
	// Max is how many replicas of a service it works with, beside those that it visits or
	// holds. Zero: all.
	Max int
}

func (s Subset) hash() uint64 { return routing.HashTarget(ids.Target(s.VM)) }

const (
	// farPart is one in how many of them are in other failure domains, for the case that the
	// VM's own has none left.
	farPart = 4
	// visitFor is how long a replica beyond the subset stays with the VM after it was last
	// wanted, and mostVisits bounds how many do.
	visitFor   = 30 * time.Second
	mostVisits = 64
)

// directory is what is kept of all replicas: indexes that hold an entry each, and a count for
// each version of weights.
type directory struct {
	keys     map[string]ids.Target // by the key of the entry
	short    map[uint32]ids.Target // by 32 bits of the hash
	services map[string]*members
	weights  map[platform.Deployed]int
	list     []platform.Record // nil: it has to be made anew
	visits   map[ids.Target]time.Time
	held     map[ids.Target]bool
	// working are the replicas that this VM works with, and published their records.
	working   map[ids.Target]bool
	published []platform.Record
}

// members are the replicas of one service.
type members struct {
	near, far []*record // by weight; of the VM's failure domain, and of others
	chosen    []*record // of both
	stale     bool      // some have come or gone
	whole     bool      // all are chosen
}

// replace takes in that a replica has come, has changed or has gone. Either may be nil.
func (d *directory) replace(id ids.Target, old, rec *record) {
	if d.keys == nil {
		d.keys, d.short, d.services, d.weights = map[string]ids.Target{}, map[uint32]ids.Target{}, map[string]*members{}, map[platform.Deployed]int{}
		d.visits, d.held = map[ids.Target]time.Time{}, map[ids.Target]bool{}
	}
	d.changed()
	moved := old == nil || rec == nil || old.Service != rec.Service || old.FailureDomain != rec.FailureDomain
	if old != nil {
		delete(d.keys, old.Key())
		delete(d.short, uint32(old.hash))
		d.counted(old.Model, old.Weights, -1)
		d.of(old.Service).stale = d.of(old.Service).stale || moved
	}
	if rec != nil {
		d.keys[rec.Key()] = id
		d.short[uint32(rec.hash)] = id
		d.counted(rec.Model, rec.Weights, 1)
		d.of(rec.Service).stale = d.of(rec.Service).stale || moved
	}
}

// changed notes that the list of all is out of date.
func (d *directory) changed() { d.list = nil }

// counted adds to the count of a version of weights.
func (d *directory) counted(m ids.Model, w ids.WeightsVersion, n int) {
	if m == "" {
		return
	}
	key := platform.Deployed{Model: m, Weights: w}
	if d.weights[key] += n; d.weights[key] <= 0 {
		delete(d.weights, key)
	}
}

func (d *directory) of(service string) *members {
	m := d.services[service]
	if m == nil {
		m = &members{stale: true}
		d.services[service] = m
	}
	return m
}

// choose chooses anew which replicas this VM works with, of services whose replicas have come or
// gone. The lock is held.
func (r *Replicas) choose() {
	stale := false
	for _, m := range r.directory.services {
		if m.stale {
			m.near, m.far, stale = m.near[:0], m.far[:0], true
		}
	}
	if !stale {
		return
	}
	for _, rec := range r.records {
		m := r.directory.of(rec.Service)
		switch {
		case !m.stale:
		case rec.FailureDomain == r.Subset.Domain:
			m.near = append(m.near, rec)
		default:
			m.far = append(m.far, rec)
		}
	}
	for service, m := range r.directory.services {
		if m.stale {
			m.choose(r.Subset.Max)
		}
		if len(m.near)+len(m.far) == 0 {
			delete(r.directory.services, service)
		}
	}
}

// choose marks the replicas of one service that a VM works with: those that come first for it.
func (m *members) choose(most int) {
	m.stale = false
	all := len(m.near) + len(m.far)
	m.whole = most <= 0 || all <= most
	byWeight := func(a, b *record) int { return cmp.Compare(a.weight, b.weight) }
	slices.SortFunc(m.near, byWeight)
	slices.SortFunc(m.far, byWeight)
	near := min(len(m.near), max(most-most/farPart, most-len(m.far)))
	far := most - near
	if m.whole {
		near, far = len(m.near), len(m.far)
	}
	m.chosen = append(append(m.chosen[:0], m.near[:near]...), m.far[:far]...)
	for _, rec := range m.near[near:] {
		rec.chosen = false
	}
	for _, rec := range m.far[far:] {
		rec.chosen = false
	}
	for _, rec := range m.chosen {
		rec.chosen = true
	}
}

// atWork yields the replicas that this VM works with, some of them more than once. The lock is
// held.
func (r *Replicas) atWork() iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for _, m := range r.directory.services {
			for _, rec := range m.chosen {
				if !yield(rec) {
					return
				}
			}
		}
		for id := range r.directory.held {
			if rec := r.records[id]; rec != nil && !yield(rec) {
				return
			}
		}
		for id := range r.directory.visits {
			if rec := r.records[id]; rec != nil && r.works(id, rec) && !yield(rec) {
				return
			}
		}
	}
}

// works tells whether this VM works with a replica. The lock is held.
func (r *Replicas) works(id ids.Target, rec *record) bool {
	if rec.chosen || r.directory.held[id] {
		return true
	}
	at, visited := r.directory.visits[id]
	return visited && clock.Since(at) < visitFor
}

// Pin makes this VM work with some replicas whatever its subset, in place of those that were
// given before: it reads their feeds.
func (r *Replicas) Pin(targets []ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	held := make(map[ids.Target]bool, len(targets))
	for _, id := range targets {
		held[id] = true
		rec := r.records[id]
		changed = changed || rec != nil && !r.works(id, rec)
	}
	r.directory.held = held
	if changed {
		r.publish()
	}
}

// AddRendezvousTargets makes this VM work with the replicas of a service that come first for a key, in its own
// failure domain as long as there are any. All VMs of the domain agree on them.
func (r *Replicas) AddRendezvousTargets(service string, key uint64, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.directory.services[service]
	if m == nil || m.whole {
		return
	}
	from := m.near
	if len(from) == 0 {
		from = m.far
	}
	now, news := clock.Now(), false
	for _, rec := range r.first(from, key, n) {
		id := ids.Target(rec.ID)
		news = news || !r.works(id, rec)
		if !rec.chosen {
			r.directory.visits[id] = now
		}
	}
	if news {
		r.forgetVisits(now)
		r.publish()
	}
}

// first returns the n replicas that come first for a key.
func (r *Replicas) first(from []*record, key uint64, n int) []*record {
	out := make([]*record, 0, n)
	weights := make([]uint64, 0, n)
	for _, rec := range from {
		if rec.State == platform.StateLeaving || rec.foreign {
			continue
		}
		w := routing.AffinityOf(key, rec.hash)
		at, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at >= n {
			continue
		}
		if len(out) == n {
			out, weights = out[:n-1], weights[:n-1]
		}
		out, weights = slices.Insert(out, at, rec), slices.Insert(weights, at, w)
	}
	return out
}

// forgetVisits drops visits that are over, and the oldest of too many. The lock is held.
func (r *Replicas) forgetVisits(now time.Time) {
	visits := r.directory.visits
	for id, at := range visits {
		if now.Sub(at) >= visitFor {
			delete(visits, id)
		}
	}
	for len(visits) > mostVisits {
		oldest, first := ids.Target(""), now
		for id, at := range visits {
			if oldest == "" || at.Before(first) {
				oldest, first = id, at
			}
		}
		delete(visits, oldest)
	}
}

// Active returns the replicas that this VM works with. The result must not be changed.
func (r *Replicas) Active() []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.published
}

// Resolve returns the replica whose hash has the given low 32 bits.
func (r *Replicas) Resolve(short uint32) (ids.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.directory.short[short]
	return id, ok
}

// Deployed returns the versions of weights that replicas have.
func (r *Replicas) Deployed() []platform.Deployed {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]platform.Deployed, 0, len(r.directory.weights))
	for w := range r.directory.weights {
		out = append(out, w)
	}
	return out
}

// KnownFraction returns which part of a service's replicas this VM works with, 0 to 1.
func (r *Replicas) KnownFraction(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.directory.services[service]
	if m == nil || m.whole || r.Subset.Max <= 0 {
		return 1
	}
	return float64(r.Subset.Max) / float64(max(len(m.near)+len(m.far), 1))
}
