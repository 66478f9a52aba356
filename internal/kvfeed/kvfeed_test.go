package kvfeed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
)

// failingReader fails all reads.
type failingReader struct{}

func (failingReader) ReadFeed(context.Context, string, uint64, time.Duration) (Batch, error) {
	return Batch{}, errors.New("no answer")
}

// TestReleasedFeedIsNotUnresponsive lets reads of an engine's feed fail and then assigns the
// feed to another VM. This VM must not keep the engine as unresponsive, since no later read
// would correct that.
func TestReleasedFeedIsNotUnresponsive(t *testing.T) {
	var mu sync.Mutex
	alive, reads := true, true
	cache := cacheview.New(64, nil)
	f := &Feeds{
		Reader: failingReader{}, Cache: cache, KV: &forward.Planner{Cache: cache},
		Sources: func() []Source {
			mu.Lock()
			defer mu.Unlock()
			if !reads {
				return nil
			}
			return []Source{{ID: "e1", Addr: "a"}}
		},
		ReportsToPeers: func(ids.Target) bool { return false },
		Contact: func(_ Source, ok bool) {
			mu.Lock()
			defer mu.Unlock()
			alive = ok
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	state := func(want bool, unresponsive int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return alive == want && len(f.Unresponsive()) == unresponsive
		}
	}
	await(t, "the engine is unresponsive", state(false, 1))
	mu.Lock()
	reads = false
	mu.Unlock()
	await(t, "the engine is no longer unresponsive once its feed is released", state(true, 0))
}

// TestLostLinkIsNoEvidence lets reads of feeds fail because of this VM's own link. Neither the engine nor the store may
// count as unresponsive, as long as the other way works.
func TestLostLinkIsNoEvidence(t *testing.T) {
	var mu sync.Mutex
	reads, contacts := map[string]int{}, 0
	cache := cacheview.New(64, nil)
	f := &Feeds{
		Reader: readerFunc(func(addr string) (Batch, error) {
			mu.Lock()
			defer mu.Unlock()
			if reads[addr]++; reads[addr]%2 == 1 { // each second read goes another way
				return Batch{}, errors.New("timeout")
			}
			return Batch{Epoch: 1}, nil
		}),
		Cache: cache, KV: &forward.Planner{Cache: cache},
		Sources:        func() []Source { return []Source{{ID: "e1", Addr: "a"}, {ID: "kv", Addr: "b", Store: true}} },
		ReportsToPeers: func(ids.Target) bool { return false },
		LinkLost:       func(context.Context, Source) bool { return true },
		Contact: func(s Source, alive bool) {
			mu.Lock()
			defer mu.Unlock()
			contacts++
			if !alive {
				t.Errorf("%s counts as unresponsive", s.ID)
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	await(t, "both feeds are read", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return contacts >= 8
	})
	if u := f.Unresponsive(); len(u) > 0 {
		t.Errorf("%v count as unresponsive", u)
	}
}

// readerFunc is a Reader that returns what the function returns.
type readerFunc func(addr string) (Batch, error)

func (r readerFunc) ReadFeed(_ context.Context, addr string, _ uint64, _ time.Duration) (Batch, error) {
	time.Sleep(time.Millisecond)
	return r(addr)
}

// restartingReader is the feed of an engine that restarts: sequence numbers and events start
// over. It records the sequence numbers from which it is read.
type restartingReader struct {
	mu        sync.Mutex
	restarted bool
	since     []uint64
}

func (r *restartingReader) ReadFeed(ctx context.Context, _ string, since uint64, _ time.Duration) (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = append(r.since, since)
	b := Batch{Epoch: 1, Incarnation: 100, Next: 5, Events: []kvcache.Event{{Stored: true, Salt: kvcache.Salt("3", ""), Model: "m", Part: "old"}}}
	if r.restarted {
		b = Batch{Epoch: 2, Incarnation: 200, Next: 9}
		if since == 0 {
			b.Events = []kvcache.Event{{Stored: true, Salt: kvcache.Salt("3", ""), Model: "m", Part: "new"}}
		}
	}
	return b, nil
}

// TestFeedOfRestartedEngine checks that the feed of a restarted engine is read from its
// beginning, also if the feed itself is the first to show the restart, and that the entries of
// the previous incarnation are dropped.
func TestFeedOfRestartedEngine(t *testing.T) {
	cache := cacheview.New(64, nil)
	reader := &restartingReader{}
	var mu sync.Mutex
	inc := ids.Incarnation(100)
	known := func() ids.Incarnation {
		mu.Lock()
		defer mu.Unlock()
		return inc
	}
	cache.SetGeneration("e1", 100, "3")
	f := &Feeds{
		Reader: reader, Cache: cache, KV: &forward.Planner{Cache: cache},
		Sources:        func() []Source { return []Source{{ID: "e1", Addr: "a", Incarnation: known()}} },
		ReportsToPeers: func(ids.Target) bool { return false },
		Contact:        func(Source, bool) {},
		Restarted: func(_ ids.Target, now ids.Incarnation) {
			mu.Lock()
			defer mu.Unlock()
			inc = max(inc, now)
			cache.SetGeneration("e1", inc, "3")
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	holds := func(part string) func() bool {
		return func() bool { return cache.Has("e1", kvcache.LevelID("", "m", part)) }
	}
	await(t, "the cache view has the part stored before the restart", holds("old"))
	reader.mu.Lock()
	reader.restarted = true
	reader.mu.Unlock()
	await(t, "the cache view has the part stored after the restart", holds("new"))
	if holds("old")() {
		t.Error("the cache view still has the part stored before the restart")
	}
}

// TestFeedOfAnEndedIncarnation checks that events of a feed that still reports an older
// incarnation than the known one are not applied to the new incarnation.
func TestFeedOfAnEndedIncarnation(t *testing.T) {
	cache := cacheview.New(64, nil)
	cache.SetGeneration("e1", 200, "3")
	reader := &restartingReader{} // reports incarnation 100
	f := &Feeds{
		Reader: reader, Cache: cache, KV: &forward.Planner{Cache: cache},
		Sources:        func() []Source { return []Source{{ID: "e1", Addr: "a", Incarnation: 200}} },
		ReportsToPeers: func(ids.Target) bool { return false },
		Contact:        func(Source, bool) {},
		Restarted:      func(_ ids.Target, inc ids.Incarnation) { t.Errorf("Restarted called with %d, want no call", inc) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	await(t, "the feed is read", func() bool {
		reader.mu.Lock()
		defer reader.mu.Unlock()
		return len(reader.since) >= 2
	})
	if cache.Has("e1", kvcache.LevelID("", "m", "old")) {
		t.Error("the cache view has a part of the previous incarnation for the new one")
	}
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}
