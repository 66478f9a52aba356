package apply

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Action is the effect of applying an object.
type Action string

// The actions.
const (
	Created   Action = "created"
	Updated   Action = "updated"
	Unchanged Action = "unchanged"
	Deleted   Action = "deleted"
)

// Change is the planned change of one object.
type Change struct {
	Kind    config.Kind        `json:"kind"`
	Name    string             `json:"name"`
	Action  Action             `json:"action"`
	Version objectapi.Revision `json:"version"` // as read by NewPlan; in the result of Run, as written
	Before  []byte             `json:"-"`
	After   []byte             `json:"-"`
}

// Plan holds the changes that write objects to the store, relative to its contents when read.
type Plan struct{ Changes []Change }

// NewPlan reads the store and plans the changes that write objects to it. It writes
// nothing. It compiles the configuration that would result and returns an error if this
// rejects an object that the stored configuration does not reject.
func NewPlan(ctx context.Context, s objectapi.Store, objects []config.Object) (*Plan, error) {
	stored, rev, err := s.List(ctx, config.Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	byKey := map[string]objectapi.Object{}
	for _, o := range stored {
		byKey[o.Key] = o
	}
	rejectedBefore := config.Compile(rev, stored).Rejected
	p := &Plan{}
	for _, o := range objects {
		c := Change{Kind: o.Kind, Name: o.Name, Action: Created, After: encode(o)}
		if old, ok := byKey[o.Key()]; ok {
			c.Action, c.Version, c.Before = Updated, old.Version, old.Value
			if bytes.Equal(old.Value, c.After) {
				c.Action = Unchanged
			}
		}
		p.Changes = append(p.Changes, c)
		byKey[o.Key()] = objectapi.Object{Key: o.Key(), Value: c.After}
	}
	return p, checkResult(rev, byKey, rejectedBefore)
}

// checkResult compiles the resulting objects and returns an error for the first key that is
// rejected now and was not before.
func checkResult(rev objectapi.Revision, byKey map[string]objectapi.Object, rejectedBefore map[string]string) error {
	var all []objectapi.Object
	for _, o := range byKey {
		all = append(all, o)
	}
	var keys []string
	rejected := config.Compile(rev, all).Rejected
	for key := range rejected {
		if _, old := rejectedBefore[key]; !old {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	slices.Sort(keys)
	return eris.Errorf("%s: %s", keys[0], rejected[keys[0]])
}

func encode(o config.Object) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return b
}

// ConflictError reports an object that another writer changed since it was read.
type ConflictError struct{ Key string }

// Error implements error.
func (e *ConflictError) Error() string {
	return e.Key + " was changed by another writer since it was read; that change is kept, review it and apply again"
}

// Run writes a plan's changes in order and stops at the first error. done holds the
// changes made until then, with their new versions.
func (p *Plan) Run(ctx context.Context, s objectapi.Store) (done []Change, err error) {
	for _, c := range p.Changes {
		if c.Action != Unchanged {
			if c.Version, err = write(ctx, s, c); err != nil {
				return done, err
			}
		}
		done = append(done, c)
	}
	return done, nil
}

func write(ctx context.Context, s objectapi.Store, c Change) (objectapi.Revision, error) {
	key := config.Key(c.Kind, c.Name)
	mine := func(stored []byte) bool { return bytes.Equal(stored, c.After) }
	var obj objectapi.Object
	var err error
	if c.Action == Created {
		obj, err = objectapi.ResolveCreate(ctx, s, key, c.After, mine)
	} else {
		obj, err = objectapi.ResolveUpdate(ctx, s, key, c.After, c.Version, mine)
	}
	if errors.Is(err, objectapi.ErrExists) || errors.Is(err, objectapi.ErrConflict) {
		return 0, &ConflictError{Key: key}
	}
	return obj.Version, eris.Wrapf(err, "write %s", key)
}

// Delete removes one object unless another object refers to it. If the object changes
// between its read and its delete, Delete returns a *ConflictError.
func Delete(ctx context.Context, s objectapi.Store, k config.Kind, name string) error {
	stored, rev, err := s.List(ctx, config.Prefix)
	if err != nil {
		return eris.Wrap(err, "read configuration")
	}
	key := config.Key(k, name)
	byKey := map[string]objectapi.Object{}
	for _, o := range stored {
		byKey[o.Key] = o
	}
	old, ok := byKey[key]
	if !ok {
		return eris.Errorf("%s/%s does not exist", k, name)
	}
	rejectedBefore := config.Compile(rev, stored).Rejected
	delete(byKey, key)
	if err := checkResult(rev, byKey, rejectedBefore); err != nil {
		return eris.Wrapf(err, "can't delete %s/%s, which is still referenced", k, name)
	}
	err = s.Delete(ctx, key, old.Version)
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return &ConflictError{Key: key}
	case errors.Is(err, objectapi.ErrAmbiguous):
		if _, getErr := s.Get(ctx, key); errors.Is(getErr, objectapi.ErrNotFound) {
			return nil
		}
	}
	return eris.Wrapf(err, "delete %s", key)
}
