package follow

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Clock tells since when an object of the store can be there at most, from the store's
// revisions: all key spaces share one counter, so an answer of any of them with a lower
// revision says that the object was not there when its call was sent. Safe for concurrent
// use. The zero value knows nothing.
type Clock struct {
	mu    sync.Mutex
	marks [clockMarks]At
	next  int
}

// clockMarks is how many answers are remembered: those of some ten seconds.
const clockMarks = 64

// note remembers an answer.
func (c *Clock) note(at At) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.marks[c.next] = At{Revision: at.Revision, Sent: at.Sent}
	c.next = (c.next + 1) % clockMarks
}

// Before returns the latest moment at which a revision is known not to have been there;
// zero if there is none.
func (c *Clock) Before(rev objectapi.Revision) time.Time {
	if c == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, m := range c.marks {
		if m.Revision != 0 && m.Revision < rev && m.Sent.After(last) {
			last = m.Sent
		}
	}
	return last
}

// Wrap returns a handler that passes everything on and lets the clock hear of it.
func (c *Clock) Wrap(next Handler) Handler { return clocked{clock: c, next: next} }

type clocked struct {
	clock *Clock
	next  Handler
}

var _ Handler = clocked{}

// Listed implements Handler. The clock hears of a list afterwards: what it brings was
// there before its revision.
func (h clocked) Listed(objects []objectapi.Object, at At, regained bool) {
	h.next.Listed(objects, at, regained)
	h.clock.note(at)
}

// Changed implements Handler. A watch may have waited for seconds before it was answered:
// its question is too old to narrow anything.
func (h clocked) Changed(events []objectapi.Object, at At) { h.next.Changed(events, at) }

// Unchanged implements Handler.
func (h clocked) Unchanged(at At) {
	h.next.Unchanged(at)
	h.clock.note(at)
}
