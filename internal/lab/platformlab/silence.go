package platformlab

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

// silence is a time in which a replica sends nothing and begins nothing. Its connections stay open, and afterwards it goes on
// with all requests that are still there. Safe for concurrent use; the zero value has no silence.
type silence struct {
	mu    sync.Mutex
	until time.Time
}

// Silence has the replica send nothing for the duration and go on afterwards.
func (r *Replica) Silence(d time.Duration) {
	r.silence.mu.Lock()
	defer r.silence.mu.Unlock()
	r.silence.until = time.Now().Add(d)
}

// left returns how long the silence still lasts.
func (s *silence) left() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.until)
}

// await waits for the end of the silence. It returns false if ctx ends before.
func (s *silence) await(ctx context.Context) bool {
	for left := s.left(); left > 0; left = s.left() {
		if !timing.Sleep(ctx, left) {
			return false
		}
	}
	return ctx.Err() == nil
}
