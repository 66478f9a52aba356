package versionlog

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/streams"
)

const (
	// roundEvery is the longest pause between two checks, and maxPause the longest after which what was seen before
	// still counts: a suspended VM sees nothing.
	roundEvery = time.Second
	maxPause   = 5 * roundEvery
	// unusedFor is how long a version must have been unused before it is removed: until no VM lets streams begin there unless it
	// is listed, also one that has heard of the version's end and return later than this VM.
	unusedFor = streams.RecordTTL + 10*time.Second
	// firstWriters is the number of VMs that write at once; the others wait for it for lateWriters and a random time up to
	// lateSpread.
	firstWriters = 1
	lateWriters  = 300 * time.Millisecond
	lateSpread   = time.Second
	// retryPause is the pause after a write that failed.
	retryPause = 200 * time.Millisecond
	// writeTimeout bounds a write with the read that follows if it failed.
	writeTimeout = 2 * time.Second
)

// Wake makes Run check the versions now.
func (l *Log) Wake() {
	select {
	case l.wakeChannel() <- struct{}{}:
	default: // a wake-up is pending
	}
}

func (l *Log) wakeChannel() chan struct{} {
	l.wakeOnce.Do(func() { l.wake = make(chan struct{}, 1) })
	return l.wake
}

// Run writes the objects when versions come or go, until ctx ends.
func (l *Log) Run(ctx context.Context) {
	wake := l.wakeChannel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	delay := rand.N(lateSpread)
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		timer.Reset(l.round(ctx, delay))
	}
}

// round makes the writes that are due and returns the time until the next round. delay is the VM's random part of the time by
// which it leaves writes to others.
func (l *Log) round(ctx context.Context, delay time.Duration) time.Duration {
	if l.Rank() < firstWriters {
		delay = 0
	} else {
		delay += lateWriters
	}
	next := roundEvery
	for _, w := range l.wanted(l.Now()) {
		if wait := delay - l.Now().Sub(w.since); wait > 0 {
			next = min(next, wait)
			continue
		}
		if err := l.write(ctx, w); err != nil {
			l.Log.State("stream-versions-not-written").Str("service", w.entry.Service).Str("error", err.Error()).Send()
			next = min(next, retryPause)
		}
	}
	return next
}

// wanted is an object that is to be written.
type wanted struct {
	entry   entry
	version objectapi.Revision // on condition of which; zero: it is created
	since   time.Time          // when it became due
}

// wanted returns the objects that are to be written.
func (l *Log) wanted(at time.Time) (out []wanted) {
	inUse := l.InUse()
	trusted, known := l.NoOthers()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed || !known {
		return nil
	}
	if at.Sub(l.checked) > maxPause {
		l.forgetUnused()
	}
	l.checked = at
	for name := range inUse {
		l.service(name)
	}
	for name, s := range l.services {
		e := s.known(name, l.era, trusted)
		e.add(inUse[name])
		s.dropUnused(&e, inUse[name], at)
		if s.version != 0 && e.equal(&s.stored) || s.version == 0 && len(e.Versions) == 0 {
			s.lackingSince = time.Time{}
			continue
		}
		if s.lackingSince.IsZero() {
			s.lackingSince = at
		}
		out = append(out, wanted{entry: e, version: s.version, since: s.lackingSince})
	}
	return out
}

// known returns what is known of the versions of a service, as an object of an era. trusted says that no VM has
// ever run that did not list versions.
func (s *service) known(name string, era objectapi.Era, trusted bool) entry {
	e := entry{Service: name, Versions: slices.Clone(s.stored.Versions), Unknown: s.stored.Unknown, Era: era}
	if s.version != 0 && s.stored.Era == era {
		return e
	}
	switch {
	case s.earlier != nil:
		e.add(s.earlier.Versions)
		e.Unknown = s.earlier.Unknown
	default:
		e.Unknown = era != 0 || s.version != 0 || !trusted
	}
	return e
}

// dropUnused removes the versions that have been unused for unusedFor.
func (s *service) dropUnused(e *entry, inUse []ids.SoftwareVersion, at time.Time) {
	if s.unused == nil {
		s.unused = map[ids.SoftwareVersion]time.Time{}
	}
	if s.unknownSince.IsZero() {
		s.unknownSince = at
	}
	e.Unknown = e.Unknown && at.Sub(s.unknownSince) < unusedFor
	e.Versions = slices.DeleteFunc(e.Versions, func(v ids.SoftwareVersion) bool {
		since, unused := s.unused[v]
		switch {
		case slices.Contains(inUse, v):
			delete(s.unused, v)
			return false
		case !unused:
			s.unused[v] = at
			return false
		}
		return at.Sub(since) >= unusedFor
	})
}

// write writes one object. If that fails it reads the object, which another VM may have written.
func (l *Log) write(ctx context.Context, w wanted) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(w.entry)
	if err != nil {
		return err
	}
	o := objectapi.Object{Key: Prefix + w.entry.Service, Value: value}
	if w.version == 0 {
		o.Version, err = l.Store.Create(ctx, o.Key, value)
	} else {
		o.Version, err = l.Store.Update(ctx, o.Key, value, w.version)
	}
	if err != nil {
		if errors.Is(err, objectapi.ErrUnavailable) {
			return err
		}
		var getErr error
		if o, getErr = l.Store.Get(ctx, o.Key); getErr != nil {
			return errors.Join(err, getErr)
		}
	} else {
		l.Log.State("stream-versions").Str("service", w.entry.Service).Interface("versions", w.entry.Versions).Bool("unknown", w.entry.Unknown).Send()
	}
	l.mu.Lock()
	l.apply(&o)
	l.mu.Unlock()
	l.OnChange()
	return nil
}
