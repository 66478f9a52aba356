package follow

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// Clock derives from the revisions of the store's responses how old an object of the store can be
// at most. All key spaces share one revision counter, so a response for any of them with a revision
// below that of the object proves that the object did not exist when the call was sent. Only responses
// of the object's era count: the object may have existed in an earlier era under another number. Safe for
// concurrent use. The zero value is ready for use.
type Clock struct {
	mu      sync.Mutex
	samples [clockSamples]At
	next    int
}

// clockSamples is how many responses are kept: those of about 10 s.
const clockSamples = 64

// record stores the revision of a response and the time at which its call was sent.
func (c *Clock) record(at At) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[c.next] = At{Revision: at.Revision, Sent: at.Sent}
	c.next = (c.next + 1) % clockSamples
}

// Before returns the latest time at which a revision is known not to have existed, or zero if
// there is none or c is nil.
func (c *Clock) Before(rev objectapi.Revision) time.Time {
	if c == nil {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, s := range c.samples {
		if s.Revision != 0 && s.Revision.Era() == rev.Era() && s.Revision < rev && s.Sent.After(last) {
			last = s.Sent
		}
	}
	return last
}

// Wrap returns a handler that forwards all calls to next and records their revisions.
func (c *Clock) Wrap(next Handler) Handler { return clockHandler{clock: c, next: next} }

type clockHandler struct {
	clock *Clock
	next  Handler
}

var (
	_ Handler       = clockHandler{}
	_ OutageHandler = clockHandler{}
)

// Unavailable implements OutageHandler.
func (h clockHandler) Unavailable() { NotifyUnavailable(h.next) }

// Listed implements Handler. The clock records a list only after next has handled it: the objects
// of the list existed before its revision.
func (h clockHandler) Listed(objects []objectapi.Object, at At, regained bool) {
	h.next.Listed(objects, at, regained)
	h.clock.record(at)
}

// Changed implements Handler. The clock records nothing: a watch may have waited for seconds before
// the response, so the time at which its call was sent is too early to narrow an estimate.
func (h clockHandler) Changed(events []objectapi.Object, at At) { h.next.Changed(events, at) }

// Unchanged implements Handler.
func (h clockHandler) Unchanged(at At) {
	h.next.Unchanged(at)
	h.clock.record(at)
}
