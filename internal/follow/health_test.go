package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/timing"
)

// silentStore answers lists. Its watches do not return until they are cancelled, except that a send
// on fail makes a watch of prefix broken fail.
type silentStore struct {
	objectapi.Store
	broken string
	fail   chan struct{}

	mu      sync.Mutex
	lists   map[string]int
	watches map[string]int
}

func (s *silentStore) List(_ context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[prefix]++
	return nil, 7, nil
}

func (s *silentStore) Watch(ctx context.Context, prefix string, _ objectapi.Revision) ([]objectapi.Object, objectapi.Revision, error) {
	s.mu.Lock()
	s.watches[prefix]++
	s.mu.Unlock()
	var fail chan struct{}
	if prefix == s.broken {
		fail = s.fail
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-fail:
		return nil, 0, errors.New("the connection broke")
	}
}

func (s *silentStore) listed(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[prefix]
}

func (s *silentStore) watched(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[prefix]
}

type noHandler struct{}

func (noHandler) Listed([]objectapi.Object, At, bool) {}
func (noHandler) Changed([]objectapi.Object, At)      {}
func (noHandler) Unchanged(At)                        {}

// TestFailedWatchMakesAllFollowersRelist guards against a watch that becomes unresponsive without
// breaking, as happened when the store dropped its history: a new version of weights stayed
// unnoticed for 6 s. When another watch fails, the unresponsive one is cancelled too.
func TestFailedWatchMakesAllFollowersRelist(t *testing.T) {
	store := &silentStore{broken: "a/", fail: make(chan struct{}), lists: map[string]int{}, watches: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	var health StoreHealth
	var wg sync.WaitGroup
	for _, prefix := range []string{"a/", "b/"} {
		f := &Follower{Store: store, Prefix: prefix, Handler: noHandler{}, Health: &health}
		wg.Go(func() { f.Run(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	await(t, func() bool { return store.listed("a/") == 1 && store.listed("b/") == 1 && store.watched("b/") == 1 })
	store.fail <- struct{}{}
	await(t, func() bool { return store.listed("b/") == 2 })
}

// unavailableStore fails all calls while lost is set.
type unavailableStore struct {
	objectapi.Store
	mu    sync.Mutex
	lost  bool
	calls int // while it was lost
}

func (s *unavailableStore) answer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		s.calls++
		return objectapi.ErrUnavailable
	}
	return nil
}

func (s *unavailableStore) List(context.Context, string) ([]objectapi.Object, objectapi.Revision, error) {
	return nil, 7, s.answer()
}

func (s *unavailableStore) Watch(ctx context.Context, _ string, _ objectapi.Revision) ([]objectapi.Object, objectapi.Revision, error) {
	if err := s.answer(); err != nil {
		return nil, 0, err
	}
	timing.Sleep(ctx, 600*time.Millisecond)
	return nil, 7, s.answer()
}

func (s *unavailableStore) set(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// TestOneFollowerProbesDuringOutage makes the store unavailable for 9 s: one of four followers
// probes it, and all continue when it is available again.
func TestOneFollowerProbesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unavailableStore{}
		ctx, cancel := context.WithCancel(t.Context())
		var health StoreHealth
		var wg sync.WaitGroup
		var handlers []*lastContact
		for _, prefix := range []string{"a/", "b/", "c/", "d/"} {
			h := &lastContact{}
			handlers = append(handlers, h)
			f := &Follower{Store: store, Prefix: prefix, Handler: h, Health: &health}
			wg.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		store.set(true)
		time.Sleep(9 * time.Second)
		store.mu.Lock()
		calls := store.calls
		store.mu.Unlock()
		if calls > 24 {
			t.Errorf("%d calls in a store outage of 9 s, want at most 24", calls)
		}
		store.set(false)
		time.Sleep(3 * time.Second)
		for i, h := range handlers {
			if age := h.age(); age > time.Second {
				t.Errorf("follower %d had its last response %v ago, want at most 1s", i, age)
			}
		}
		cancel()
		wg.Wait()
	})
}

// partlyUnavailableStore fails the lists of one key space and answers all other calls.
type partlyUnavailableStore struct {
	unavailableStore
	prefix string
}

func (s *partlyUnavailableStore) List(_ context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	if prefix == s.prefix {
		return nil, 0, objectapi.ErrUnavailable
	}
	return nil, 7, nil
}

// TestFailingKeySpaceDoesNotBlockOthers makes all lists of one key space fail, as when it is filled
// with unreadable entries: the followers of the others continue.
func TestFailingKeySpaceDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partlyUnavailableStore{prefix: "a/"}
		ctx, cancel := context.WithCancel(t.Context())
		var health StoreHealth
		var wg sync.WaitGroup
		var handlers []*lastContact
		for _, prefix := range []string{"a/", "b/", "c/"} {
			h := &lastContact{}
			handlers = append(handlers, h)
			f := &Follower{Store: store, Prefix: prefix, Handler: h, Health: &health}
			wg.Go(func() { f.Run(ctx) })
		}
		for range 10 {
			time.Sleep(3 * time.Second)
			for i, h := range handlers[1:] {
				if age := h.age(); age > 2500*time.Millisecond {
					t.Errorf("follower %d had its last response %v ago, want at most 2.5s", i+1, age)
				}
			}
		}
		cancel()
		wg.Wait()
	})
}

// lastContact records when the store last responded.
type lastContact struct {
	mu sync.Mutex
	at time.Time
}

func (h *lastContact) Listed([]objectapi.Object, At, bool) { h.Unchanged(At{}) }
func (h *lastContact) Changed([]objectapi.Object, At)      { h.Unchanged(At{}) }
func (h *lastContact) Unchanged(At) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = time.Now()
}

func (h *lastContact) age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.at)
}

func await(t *testing.T, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within 5 s")
}
