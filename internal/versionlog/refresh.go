package versionlog

import (
	"context"
	"errors"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/timing"
)

// refreshTimeout bounds one read of an object.
const refreshTimeout = 500 * time.Millisecond

// read is a read of one object for all calls that wait for it when it is sent.
type read struct {
	done chan struct{} // closed when ok is set
	ok   bool
}

// Refresh reads the object of a service from the store, with a question that is sent after the call. It reports whether the store has
// answered before ctx ends, so that Sole says what it said then. Calls share reads, which are ReadPause apart.
func (l *Log) Refresh(ctx context.Context, name string) bool {
	r := l.joinRead(name)
	if r == nil {
		return false
	}
	select {
	case <-r.done:
		return r.ok
	case <-ctx.Done():
		return false
	}
}

// joinRead returns the next read of an object; nil: nothing has been read yet.
func (l *Log) joinRead(name string) *read {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed {
		return nil
	}
	s := l.service(name)
	if s.next == nil {
		s.next = &read{done: make(chan struct{})}
	}
	if !s.reading {
		s.reading = true
		go l.readWhileWanted(name, s)
	}
	return s.next
}

// readWhileWanted reads an object as long as calls wait for it.
func (l *Log) readWhileWanted(name string, s *service) {
	for r := l.takeRead(s); r != nil; r = l.takeRead(s) {
		r.ok = l.readObject(name)
		close(r.done)
		timing.Sleep(context.Background(), l.ReadPause())
	}
}

// takeRead returns the read that calls wait for; nil: none.
func (l *Log) takeRead(s *service) *read {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := s.next
	s.next, s.reading = nil, r != nil
	return r
}

// readObject reads and applies an object. It returns false if the store has not answered, or has come back from an older copy.
func (l *Log) readObject(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	o, err := l.Store.Get(ctx, Prefix+name)
	if errors.Is(err, objectapi.ErrNotFound) {
		o.Key, o.Deleted, err = Prefix+name, true, nil
	}
	if err != nil {
		return false
	}
	l.mu.Lock()
	changed := o.Version > l.service(name).version
	inEra := o.Version.Era() == l.era
	if inEra {
		l.apply(&o)
	}
	l.mu.Unlock()
	if changed {
		l.OnChange()
	}
	return inEra
}
