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
		Tells: func(ids.Target) bool { return false },
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
			return alive == want && len(f.Silent()) == silent
		}
	}
	await(t, "the engine is silent", state(false, 1))
	mu.Lock()
	reads = false
	mu.Unlock()
	await(t, "it is no longer this VM's to tell", state(true, 0))
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
