package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
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
	var doubt Doubt
	var wg sync.WaitGroup
	for _, prefix := range []string{"a/", "b/"} {
		f := &Follower{Store: store, Prefix: prefix, Handler: noHandler{}, Doubt: &doubt}
		wg.Go(func() { f.Run(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	await(t, func() bool { return store.listed("a/") == 1 && store.listed("b/") == 1 })
	store.fail <- struct{}{}
	await(t, func() bool { return store.listed("b/") == 2 })
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
