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

// deafReader never gets an answer.
type deafReader struct{}

func (deafReader) ReadFeed(context.Context, string, uint64, time.Duration) (Batch, error) {
	return Batch{}, errors.New("no answer")
}

// TestSpeakerIsNotLeftInDoubt lets an engine be silent while its feed is read, and then
// hands the feed to another VM: this VM must not think of the engine as unreachable for
// good, since nobody would tell it otherwise.
func TestSpeakerIsNotLeftInDoubt(t *testing.T) {
	var mu sync.Mutex
	alive, reads := true, true
	cache := cacheview.New(64, nil)
	f := &Feeds{
		Reader: deafReader{}, Cache: cache, KV: &forward.Planner{Cache: cache},
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
	state := func(want bool, silent int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return alive == want && len(f.Unresponsive()) == silent
		}
	}
	await(t, "the engine is silent", state(false, 1))
	mu.Lock()
	reads = false
	mu.Unlock()
	await(t, "it is no longer this VM's to tell", state(true, 0))
}

// restartingReader is an engine that starts again: the numbers of its entries and the
// entries themselves begin anew. It notes from where it is read.
type restartingReader struct {
	mu    sync.Mutex
	again bool
	since []uint64
}

func (r *restartingReader) ReadFeed(ctx context.Context, _ string, since uint64, _ time.Duration) (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = append(r.since, since)
	b := Batch{Epoch: 1, Incarnation: 100, Next: 5, Events: []kvcache.Event{{Stored: true, Salt: kvcache.Salt("3", ""), Model: "m", Part: "old"}}}
	if r.again {
		b = Batch{Epoch: 2, Incarnation: 200, Next: 9}
		if since == 0 {
			b.Events = []kvcache.Event{{Stored: true, Salt: kvcache.Salt("3", ""), Model: "m", Part: "new"}}
		}
	}
	return b, nil
}

// TestFeedOfAnEngineThatStartedAgain reads the feed from its beginning, also where the
// restart is met in the feed first, and believes nothing of before.
func TestFeedOfAnEngineThatStartedAgain(t *testing.T) {
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
		Sources: func() []Source { return []Source{{ID: "e1", Addr: "a", Incarnation: known()}} },
		ReportsToPeers:   func(ids.Target) bool { return false },
		Contact: func(Source, bool) {},
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
	await(t, "the engine holds a part", holds("old"))
	reader.mu.Lock()
	reader.again = true
	reader.mu.Unlock()
	await(t, "it holds another after it has started again", holds("new"))
	if holds("old")() {
		t.Error("it is still believed to hold what it held before")
	}
}

// TestFeedOfAnEndedIncarnation reads a feed that still speaks of the incarnation before the
// one that is known: what it says is not believed of the new one.
func TestFeedOfAnEndedIncarnation(t *testing.T) {
	cache := cacheview.New(64, nil)
	cache.SetGeneration("e1", 200, "3")
	reader := &restartingReader{} // speaks of incarnation 100
	f := &Feeds{
		Reader: reader, Cache: cache, KV: &forward.Planner{Cache: cache},
		Sources:   func() []Source { return []Source{{ID: "e1", Addr: "a", Incarnation: 200}} },
		ReportsToPeers:     func(ids.Target) bool { return false },
		Contact:   func(Source, bool) {},
		Restarted: func(_ ids.Target, inc ids.Incarnation) { t.Errorf("the engine counts as restarted into %d", inc) },
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
		t.Error("the new incarnation is believed to hold what the one before held")
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
	t.Fatalf("not within 10 s: %s", what)
}
