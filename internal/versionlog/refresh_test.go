package versionlog

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// slowStore is a store whose reads of one object take a while, and that may be away.
type slowStore struct {
	*objectapi.Memory
	takes time.Duration // before the store looks, and again until the answer arrives
	away  atomic.Bool
	reads atomic.Int64
}

// Get implements objectapi.Store.
func (s *slowStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	s.reads.Add(1)
	time.Sleep(s.takes)
	if s.away.Load() {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	o, err := s.Memory.Get(ctx, key)
	time.Sleep(s.takes)
	return o, err
}

// refreshed runs f with a log that has read the versions once and watches none.
func refreshed(t *testing.T, f func(t *testing.T, s *slowStore, l *Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{Memory: objectapi.NewMemory(), takes: 5 * time.Millisecond}
		l := &Log{Store: s, ReadPause: func() time.Duration { return 100 * time.Millisecond }, OnChange: func() {}, Now: time.Now}
		if _, err := s.Create(t.Context(), Prefix+"llm", []byte(`{"service":"llm","versions":["v1"]}`)); err != nil {
			t.Fatal(err)
		}
		objects, rev, err := s.List(t.Context(), Prefix)
		if err != nil {
			t.Fatal(err)
		}
		l.Listed(objects, follow.At{Revision: rev}, false)
		f(t, s, l)
		time.Sleep(time.Second) // until no read is under way
	})
}

// TestRefreshSeesWhatWasWrittenBefore guards against an answer to a question that was sent before the call.
func TestRefreshSeesWhatWasWrittenBefore(t *testing.T) {
	refreshed(t, func(t *testing.T, s *slowStore, l *Log) {
		go l.Refresh(t.Context(), "llm")
		time.Sleep(7 * time.Millisecond) // the store has looked
		o, _ := s.Memory.Get(t.Context(), Prefix+"llm")
		if _, err := s.Update(t.Context(), o.Key, []byte(`{"service":"llm","versions":["v1","v2"]}`), o.Version); err != nil {
			t.Fatal(err)
		}
		if !l.Refresh(t.Context(), "llm") {
			t.Error("the store has answered")
		}
		if v, count := l.Sole("llm"); count != follow.SeveralVersions {
			t.Errorf("got %q, %d, want several versions", v, count)
		}
	})
}

// TestRefreshesShareReads bounds the reads of many calls at the same time.
func TestRefreshesShareReads(t *testing.T) {
	refreshed(t, func(t *testing.T, s *slowStore, l *Log) {
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				if !l.Refresh(t.Context(), "llm") {
					t.Error("the store has answered")
				}
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		if n := s.reads.Load(); n > 2 {
			t.Errorf("%d reads within 0.1 s, want 2", n)
		}
	})
}

// TestRefreshWithoutAnAnswerProvesNothing has the store be away, come back from an older copy, or not be read at all yet.
func TestRefreshWithoutAnAnswerProvesNothing(t *testing.T) {
	refreshed(t, func(t *testing.T, s *slowStore, l *Log) {
		copied := s.Snapshot()
		s.away.Store(true)
		if l.Refresh(t.Context(), "llm") {
			t.Error("the store is away")
		}
		s.away.Store(false)
		if !l.Refresh(t.Context(), "llm") {
			t.Error("the store is back")
		}
		s.Restore(copied)
		if l.Refresh(t.Context(), "llm") {
			t.Error("the store has come back from a copy, which the log has not listed")
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if l.Refresh(ctx, "llm") {
			t.Error("the call has ended")
		}
		if new(Log).Refresh(t.Context(), "llm") {
			t.Error("nothing has been listed")
		}
	})
}
