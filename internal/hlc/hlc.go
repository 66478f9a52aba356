// Package hlc implements a hybrid logical clock. A stamp combines wall time with a logical
// counter, which keeps the order of events where the wall clocks of VMs disagree: an event that
// was caused by another one has the larger stamp, on whichever VM it happened.
package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Stamp holds wall time in milliseconds in the upper 48 bits and a logical counter in the
// lower 16. Stamps are compared as integers.
type Stamp uint64

const logicalBits = 16

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Logical returns the logical counter of the stamp.
func (s Stamp) Logical() uint16 { return uint16(s) }

// String returns the wall time in UTC, followed by "+" and the logical counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().UTC().Format("15:04:05.000"), s.Logical())
}

// Clock returns strictly increasing stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// New returns a clock that reads wall time from now; nil means time.Now. now must be safe for
// concurrent use.
func New(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a stamp for a local event or an outgoing message.
func (c *Clock) Now() Stamp { return c.Observe(0) }

// Observe merges the stamp of a received message and returns a stamp for the
// receipt, larger than both remote and every earlier local stamp.
func (c *Clock) Observe(remote Stamp) Stamp {
	wall := Stamp(uint64(c.now().UnixMilli()) << logicalBits)
	c.mu.Lock()
	defer c.mu.Unlock()
	// An overflow of the logical counter carries into the wall time, which keeps the order.
	c.last = max(c.last+1, remote+1, wall)
	return c.last
}
