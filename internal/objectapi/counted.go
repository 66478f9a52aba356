package objectapi

import (
	"context"
	"strings"

	"github.com/threadwall/threadwall/internal/tally"
)

// Counted counts the calls to a store by method and kind of key: each call has its price.
// Safe for concurrent use.
type Counted struct {
	Store
	tally.Counts
}

var (
	_ Store       = (*Counted)(nil)
	_ StatusStore = (*Counted)(nil)
)

// count notes one call. Keys begin with their kind, and there are few kinds.
func (c *Counted) count(method, key string) {
	kind, _, _ := strings.Cut(key, "/")
	c.Add(method + " " + kind)
}

// Get implements Store.
func (c *Counted) Get(ctx context.Context, key string) (Object, error) {
	c.count("get", key)
	return c.Store.Get(ctx, key)
}

// List implements Store. A list of several pages counts as one call.
func (c *Counted) List(ctx context.Context, prefix string) ([]Object, Revision, error) {
	c.count("list", prefix)
	return c.Store.List(ctx, prefix)
}

// Create implements Store.
func (c *Counted) Create(ctx context.Context, key string, value []byte) (Revision, error) {
	c.count("create", key)
	return c.Store.Create(ctx, key, value)
}

// Update implements Store.
func (c *Counted) Update(ctx context.Context, key string, value []byte, version Revision) (Revision, error) {
	c.count("update", key)
	return c.Store.Update(ctx, key, value, version)
}

// Delete implements Store.
func (c *Counted) Delete(ctx context.Context, key string, version Revision) error {
	c.count("delete", key)
	return c.Store.Delete(ctx, key, version)
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error) {
	c.count("watch", prefix)
	return c.Store.Watch(ctx, prefix, after)
}

// UpdateStatus implements StatusStore, where the store does.
func (c *Counted) UpdateStatus(ctx context.Context, key string, status []byte, version Revision) (Revision, error) {
	c.count("status", key)
	w, ok := c.Store.(StatusStore)
	if !ok {
		return 0, ErrUnavailable
	}
	return w.UpdateStatus(ctx, key, status, version)
}
