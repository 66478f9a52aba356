// Package versionlog keeps, in the platform's store, which software versions of each service may have begun
// streams that callers may still take up. It outlives the processes of all VMs.
//
// # Protocol
//
// The store holds one object per service. A version is added before a VM lets a stream begin there
// (follow.Replicas withholds its replicas until then), and removed by a VM that has itself seen it unused for
// streams.RecordTTL. Objects are written only when versions come or go, on condition of their revision, and all VMs
// follow them.
//
// # Invariants
//
//   - If an object of the store's current era lists one version and is not marked as Unknown, each stream that
//     may still go on began at that version, or at one that was served unlisted (see below).
//   - An object of an earlier era proves nothing: the store has come back from a copy that may lack a version. A VM that
//     knew the object before writes what it knew; any other VM marks it as Unknown.
//   - A first object is marked as Unknown if VMs of releases without this package may have run.
//   - The copy of a VM that is out of step lacks what came meanwhile. What depends on that calls Refresh first.
//
// # Known limits
//
// A version that can't be listed, since the store does not answer, is served after a while if no other version has
// replicas. If then all VMs are killed, the version leaves and an older one comes back, the streams of the
// former count as those of the latter.
package versionlog

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Prefix is the key prefix of the objects in the store.
const Prefix = "stream-versions/"

// entry is the stored object of one service.
type entry struct {
	Service  string                `json:"service"`
	Versions []ids.SoftwareVersion `json:"versions"` // sorted
	// Unknown says that streams may have begun at versions that are not listed.
	Unknown bool `json:"unknown,omitempty"`
	// Era is the store's era in which the object was written.
	Era objectapi.Era `json:"era,omitempty"`
}

// equal reports whether two entries say the same.
func (e *entry) equal(o *entry) bool {
	return e.Unknown == o.Unknown && e.Era == o.Era && slices.Equal(e.Versions, o.Versions)
}

// add adds versions that are not listed.
func (e *entry) add(versions []ids.SoftwareVersion) {
	for _, v := range versions {
		if i, found := slices.BinarySearch(e.Versions, v); !found {
			e.Versions = slices.Insert(e.Versions, i, v)
		}
	}
}

// Log is one VM's copy of the objects, and its part in writing them. Set the exported fields before the first call. Safe
// for concurrent use.
type Log struct {
	Store objectapi.Store
	// InUse returns the versions that have replicas, or had some within streams.RecordTTL, by service. Services without
	// streams that callers may take up are left out.
	InUse func() map[string][]ids.SoftwareVersion
	// NoOthers reports whether no VM has ever run that did not list versions; known is false before the list of VMs was read.
	NoOthers func() (noOthers, known bool)
	// Rank returns the number of live VMs that precede this one in writing objects.
	Rank func() int
	// ReadPause returns the time between two reads of an object on behalf of Refresh.
	ReadPause func() time.Duration
	// OnChange is called when an object has changed, without a lock held.
	OnChange func()
	// Now returns the time, on a clock that counts suspensions of the VM.
	Now func() time.Time
	Log *eventlog.Log

	mu       sync.Mutex
	listed   bool
	era      objectapi.Era
	services map[string]*service
	checked  time.Time // of the latest round
	wakeOnce sync.Once
	wake     chan struct{} // has a value if Run has something to do
}

// service is what a VM knows of one service.
type service struct {
	stored  entry
	version objectapi.Revision // of the object; zero: the store has none
	// earlier is what this VM knew in the store's previous era; nil: nothing.
	earlier *entry
	// unused says since when versions have been unused, and unknownSince since when this VM has seen all of them.
	unused       map[ids.SoftwareVersion]time.Time
	unknownSince time.Time
	lackingSince time.Time // the object has lacked a version, or been of an earlier era; zero: it is complete
	next         *read     // that calls of Refresh wait for, not yet sent; nil: none
	reading      bool      // a goroutine sends reads
}

var (
	_ follow.Handler        = (*Log)(nil)
	_ follow.OutageHandler  = (*Log)(nil)
	_ follow.StreamVersions = (*Log)(nil)
)

// Listed implements follow.Handler.
func (l *Log) Listed(objects []objectapi.Object, at follow.At, _ bool) {
	l.mu.Lock()
	if l.services == nil {
		l.services = map[string]*service{}
	}
	newEra := l.listed && at.Revision.Era() > l.era
	l.listed, l.era = true, max(l.era, at.Revision.Era())
	for _, s := range l.services {
		if newEra || s.version != 0 {
			s.forgetStored()
		}
	}
	for i := range objects {
		l.apply(&objects[i])
	}
	l.mu.Unlock()
	l.changed()
}

// forgetStored keeps what the object said as what this VM knew.
func (s *service) forgetStored() {
	if s.version != 0 {
		known := s.stored
		s.earlier = &known
	}
	s.stored, s.version = entry{}, 0
}

// Changed implements follow.Handler.
func (l *Log) Changed(events []objectapi.Object, _ follow.At) {
	l.mu.Lock()
	for i := range events {
		l.apply(&events[i])
	}
	l.mu.Unlock()
	l.changed()
}

// Unchanged implements follow.Handler.
func (l *Log) Unchanged(follow.At) {}

// Unavailable implements follow.OutageHandler: what happens during an outage is not seen.
func (l *Log) Unavailable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetUnused()
}

// forgetUnused restarts the times for which versions have been unused. The caller holds the lock.
func (l *Log) forgetUnused() {
	for _, s := range l.services {
		s.unused, s.unknownSince = nil, time.Time{}
	}
}

// changed makes this VM act on a change.
func (l *Log) changed() {
	l.Wake()
	l.OnChange()
}

// apply applies an object unless a later one is known. The caller holds the lock.
func (l *Log) apply(o *objectapi.Object) {
	var e entry
	if err := decode(o, &e); err != nil {
		l.Log.State("stream-versions-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
		return
	}
	s := l.service(e.Service)
	switch {
	case o.Version < s.version || o.Version.Era() < l.era:
	case o.Deleted:
		s.forgetStored()
	default:
		s.stored, s.version = e, o.Version
	}
}

func decode(o *objectapi.Object, e *entry) error {
	if o.Deleted {
		e.Service = o.Key[len(Prefix):]
		return nil
	}
	if err := json.Unmarshal(o.Value, e); err != nil {
		return eris.Wrap(err, "decode versions of streams")
	}
	slices.Sort(e.Versions)
	return nil
}

// service returns what is known of a service. The caller holds the lock.
func (l *Log) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}

// Ready reports whether the objects have been read.
func (l *Log) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// current returns the object of a service if it is of the store's current era. The caller holds the lock.
func (l *Log) current(name string) *entry {
	s := l.services[name]
	if s == nil || s.version == 0 || s.stored.Era != l.era {
		return nil
	}
	return &s.stored
}

// Lists implements follow.StreamVersions.
func (l *Log) Lists(name string, v ids.SoftwareVersion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.current(name)
	return e != nil && slices.Contains(e.Versions, v)
}

// Sole implements follow.StreamVersions.
func (l *Log) Sole(name string) (ids.SoftwareVersion, follow.Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.current(name)
	switch {
	case e == nil || e.Unknown && len(e.Versions) < 2 || len(e.Versions) == 0:
		return "", follow.UnknownCount
	case len(e.Versions) > 1:
		return "", follow.SeveralVersions
	}
	return e.Versions[0], follow.OneVersion
}

// Several reports whether the streams of any service may have begun at several versions.
func (l *Log) Several() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if e := l.current(name); s.version != 0 && (e == nil || e.Unknown || len(e.Versions) > 1) {
			return true
		}
	}
	return false
}
