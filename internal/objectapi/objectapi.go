// Package objectapi is threadwall's view of the platform's object API: small
// versioned values, conditional writes and watches.
//
// A write can end in three ways, and callers must tell them apart:
//
//   - nil error: the write took effect.
//   - ErrConflict, ErrExists, ErrNotFound, ErrUnavailable, ErrOverBudget: it
//     did not and never will.
//   - ErrAmbiguous: the answer was lost; the write may have taken effect, or
//     may still do so. ResolveCreate and ResolveUpdate read back to find out.
package objectapi

import (
	"context"
	"errors"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

// MaxValueBytes is the largest value that the platform takes.
const MaxValueBytes = 1 << 20

// Revision orders all writes of the store. An object's Version is the revision
// of its last write.
type Revision uint64

// Object is one stored value.
type Object struct {
	Key     string   `json:"key"`
	Value   []byte   `json:"value,omitempty"`
	Version Revision `json:"version"`
	Deleted bool     `json:"deleted,omitempty"` // only in watch events
	// Created is the revision at which the object was created; zero: the store does not say.
	Created Revision `json:"created,omitempty"`
	// Status is what the system says of an operator's object; empty: nothing.
	Status []byte `json:"status,omitempty"`
}

// StatusStore writes the status of objects that operators write.
type StatusStore interface {
	// UpdateStatus replaces an object's status if it still has the given version.
	UpdateStatus(ctx context.Context, key string, status []byte, version Revision) (Revision, error)
}

// Errors that a Store returns, possibly wrapped.
var (
	ErrNotFound    = errors.New("object not found")
	ErrExists      = errors.New("object exists")
	ErrConflict    = errors.New("version conflict")
	ErrUnavailable = errors.New("store unavailable, request not applied")
	ErrAmbiguous   = errors.New("answer lost, write may have taken effect")
	ErrOverBudget  = errors.New("call budget used up, request not sent")
	ErrCompacted   = errors.New("watch start is too old, list again")
	// ErrOverwritten joins ErrExists or ErrConflict when an answer was lost before:
	// the object is another's now, but ours may have been there in between. Where
	// nobody else changes an object that is ours (claims, leases), it was not.
	ErrOverwritten = errors.New("another's object is in place, ours may have been there before")
)

// Store is the object API. Implementations: Client (HTTP) and Memory.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix, by key, and the
	// store's revision at that moment.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Create writes a new object or returns ErrExists.
	Create(ctx context.Context, key string, value []byte) (Revision, error)
	// Update replaces an object if it still has the given version.
	Update(ctx context.Context, key string, value []byte, version Revision) (Revision, error)
	// Delete removes an object if it still has the given version.
	Delete(ctx context.Context, key string, version Revision) error
	// Watch waits for changes after a revision under prefix and returns them
	// with the revision they lead to. It returns no events when the wait ends
	// without a change, and ErrCompacted when after is too old.
	Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error)
}

// resolvePause is the wait before the second read-back; it doubles.
const resolvePause = 20 * time.Millisecond

// resolveTries bounds read-backs after a lost answer.
const resolveTries = 3

// ResolveCreate creates an object and reads back a lost answer. mine tells
// whether a stored value is the one that this call wrote; it must compare
// something unique to the call, such as a one-use attempt. On ErrExists the
// existing object is returned beside the error.
//
// If the read-back finds nothing, the first write may still be under way, so
// the same value is written again: whichever copy lands, it is recognised as
// ours. ErrAmbiguous is returned only when the tries run out.
func ResolveCreate(ctx context.Context, s Store, key string, value []byte, mine func([]byte) bool) (Object, error) {
	return resolve(ctx, s, key, mine, ErrExists, func() (Object, error) {
		v, err := s.Create(ctx, key, value)
		return Object{Key: key, Value: value, Version: v}, err
	}, func(Object) bool { return false })
}

// ResolveUpdate updates an object and reads back a lost answer. mine is as in
// ResolveCreate. On ErrConflict the current object is returned beside the error.
func ResolveUpdate(ctx context.Context, s Store, key string, value []byte, version Revision, mine func([]byte) bool) (Object, error) {
	return resolve(ctx, s, key, mine, ErrConflict, func() (Object, error) {
		v, err := s.Update(ctx, key, value, version)
		return Object{Key: key, Value: value, Version: v}, err
	}, func(o Object) bool { return o.Version == version })
}

// resolve repeats a conditional write until its effect is known. untouched tells
// whether a stored object is still the one that the write is to replace.
//
// Repeating is safe: of all copies of one conditional write at most one takes
// effect, since it changes the version that the others ask for. lost is the error
// when another's object is found in the write's place.
func resolve(ctx context.Context, s Store, key string, mine func([]byte) bool, lost error, write func() (Object, error), untouched func(Object) bool) (Object, error) {
	sent := false // a copy of the write may be stored or under way
	for try := range resolveTries {
		o, err := write()
		switch {
		case err == nil:
			return o, nil
		case errors.Is(err, ErrAmbiguous):
			sent = true
		case !errors.Is(err, ErrExists) && !errors.Is(err, ErrConflict) && !sent:
			return Object{}, err
		}
		current, gerr := s.Get(ctx, key)
		switch {
		case gerr == nil && mine(current.Value):
			return current, nil
		case gerr == nil && !untouched(current) && sent:
			return current, errors.Join(lost, ErrOverwritten)
		case gerr == nil && !untouched(current):
			return current, lost
		case errors.Is(gerr, ErrNotFound) && errors.Is(err, ErrConflict):
			return Object{}, ErrConflict // deleted by somebody else
		case gerr != nil && !sent && !errors.Is(gerr, ErrNotFound):
			// Somebody else's object is in the way and can't be read.
			return Object{}, errors.Join(ErrUnavailable, gerr)
		}
		if !timing.Sleep(ctx, resolvePause<<try) {
			break
		}
	}
	return Object{}, ErrAmbiguous
}

// waitKey is the key of a context's wait.
type waitKey struct{}

// WithWait bounds how long a watch under ctx waits on the server for a change. A
// store may ignore it.
func WithWait(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, d)
}

type staleKey struct{}

// WithStale lets lists under ctx be some seconds old, where the store has a cheaper answer
// for that. A store may ignore it.
func WithStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// MayBeStale tells whether lists under ctx may be old.
func MayBeStale(ctx context.Context) bool {
	stale, _ := ctx.Value(staleKey{}).(bool)
	return stale
}

// WaitOf returns the wait that ctx asks for, or def.
func WaitOf(ctx context.Context, def time.Duration) time.Duration {
	if d, ok := ctx.Value(waitKey{}).(time.Duration); ok {
		return d
	}
	return def
}
