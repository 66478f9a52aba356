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

// A VM of a large fleet works with a bounded subset of each service's replicas: loads, cache view
// entries, connections and the cost of a decision grow with the subset and not with the fleet. The
// subsets are stable, overlap, and differ by VM, so that together they cover all replicas about
// evenly. They do not limit where shared prompts are computed: all VMs of a failure domain agree
// on that by rendezvous hashing over the whole domain (AddRendezvousTargets).

// Subset bounds which replicas are active on a VM.
type Subset struct {
	VM     ids.VM
	Domain ids.FailureDomain
	// Max is the largest size of the subset of each service, not counting rendezvous targets and
	// pinned replicas. Zero: no limit.
	Max int
}

func (s Subset) hash() uint64 { return routing.HashTarget(ids.Target(s.VM)) }

const (
	// remoteDivisor sets the share of other failure domains: one in four replicas of a subset, in
	// case the VM's own domain has none left.
	remoteDivisor = 4
	// rendezvousTTL is how long a rendezvous target beyond the subset stays active after its last
	// use, and maxRendezvous is how many such targets there are at most.
	rendezvousTTL = 30 * time.Second
	maxRendezvous = 64
)

// directory holds the indexes of all replicas, the number of replicas per version of weights, and
// the active replicas.
type directory struct {
	byKey       map[string]ids.Target // by key of the entry
	byShortHash map[uint32]ids.Target // by the low 32 bits of the hash
	services    map[string]*serviceReplicas
	deployed    map[platform.Deployed]int
	software    map[string]*softwareVersions // by service
	newSoftware bool                         // a service has a further version since the last publish
	list        []platform.Record            // cached result of Records; nil: out of date
	rendezvous  map[ids.Target]time.Time     // last use of rendezvous targets beyond the subset
	pinned      map[ids.Target]bool
	// active are the replicas that this VM works with; published are the usable records of them.
	active    map[ids.Target]bool
	published []platform.Record
}

// serviceReplicas are the replicas of one service.
type serviceReplicas struct {
	local, remote []*record // in the VM's failure domain, and in others; in ascending order of rendezvousWeight
	subset        []*record // the selected ones of both
	stale         bool      // replicas were added or removed since the selection
	complete      bool      // the subset holds all replicas
}

// replace updates the indexes when a replica is added (old is nil), changed, or removed (rec is nil).
func (d *directory) replace(id ids.Target, old, rec *record) {
	if d.byKey == nil {
		d.byKey, d.byShortHash, d.services, d.deployed = map[string]ids.Target{}, map[uint32]ids.Target{}, map[string]*serviceReplicas{}, map[platform.Deployed]int{}
		d.rendezvous, d.pinned = map[ids.Target]time.Time{}, map[ids.Target]bool{}
	}
	d.invalidateList()
	moved := old == nil || rec == nil || old.Service != rec.Service || old.FailureDomain != rec.FailureDomain
	if old != nil {
		delete(d.byKey, old.Key())
		delete(d.byShortHash, uint32(old.hash))
		d.addDeployed(old.Model, old.Weights, -1)
		d.addSoftware(old.Service, old.Software, -1)
		d.service(old.Service).stale = d.service(old.Service).stale || moved
	}
	if rec != nil {
		d.byKey[rec.Key()] = id
		d.byShortHash[uint32(rec.hash)] = id
		d.addDeployed(rec.Model, rec.Weights, 1)
		d.newSoftware = d.addSoftware(rec.Service, rec.Software, 1) || d.newSoftware
		d.service(rec.Service).stale = d.service(rec.Service).stale || moved
	}
}

// invalidateList marks the cached result of Records as out of date.
func (d *directory) invalidateList() { d.list = nil }

// addDeployed adds n to the number of replicas that have a version of a model's weights.
func (d *directory) addDeployed(m ids.Model, w ids.WeightsVersion, n int) {
	if m == "" {
		return
	}
	key := platform.Deployed{Model: m, Weights: w}
	if d.deployed[key] += n; d.deployed[key] <= 0 {
		delete(d.deployed, key)
	}
}

func (d *directory) service(service string) *serviceReplicas {
	m := d.services[service]
	if m == nil {
		m = &serviceReplicas{stale: true}
		d.services[service] = m
	}
	return m
}

// updateSubsets selects the subset again for each service whose replicas have changed. The caller
// holds the lock.
func (r *Replicas) updateSubsets() {
	stale := false
	for _, m := range r.directory.services {
		if m.stale {
			m.local, m.remote, stale = m.local[:0], m.remote[:0], true
		}
	}
	if !stale {
		return
	}
	for _, rec := range r.records {
		m := r.directory.service(rec.Service)
		switch {
		case !m.stale:
		case rec.FailureDomain == r.Subset.Domain:
			m.local = append(m.local, rec)
		default:
			m.remote = append(m.remote, rec)
		}
	}
	for service, m := range r.directory.services {
		if m.stale {
			m.selectSubset(r.Subset.Max)
		}
		if len(m.local)+len(m.remote) == 0 {
			delete(r.directory.services, service)
		}
	}
}

// selectSubset selects the replicas of one service with the lowest rendezvous weights for this VM:
// at most limit, or all if limit is zero. One in remoteDivisor is of another failure domain if there
// are enough of both.
func (m *serviceReplicas) selectSubset(limit int) {
	m.stale = false
	all := len(m.local) + len(m.remote)
	m.complete = limit <= 0 || all <= limit
	byWeight := func(a, b *record) int { return cmp.Compare(a.rendezvousWeight, b.rendezvousWeight) }
	slices.SortFunc(m.local, byWeight)
	slices.SortFunc(m.remote, byWeight)
	local := min(len(m.local), max(limit-limit/remoteDivisor, limit-len(m.remote)))
	remote := limit - local
	if m.complete {
		local, remote = len(m.local), len(m.remote)
	}
	m.subset = append(append(m.subset[:0], m.local[:local]...), m.remote[:remote]...)
	for _, rec := range m.local[local:] {
		rec.inSubset = false
	}
	for _, rec := range m.remote[remote:] {
		rec.inSubset = false
	}
	for _, rec := range m.subset {
		rec.inSubset = true
	}
}

// active yields the active replicas, some of them more than once. The caller holds the lock.
func (r *Replicas) active() iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for _, m := range r.directory.services {
			for _, rec := range m.subset {
				if !yield(rec) {
					return
				}
			}
		}
		for id := range r.directory.pinned {
			if rec := r.records[id]; rec != nil && !yield(rec) {
				return
			}
		}
		for id := range r.directory.rendezvous {
			if rec := r.records[id]; rec != nil && r.isActive(id, rec) && !yield(rec) {
				return
			}
		}
	}
}

// isActive reports whether a replica is in the subset, pinned, or a recent rendezvous target. The
// caller holds the lock.
func (r *Replicas) isActive(id ids.Target, rec *record) bool {
	if rec.inSubset || r.directory.pinned[id] {
		return true
	}
	at, ok := r.directory.rendezvous[id]
	return ok && clock.Since(at) < rendezvousTTL
}

// Pin makes the given replicas active regardless of the subset, since this VM reads their cache
// feeds. They replace those of the previous call.
func (r *Replicas) Pin(targets []ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	pinned := make(map[ids.Target]bool, len(targets))
	for _, id := range targets {
		pinned[id] = true
		rec := r.records[id]
		changed = changed || rec != nil && !r.isActive(id, rec)
	}
	r.directory.pinned = pinned
	if changed {
		r.publish()
	}
}

// AddRendezvousTargets makes the n rendezvous targets of a key active. They are chosen in the VM's
// own failure domain as long as it has replicas of the service. All VMs of the domain agree on
// them.
func (r *Replicas) AddRendezvousTargets(service string, key uint64, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.directory.services[service]
	if m == nil || m.complete {
		return
	}
	from := m.local
	if len(from) == 0 {
		from = m.remote
	}
	r.activate(r.topRendezvous(from, key, n))
}

// topRendezvous returns the n usable replicas with the highest rendezvous weight for a key.
func (r *Replicas) topRendezvous(from []*record, key uint64, n int) []*record {
	out := make([]*record, 0, n)
	weights := make([]uint64, 0, n)
	for _, rec := range from {
		if rec.State == platform.StateLeaving || rec.unreadable {
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

// expireRendezvous drops expired rendezvous targets, and the oldest beyond maxRendezvous. The caller
// holds the lock.
func (r *Replicas) expireRendezvous(now time.Time) {
	targets := r.directory.rendezvous
	for id, at := range targets {
		if now.Sub(at) >= rendezvousTTL {
			delete(targets, id)
		}
	}
	for len(targets) > maxRendezvous {
		oldest, first := ids.Target(""), now
		for id, at := range targets {
			if oldest == "" || at.Before(first) {
				oldest, first = id, at
			}
		}
		delete(targets, oldest)
	}
}

// Active returns the active replicas whose entries can be decoded and whose services are
// configured. The result is shared and must not be modified.
func (r *Replicas) Active() []platform.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.published
}

// Resolve returns the replica whose hash has the given low 32 bits.
func (r *Replicas) Resolve(short uint32) (ids.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.directory.byShortHash[short]
	return id, ok
}

// Deployed returns the versions of models' weights that replicas have, in no particular order.
func (r *Replicas) Deployed() []platform.Deployed {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]platform.Deployed, 0, len(r.directory.deployed))
	for w := range r.directory.deployed {
		out = append(out, w)
	}
	return out
}

// KnownFraction returns the fraction of a service's replicas that is in this VM's subset, 0 to 1.
func (r *Replicas) KnownFraction(service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.directory.services[service]
	if m == nil || m.complete || r.Subset.Max <= 0 {
		return 1
	}
	return float64(r.Subset.Max) / float64(max(len(m.local)+len(m.remote), 1))
}
