package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Current holds the version in force on this VM and the proof of its freshness.
// Safe for concurrent use.
//
// The proof is the time at which a call was sent whose response showed that no newer
// version had been confirmed before. Its age counts from the sending of the call and on
// a clock that includes suspensions of the VM (package clock), so it is an upper bound
// also after a suspension.
type Current struct {
	mu      sync.Mutex
	current atomic.Pointer[Catalog]
	proven  atomic.Pointer[time.Time]
}

// Get returns the version in force, or nil before the first Adopt.
func (c *Current) Get() *Catalog { return c.current.Load() }

// Adopt puts a version in force if it is newer than the current one, and reports whether
// it did.
func (c *Current) Adopt(next *Catalog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.current.Load()
	if old != nil && next.Version <= old.Version {
		return false
	}
	c.current.Store(next)
	return true
}

// Prove records that the version in force was the newest one at the given time, when the
// proving call was sent. An earlier time than the last is ignored.
func (c *Current) Prove(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proven.Load(); p == nil || sent.After(*p) {
		c.proven.Store(&sent)
	}
}

// ProofAge returns the time since the version in force was last proven to be the newest; it
// exceeds any limit if that never happened.
func (c *Current) ProofAge(now time.Time) time.Duration {
	p := c.proven.Load()
	if p == nil {
		return neverProven
	}
	return now.Sub(*p)
}

// neverProven exceeds any limit on the age of a proof.
const neverProven = 1 << 62 * time.Nanosecond
