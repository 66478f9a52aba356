package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Current is the version in force on this VM and the proof of its freshness.
// Safe for concurrent use.
//
// A proof is the moment at which the call was sent whose answer showed that no
// newer version was confirmed before it. Counting from the sending and on the
// clock that counts suspensions (package clock) makes the age an upper bound, also after
// the VM stood still.
type Current struct {
	mu     sync.Mutex
	now    atomic.Pointer[Catalog]
	proven atomic.Pointer[time.Time]
}

// Get returns the version in force; nil before the first.
func (c *Current) Get() *Catalog { return c.now.Load() }

// Adopt puts a version in force unless it is older than the one that is. It
// returns whether the version changed.
func (c *Current) Adopt(n *Catalog) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.now.Load()
	if old != nil && n.Version <= old.Version {
		return false
	}
	c.now.Store(n)
	return true
}

// Prove records that the version in force was the newest when a call was sent.
func (c *Current) Prove(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proven.Load(); p == nil || sent.After(*p) {
		c.proven.Store(&sent)
	}
}

// ProofAge returns how long ago the version in force was proven to be the newest.
func (c *Current) ProofAge(now time.Time) time.Duration {
	p := c.proven.Load()
	if p == nil {
		return neverProven
	}
	return now.Sub(*p)
}

// neverProven is longer than any age that is accepted.
const neverProven = 1 << 62 * time.Nanosecond
