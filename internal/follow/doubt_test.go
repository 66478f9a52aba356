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

// silentStore answers lists. Its watches never answer, except that those of one
// prefix fail when told to.
type silentStore struct {
	objectapi.Store
	broken string
	fail   chan struct{}

	mu    sync.Mutex
	lists map[string]int
}

func (s *silentStore) List(_ context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[prefix]++
	return nil, 7, nil
}

func (s *silentStore) Watch(ctx context.Context, prefix string, _ objectapi.Revision) ([]objectapi.Object, objectapi.Revision, error) {
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

type noHandler struct{}

func (noHandler) Listed([]objectapi.Object, At, bool) {}
func (noHandler) Changed([]objectapi.Object, At)      {}
func (noHandler) Unchanged(At)                        {}

// TestOneLostWatchMakesAllListAnew lets a watch go silent without breaking, as the
// store's did when its history was dropped (bac scale-2: a version of weights stayed
// unnoticed for 6 s). Another watch fails, so the silent one is given up, too.
func TestOneLostWatchMakesAllListAnew(t *testing.T) {
	store := &silentStore{broken: "a/", fail: make(chan struct{}), lists: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	var doubt StoreHealth
	var wg sync.WaitGroup
	for _, prefix := range []string{"a/", "b/"} {
		f := &Follower{Store: store, Prefix: prefix, Handler: noHandler{}, Health: &doubt}
		wg.Go(func() { f.Run(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	await(t, func() bool { return store.listed("a/") == 1 && store.listed("b/") == 1 })
	store.fail <- struct{}{}
	await(t, func() bool { return store.listed("b/") == 2 })
}

// lostStore answers nothing while it is lost.
type lostStore struct {
	objectapi.Store
	mu    sync.Mutex
	lost  bool
	calls int // while it was lost
}

func (s *lostStore) answer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		s.calls++
		return objectapi.ErrUnavailable
	}
	return nil
}

func (s *lostStore) List(context.Context, string) ([]objectapi.Object, objectapi.Revision, error) {
	return nil, 7, s.answer()
}

func (s *lostStore) Watch(ctx context.Context, _ string, _ objectapi.Revision) ([]objectapi.Object, objectapi.Revision, error) {
	if err := s.answer(); err != nil {
		return nil, 0, err
	}
	timing.Sleep(ctx, 600*time.Millisecond)
	return nil, 7, s.answer()
}

func (s *lostStore) set(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// TestOneAsksWhetherTheStoreIsBack takes the store away for nine seconds: of four followers
// one asks for it, and all go on when it is back.
func TestOneAsksWhetherTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lostStore{}
		ctx, cancel := context.WithCancel(t.Context())
		var doubt StoreHealth
		var wg sync.WaitGroup
		var handlers []*lastHeard
		for _, prefix := range []string{"a/", "b/", "c/", "d/"} {
			h := &lastHeard{}
			handlers = append(handlers, h)
			f := &Follower{Store: store, Prefix: prefix, Handler: h, Health: &doubt}
			wg.Go(func() { f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		store.set(true)
		time.Sleep(9 * time.Second)
		store.mu.Lock()
		calls := store.calls
		store.mu.Unlock()
		if calls > 24 {
			t.Errorf("%d calls in nine seconds without the store", calls)
		}
		store.set(false)
		time.Sleep(3 * time.Second)
		for i, h := range handlers {
			if age := h.age(); age > time.Second {
				t.Errorf("follower %d heard the store last %v ago", i, age)
			}
		}
		cancel()
		wg.Wait()
	})
}

// partlyLost answers everything but one key space.
type partlyLost struct {
	lostStore
	prefix string
}

func (s *partlyLost) List(_ context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	if prefix == s.prefix {
		return nil, 0, objectapi.ErrUnavailable
	}
	return nil, 7, nil
}

// TestOneKeySpaceHoldsUpNoOther lets the lists of one key space fail for good, as when
// somebody fills it with entries that can't be read: the others go on.
func TestOneKeySpaceHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partlyLost{prefix: "a/"}
		ctx, cancel := context.WithCancel(t.Context())
		var doubt StoreHealth
		var wg sync.WaitGroup
		var handlers []*lastHeard
		for _, prefix := range []string{"a/", "b/", "c/"} {
			h := &lastHeard{}
			handlers = append(handlers, h)
			f := &Follower{Store: store, Prefix: prefix, Handler: h, Health: &doubt}
			wg.Go(func() { f.Run(ctx) })
		}
		for range 10 {
			time.Sleep(3 * time.Second)
			for i, h := range handlers[1:] {
				if age := h.age(); age > 2500*time.Millisecond {
					t.Errorf("follower %d heard the store last %v ago", i+1, age)
				}
			}
		}
		cancel()
		wg.Wait()
	})
}

// lastHeard remembers when the store was last heard.
type lastHeard struct {
	mu sync.Mutex
	at time.Time
}

func (h *lastHeard) Listed([]objectapi.Object, At, bool) { h.Unchanged(At{}) }
func (h *lastHeard) Changed([]objectapi.Object, At)      { h.Unchanged(At{}) }
func (h *lastHeard) Unchanged(At) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at = time.Now()
}

func (h *lastHeard) age() time.Duration {
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
	t.Fatal("it did not happen within 5 s")
}
