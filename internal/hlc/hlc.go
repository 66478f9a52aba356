// Package hlc is a hybrid logical clock: wall time where clocks agree, and a
// logical count where they don't, so that an event that was caused by another
// always carries the larger stamp, on whichever VM it happened.
package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is wall milliseconds in the upper 48 bits and a logical count in the
// lower 16. Stamps are compared as integers.
type Stamp uint64

const logicalBits = 16

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Logical returns the logical count.
func (s Stamp) Logical() uint16 { return uint16(s) }

// String returns wall time with the logical count behind it.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().UTC().Format("15:04:05.000"), s.Logical())
}

// Clock hands out stamps that never go back. Safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// New returns a clock over now; nil means time.Now.
func New(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a stamp for a local event or an outgoing message.
func (c *Clock) Now() Stamp { return c.Observe(0) }

// Observe merges the stamp of a received message and returns a stamp for the
// receipt, larger than both the message's and every earlier local one.
func (c *Clock) Observe(remote Stamp) Stamp {
	wall := Stamp(uint64(c.now().UnixMilli()) << logicalBits)
	c.mu.Lock()
	defer c.mu.Unlock()
	// A full logical count carries into the wall part, which keeps order.
	c.last = max(c.last+1, remote+1, wall)
	return c.last
}
