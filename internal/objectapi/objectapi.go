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

// pause waits before the next try, and tells whether there may be one.
func pause(ctx context.Context, try int) bool {
	t := time.NewTimer(resolvePause << try)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

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
	ambiguous := false
	for try := range resolveTries {
		version, err := s.Create(ctx, key, value)
		switch {
		case err == nil:
			return Object{Key: key, Value: value, Version: version}, nil
		case errors.Is(err, ErrExists):
			existing, gerr := s.Get(ctx, key)
			if gerr == nil && mine(existing.Value) {
				return existing, nil
			}
			if gerr == nil {
				return existing, err
			}
			// The object exists but can't be read now. Whether it is ours is
			// open only if one of our writes is.
			if !ambiguous {
				return Object{}, errors.Join(ErrUnavailable, gerr)
			}
		case errors.Is(err, ErrAmbiguous):
			ambiguous = true
		case !ambiguous:
			return Object{}, err
		}
		if !pause(ctx, try) {
			break
		}
	}
	return Object{}, ErrAmbiguous
}

// ResolveUpdate updates an object and reads back a lost answer. mine is as in
// ResolveCreate. On ErrConflict the current object is returned beside the error.
func ResolveUpdate(ctx context.Context, s Store, key string, value []byte, version Revision, mine func([]byte) bool) (Object, error) {
	ambiguous := false
	for try := range resolveTries {
		v, err := s.Update(ctx, key, value, version)
		switch {
		case err == nil:
			return Object{Key: key, Value: value, Version: v}, nil
		case errors.Is(err, ErrConflict):
			current, gerr := s.Get(ctx, key)
			if gerr == nil && mine(current.Value) {
				return current, nil
			}
			if gerr == nil {
				return current, err
			}
			if !ambiguous {
				return Object{}, errors.Join(ErrUnavailable, gerr)
			}
		case errors.Is(err, ErrAmbiguous):
			ambiguous = true
		case !ambiguous:
			return Object{}, err
		}
		if !pause(ctx, try) {
			break
		}
	}
	return Object{}, ErrAmbiguous
}
