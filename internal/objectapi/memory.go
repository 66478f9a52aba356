package objectapi

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
)

// watchHistory is the largest number of changes that Memory keeps for watches.
const watchHistory = 4096

// Memory is an in-process Store for tests and for the lab's simulated store server.
// It is linearizable and never loses a call; wrap it to inject faults. Safe for
// concurrent use.
type Memory struct {
	mu      sync.Mutex
	rev     Revision
	objects map[string]Object
	history []Object
	changed chan struct{} // closed and replaced at each change
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{Version: StartOf(m.rev.Era())}, ErrNotFound
	}
	return m.inEra(o), nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Object, Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Object
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, m.inEra(o))
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
	return out, m.rev, nil
}

// Create implements Store.
func (m *Memory) Create(_ context.Context, key string, value []byte) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.objects[key]; ok {
		return 0, ErrExists
	}
	return m.put(Object{Key: key, Value: bytes.Clone(value)}), nil
}

// Update implements Store. Like a remote store it compares numbers, whatever their eras.
func (m *Memory) Update(_ context.Context, key string, value []byte, version Revision) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, ok := m.objects[key]; !ok || o.Version.Number() != version.Number() {
		return 0, ErrConflict
	}
	rev := m.put(Object{Key: key, Value: bytes.Clone(value)})
	if version.Era() != rev.Era() {
		return 0, ErrAmbiguous
	}
	return rev, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, key string, version Revision) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return ErrNotFound
	}
	if o.Version.Number() != version.Number() {
		return ErrConflict
	}
	m.put(Object{Key: key, Deleted: true})
	return nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after Revision) ([]Object, Revision, error) {
	for {
		events, rev, wait, err := m.since(prefix, after)
		if err != nil || len(events) > 0 {
			return events, rev, err
		}
		select {
		case <-ctx.Done():
			return nil, rev, nil
		case <-wait:
		}
	}
}

// since returns the changes after a revision under prefix, the current revision and the
// channel that the next change closes.
func (m *Memory) since(prefix string, after Revision) ([]Object, Revision, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era() != m.rev.Era() || uint64(m.rev-min(after, m.rev)) > uint64(len(m.history)) {
		return nil, m.rev, nil, ErrCompacted
	}
	var events []Object
	for _, o := range m.history {
		if o = m.inEra(o); o.Version > after && strings.HasPrefix(o.Key, prefix) {
			events = append(events, o)
		}
	}
	return events, m.rev, m.changed, nil
}

// Snapshot is a copy of a Memory at one moment.
type Snapshot struct {
	rev     Revision
	objects map[string]Object
	history []Object
}

// Snapshot copies the store's contents.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{rev: m.rev, objects: maps.Clone(m.objects), history: slices.Clone(m.history)}
}

// Restore replaces the store's contents by an earlier copy, as after the loss of all later writes.
// Numbers of revisions count on from the copy, in a new era.
func (m *Memory) Restore(c Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rev = StartOf(m.rev.Era()+1) + Revision(c.rev.Number())
	m.objects, m.history = maps.Clone(c.objects), slices.Clone(c.history)
	close(m.changed)
	m.changed = make(chan struct{})
}

// inEra returns an object with its version in the current era. The caller holds the lock.
func (m *Memory) inEra(o Object) Object {
	o.Version = StartOf(m.rev.Era()) + Revision(o.Version.Number())
	return o
}

// put applies one change. The caller holds the lock.
func (m *Memory) put(o Object) Revision {
	m.rev++
	o.Version = m.rev
	if o.Deleted {
		delete(m.objects, o.Key)
	} else {
		m.objects[o.Key] = o
	}
	m.history = append(m.history, o)
	if len(m.history) > watchHistory {
		m.history = slices.Clone(m.history[watchHistory/2:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.rev
}
