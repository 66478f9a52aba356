package follow

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errDoubted ends a watch that may have gone silent.
var errDoubted = errors.New("another watch of the store has failed")

// Doubt ends the watches of all followers of a store when one of them fails: what
// broke that one may have silenced the others. Each then lists anew. A nil Doubt
// does nothing. Safe for concurrent use.
type Doubt struct {
	mu      sync.Mutex
	raised  time.Time
	waiting map[*context.CancelCauseFunc]struct{}
}

// doubtPause is the least time between two doubts: followers that list anew during an
// outage fail one after the other, and need not wake each other again.
const doubtPause = time.Second

// raise ends all watches that wait now.
func (d *Doubt) raise() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.raised) < doubtPause {
		return
	}
	d.raised = time.Now()
	for cancel := range d.waiting {
		(*cancel)(errDoubted)
	}
}

// until returns a context that ends when doubt is raised. stop must be called.
func (d *Doubt) until(ctx context.Context) (watch context.Context, stop func()) {
	watch, cancel := context.WithCancelCause(ctx)
	if d == nil {
		return watch, func() { cancel(nil) }
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[*context.CancelCauseFunc]struct{}{}
	}
	d.waiting[&cancel] = struct{}{}
	return watch, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waiting, &cancel)
		cancel(nil)
	}
}
