package objectapi

import (
	"context"
	"strings"

	"github.com/threadwall/threadwall/internal/tally"
)

// CountingStore counts the calls to a store by method and kind of key, since each call has a
// cost. Safe for concurrent use.
type CountingStore struct {
	Store
	tally.Counts
}

var (
	_ Store       = (*CountingStore)(nil)
	_ StatusStore = (*CountingStore)(nil)
)

// count counts one call. The first segment of a key is its kind; there are few kinds.
func (c *CountingStore) count(method, key string) {
	kind, _, _ := strings.Cut(key, "/")
	c.Add(method + " " + kind)
}

// Get implements Store.
func (c *CountingStore) Get(ctx context.Context, key string) (Object, error) {
	c.count("get", key)
	return c.Store.Get(ctx, key)
}

// List implements Store. A list of several pages counts as one call.
func (c *CountingStore) List(ctx context.Context, prefix string) ([]Object, Revision, error) {
	c.count("list", prefix)
	return c.Store.List(ctx, prefix)
}

// Create implements Store.
func (c *CountingStore) Create(ctx context.Context, key string, value []byte) (Revision, error) {
	c.count("create", key)
	return c.Store.Create(ctx, key, value)
}

// Update implements Store.
func (c *CountingStore) Update(ctx context.Context, key string, value []byte, version Revision) (Revision, error) {
	c.count("update", key)
	return c.Store.Update(ctx, key, value, version)
}

// Delete implements Store.
func (c *CountingStore) Delete(ctx context.Context, key string, version Revision) error {
	c.count("delete", key)
	return c.Store.Delete(ctx, key, version)
}

// Watch implements Store.
func (c *CountingStore) Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error) {
	c.count("watch", prefix)
	return c.Store.Watch(ctx, prefix, after)
}

// UpdateStatus implements StatusStore. It returns ErrUnavailable if the wrapped store does not
// implement it.
func (c *CountingStore) UpdateStatus(ctx context.Context, key string, status []byte, version Revision) (Revision, error) {
	c.count("status", key)
	w, ok := c.Store.(StatusStore)
	if !ok {
		return 0, ErrUnavailable
	}
	return w.UpdateStatus(ctx, key, status, version)
}
