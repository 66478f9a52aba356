// Package objectapi defines the interface to the platform's object API: small
// versioned values, conditional writes and watches.
//
// A write has one of three outcomes, which callers must distinguish:
//
//   - nil error: the write took effect.
//   - ErrConflict, ErrExists, ErrNotFound, ErrUnavailable, ErrOverBudget: the
//     write did not take effect and never will, unless the error is joined with
//     ErrOverwritten.
//   - ErrAmbiguous: the response was lost; the write may have taken effect, or
//     may still do so. ResolveCreate and ResolveUpdate read back to find out.
package objectapi

import (
	"context"
	"errors"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

// MaxValueBytes is the largest size of a value that the platform accepts.
const MaxValueBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Key     string   `json:"key"`
	Value   []byte   `json:"value,omitempty"`
	Version Revision `json:"version"`
	Deleted bool     `json:"deleted,omitempty"` // set only in watch events
	// Created is the revision at which the object was created; zero: not reported by the store.
	Created Revision `json:"created,omitempty"`
	// Status is the status that threadwall writes to an operator's object; empty: none.
	Status []byte `json:"status,omitempty"`
}

// StatusStore writes the status of objects that operators write.
type StatusStore interface {
	// UpdateStatus replaces an object's status if the object still has the given
	// version, and returns ErrConflict otherwise.
	UpdateStatus(ctx context.Context, key string, status []byte, version Revision) (Revision, error)
}

// EraNotifier is a Store that reports eras.
type EraNotifier interface {
	// NotifyEra has f called with each era that is higher than all that earlier responses named,
	// including the first. Call it before the first call to the store.
	NotifyEra(f func(Era))
}

// Errors that a Store returns, possibly wrapped.
var (
	ErrNotFound    = errors.New("object not found")
	ErrExists      = errors.New("object exists")
	ErrConflict    = errors.New("version conflict")
	ErrUnavailable = errors.New("store unavailable, request not applied")
	ErrAmbiguous   = errors.New("response lost, write may have taken effect")
	ErrOverBudget  = errors.New("call budget used up, request not sent")
	ErrCompacted   = errors.New("watch start is too old, list again")
	// ErrOverwritten is joined with ErrExists or ErrConflict if an earlier response was
	// lost: the object now holds another writer's value, but this call's value may have
	// been stored before. This can't happen with objects that only their owner changes
	// (claims, leases).
	ErrOverwritten = errors.New("object holds another writer's value, write may have taken effect before")
)

// Store is the object API. In this package, Client implements it over HTTP and Memory in process;
// CountingStore wraps another Store.
type Store interface {
	// Get returns one object or ErrNotFound. With ErrNotFound, the Version of the returned object has
	// the era in which the object was missing.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix, sorted by key, and the
	// store's revision at the time of the read.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Create writes a new object or returns ErrExists.
	Create(ctx context.Context, key string, value []byte) (Revision, error)
	// Update replaces an object if it still has the given version, and returns
	// ErrConflict otherwise. It returns ErrAmbiguous if the store has come back from an older copy
	// in the meantime and another write has been given the same number.
	Update(ctx context.Context, key string, value []byte, version Revision) (Revision, error)
	// Delete removes an object if it still has the given version, and returns
	// ErrConflict or ErrNotFound otherwise.
	Delete(ctx context.Context, key string, version Revision) error
	// Watch waits for changes after a revision under prefix and returns them with the
	// revision up to which they are complete. It returns no events if the wait ends
	// without a change, and ErrCompacted if after is too old, or of an earlier era than the store.
	Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error)
}

// resolveBackoff is the wait before the second attempt; it doubles with each attempt.
const resolveBackoff = 20 * time.Millisecond

// maxResolveAttempts bounds the attempts to write and read back.
const maxResolveAttempts = 3

// ResolveCreate creates an object and, if the response is lost, reads back whether
// the write took effect. mine reports whether a stored value is the one that this call
// wrote; it must compare something unique to the call, such as an attempt ID that is
// used once. With ErrExists, ResolveCreate also returns the existing object.
//
// If the read-back finds no object, the first write may still be in transit.
// ResolveCreate then writes the same value again: mine recognises whichever copy takes
// effect. It returns ErrAmbiguous only when the attempts are used up.
func ResolveCreate(ctx context.Context, s Store, key string, value []byte, mine func([]byte) bool) (Object, error) {
	return resolve(ctx, s, key, mine, ErrExists, func() (Object, error) {
		v, err := s.Create(ctx, key, value)
		return Object{Key: key, Value: value, Version: v}, err
	}, func(Object) bool { return false })
}

// ResolveUpdate updates an object and, if the response is lost, reads back whether the
// write took effect. mine is as in ResolveCreate. With ErrConflict, ResolveUpdate also
// returns the current object.
func ResolveUpdate(ctx context.Context, s Store, key string, value []byte, version Revision, mine func([]byte) bool) (Object, error) {
	return resolve(ctx, s, key, mine, ErrConflict, func() (Object, error) {
		v, err := s.Update(ctx, key, value, version)
		return Object{Key: key, Value: value, Version: v}, err
	}, func(o Object) bool { return o.Version == version })
}

// resolve repeats a conditional write until its effect is known. untouched reports
// whether a stored object is still the one that the write is to replace. conflict is the
// error if another writer's object is found in its place.
//
// Repeating is safe: of all copies of one conditional write at most one takes effect,
// since it changes the version that the others require.
func resolve(ctx context.Context, s Store, key string, mine func([]byte) bool, conflict error, write func() (Object, error), untouched func(Object) bool) (Object, error) {
	sent := false // a copy of the write may be stored or in transit
	for attempt := range maxResolveAttempts {
		o, err := write()
		switch {
		case err == nil:
			return o, nil
		case errors.Is(err, ErrAmbiguous):
			sent = true
		case !errors.Is(err, ErrExists) && !errors.Is(err, ErrConflict) && !sent:
			return Object{}, err
		}
		current, getErr := s.Get(ctx, key)
		switch {
		case getErr == nil && mine(current.Value):
			return current, nil
		case getErr == nil && !untouched(current) && sent:
			return current, errors.Join(conflict, ErrOverwritten)
		case getErr == nil && !untouched(current):
			return current, conflict
		case errors.Is(getErr, ErrNotFound) && errors.Is(err, ErrConflict):
			return Object{}, ErrConflict // deleted by another writer
		case getErr != nil && !sent && !errors.Is(getErr, ErrNotFound):
			// Another writer's object is in place and can't be read.
			return Object{}, errors.Join(ErrUnavailable, getErr)
		}
		if !timing.Sleep(ctx, resolveBackoff<<attempt) {
			break
		}
	}
	return Object{}, ErrAmbiguous
}

// waitKey is the context key of a watch's longest wait.
type waitKey struct{}

// WithWait returns a context under which a watch waits on the server for a change for at
// most d. A store may ignore it.
func WithWait(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, d)
}

// staleKey is the context key that allows stale lists.
type staleKey struct{}

// WithStale returns a context under which a list may be some seconds old, for stores that
// serve stale lists at a lower cost. A store may ignore it.
func WithStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// MayBeStale reports whether lists under ctx may be stale.
func MayBeStale(ctx context.Context) bool {
	stale, _ := ctx.Value(staleKey{}).(bool)
	return stale
}

// WaitOf returns the wait set by WithWait, or def if there is none.
func WaitOf(ctx context.Context, def time.Duration) time.Duration {
	if d, ok := ctx.Value(waitKey{}).(time.Duration); ok {
		return d
	}
	return def
}
