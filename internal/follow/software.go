package follow

import (
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/streams"
)

// Count says how many software versions of a service may have begun streams that may still go on.
type Count uint8

// The counts.
const (
	UnknownCount Count = iota
	OneVersion
	SeveralVersions
)

// StreamVersions keeps which software versions may have begun streams, over restarts of all VMs. Its methods may be called with
// locks of Replicas held.
type StreamVersions interface {
	// Lists reports whether streams may begin at a version.
	Lists(service string, v ids.SoftwareVersion) bool
	// Sole returns the only version at which streams that may still go on have begun, if there is one.
	Sole(service string) (ids.SoftwareVersion, Count)
	// Wake makes it look at the versions in use now.
	Wake()
}

// unlistedWait is how long replicas of a version that is not listed wait for it while no other version serves.
const unlistedWait = 2 * time.Second

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
	seenAt   time.Time // it was first seen
	admitted bool      // its replicas have been published
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
		c = &softwareVersion{seenAt: clock.Now()}
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

// withheld reports whether a replica may not be published yet, since its version is not listed among those at which
// streams may have begun. The caller holds the lock.
func (r *Replicas) withheld(rec *record) bool {
	if r.StreamVersions == nil {
		return false
	}
	s := r.directory.software[rec.Service]
	c := s.versions[rec.Software]
	if has, known := r.HasStreams(rec.Service); !has {
		c.admitted = c.admitted || known
		return false
	}
	c.admitted = c.admitted || r.StreamVersions.Lists(rec.Service, rec.Software) || clock.Since(c.seenAt) >= unlistedWait && !s.serves()
	return !c.admitted
}

// serves reports whether replicas of any version have been published, and are there.
func (s *softwareVersions) serves() bool {
	for _, c := range s.versions {
		if c.admitted && c.replicas > 0 {
			return true
		}
	}
	return false
}

// SoftwareInUse returns the versions that have replicas, or had some within streams.RecordTTL, by service, of services
// with streams.
func (r *Replicas) SoftwareInUse() map[string][]ids.SoftwareVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]ids.SoftwareVersion{}
	for service, s := range r.directory.software {
		if has, _ := r.HasStreams(service); !has {
			continue
		}
		s.forgetGone()
		for v := range s.versions {
			out[service] = append(out[service], v)
		}
	}
	return out
}

// SoleSoftware returns the software version at which each stream of a service has begun that may still go on. ok is false
// if it may have been one of several, or is not known.
func (r *Replicas) SoleSoftware(service string) (v ids.SoftwareVersion, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.directory.software[service]
	if s == nil {
		return "", false
	}
	if r.StreamVersions == nil {
		return s.sole()
	}
	v, count := r.countVersions(service, s)
	return v, count == OneVersion
}

// countVersions combines what this VM has seen of a service with what is listed. The caller holds the lock.
func (r *Replicas) countVersions(service string, s *softwareVersions) (ids.SoftwareVersion, Count) {
	seen, sole := s.sole()
	if len(s.versions) > 1 {
		return "", SeveralVersions
	}
	if r.StreamVersions != nil {
		listed, count := r.StreamVersions.Sole(service)
		switch {
		case count == SeveralVersions || count == OneVersion && sole && listed != seen:
			return "", SeveralVersions
		case count == OneVersion && sole:
			return seen, OneVersion
		}
	}
	if !sole || clock.Since(s.since) < streams.RecordTTL {
		return "", UnknownCount
	}
	return seen, OneVersion
}

// sole returns the only version that this VM has seen; false: there are several, or none.
func (s *softwareVersions) sole() (v ids.SoftwareVersion, ok bool) {
	s.forgetGone()
	for v := range s.versions {
		return v, len(s.versions) == 1
	}
	return "", false
}

// SoleVersion returns the identifier of the version that SoleSoftware returns; streams.Several: there may be several; zero: it is not
// known. serviceHash is that of streams.ServiceHash.
func (r *Replicas) SoleVersion(serviceHash uint64) streams.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.directory.software {
		if s.hash != serviceHash {
			continue
		}
		switch v, count := r.countVersions(service, s); count {
		case OneVersion:
			return streams.VersionOf(service, v)
		case SeveralVersions:
			return streams.Several
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
