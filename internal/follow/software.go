package follow

import (
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/streams"
)

// softwareVersions are the versions of one service's software that replicas have, or had within
// streams.RecordTTL. It grows with the versions of that time.
type softwareVersions struct {
	hash     uint64    // streams.ServiceHash of the service
	since    time.Time // the first replica of the service was listed
	versions map[ids.SoftwareVersion]*softwareVersion
}

// softwareVersion counts the replicas of one version.
type softwareVersion struct {
	replicas int
	goneAt   time.Time // zero: there are replicas
}

// addSoftware adds n to the number of replicas of a service that run a software version. It reports whether the
// service has a further version now.
func (d *directory) addSoftware(service string, v ids.SoftwareVersion, n int) (further bool) {
	if d.software == nil {
		d.software = map[string]*softwareVersions{}
	}
	s := d.software[service]
	if s == nil {
		s = &softwareVersions{hash: streams.ServiceHash(service), since: clock.Now(), versions: map[ids.SoftwareVersion]*softwareVersion{}}
		d.software[service] = s
	}
	s.forgetGone()
	c := s.versions[v]
	if c == nil {
		c = &softwareVersion{}
		s.versions[v] = c
		further = len(s.versions) > 1
	}
	c.replicas += n
	c.goneAt = time.Time{}
	if c.replicas <= 0 {
		c.goneAt = clock.Now()
	}
	return further
}

// forgetGone drops the versions without replicas whose streams are over.
func (s *softwareVersions) forgetGone() {
	for v, c := range s.versions {
		if !c.goneAt.IsZero() && clock.Since(c.goneAt) > streams.RecordTTL {
			delete(s.versions, v)
		}
	}
}

// SoleSoftware returns the software version of a service's replicas if it is the only one that this VM has
// seen within streams.RecordTTL.
func (r *Replicas) SoleSoftware(service string) (v ids.SoftwareVersion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.directory.software[service]
	if s == nil {
		return "", false
	}
	return s.sole()
}

// sole returns the only version; false: there are several, or none.
func (s *softwareVersions) sole() (v ids.SoftwareVersion, ok bool) {
	s.forgetGone()
	for v := range s.versions {
		return v, len(s.versions) == 1
	}
	return "", false
}

// SoleVersion returns the identifier of the only software version of a service that this VM has seen for
// streams.RecordTTL; zero: there is none. serviceHash is that of streams.ServiceHash.
func (r *Replicas) SoleVersion(serviceHash uint64) streams.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.directory.software {
		if s.hash != serviceHash || clock.Since(s.since) < streams.RecordTTL {
			continue
		}
		if v, ok := s.sole(); ok {
			return streams.VersionOf(service, v)
		}
	}
	return 0
}

// softwareTargets is the number of replicas of a version that FindSoftware makes active.
const softwareTargets = 4

// FindSoftware returns the service, among those given, and the software version with an identifier, if replicas run it. It
// makes some of these replicas active, those with the highest rendezvous weights for key, if the subset holds few
// of them.
func (r *Replicas) FindSoftware(services []string, id streams.Version, key uint64) (service string, v ids.SoftwareVersion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range services {
		s := r.directory.software[service]
		if s == nil {
			continue
		}
		for v, c := range s.versions {
			if c.replicas > 0 && streams.VersionOf(service, v) == id {
				r.activateSoftware(service, v, key)
				return service, v, true
			}
		}
	}
	return "", "", false
}

// ActivateSoftware makes replicas of a version active as FindSoftware does.
func (r *Replicas) ActivateSoftware(service string, v ids.SoftwareVersion, key uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activateSoftware(service, v, key)
}

// activateSoftware implements ActivateSoftware. The caller holds the lock.
func (r *Replicas) activateSoftware(service string, v ids.SoftwareVersion, key uint64) {
	m := r.directory.services[service]
	if m == nil || m.complete {
		return
	}
	inSubset := 0
	var local, remote []*record
	for _, rec := range r.records {
		switch {
		case rec.Service != service || rec.Software != v || rec.State == platform.StateLeaving:
		case rec.inSubset:
			inSubset++
		case rec.FailureDomain == r.Subset.Domain:
			local = append(local, rec)
		default:
			remote = append(remote, rec)
		}
	}
	if inSubset >= softwareTargets {
		return
	}
	chosen := r.topRendezvous(local, key, softwareTargets-inSubset)
	chosen = append(chosen, r.topRendezvous(remote, key, softwareTargets-inSubset-len(chosen))...)
	r.activate(chosen)
}

// activate makes replicas beyond the subset active for rendezvousTTL. The caller holds the lock.
func (r *Replicas) activate(chosen []*record) {
	now, changed := clock.Now(), false
	for _, rec := range chosen {
		id := ids.Target(rec.ID)
		changed = changed || !r.isActive(id, rec)
		if !rec.inSubset {
			r.directory.rendezvous[id] = now
		}
	}
	if changed {
		r.expireRendezvous(now)
		r.publish()
	}
}
