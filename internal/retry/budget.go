// Package retry limits retries to a fraction of the requests, so that retries do not overload
// a failure domain that is already failing, and parses the Retry-After header.
package retry

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// windowSlots is the number of slots in a window; counts are exact to one slot.
const windowSlots = 20

// Budget allows, in any sliding window, retries up to a fraction of the requests of that
// window, plus a burst. It counts over a whole window instead of refilling like a token
// bucket: when a failure domain fails, all calls in flight there are retried at once, and the
// requests of the window cover them. Safe for concurrent use.
type Budget struct {
	window time.Duration
	now    func() time.Time
	start  time.Time

	mu    sync.Mutex
	ratio float64
	burst float64
	// Counts by slot; slot number n is at index n % len. Requests are summed over the last
	// windowSlots slots and retries over one slot more, so that rounding never allows more retries
	// than the exact window would.
	newest   int64
	requests [windowSlots + 1]int
	retries  [windowSlots + 1]int
}

// Defaults: one retry for ten requests within ten seconds, plus a burst of ten.
const (
	DefaultRatio  = 0.1
	DefaultBurst  = 10
	DefaultWindow = 10 * time.Second
)

// NewBudget returns an unused budget. A nil now means clock.Now.
func NewBudget(ratio, burst float64, window time.Duration, now func() time.Time) *Budget {
	if now == nil {
		now = clock.Now
	}
	return &Budget{ratio: ratio, burst: burst, window: window, now: now, start: now()}
}

// Deposit counts one request, at its first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Withdraw takes one retry out of the budget. It returns false if the budget is empty.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.advance()
	if b.remaining() < 1 {
		return false
	}
	b.retries[slot]++
	return true
}

// SetBounds changes the ratio of retries to requests, and the burst.
func (b *Budget) SetBounds(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// Remaining returns how many retries are allowed now.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.remaining()
}

// remaining implements Remaining. The caller holds mu and has called advance.
func (b *Budget) remaining() float64 {
	requests, retries := 0, 0
	oldest := (b.newest + 1) % int64(len(b.requests))
	for i := range b.requests {
		retries += b.retries[i]
		if int64(i) != oldest {
			requests += b.requests[i]
		}
	}
	return b.ratio*float64(requests) + b.burst - float64(retries)
}

// advance clears the slots that have expired and returns the index of the current one. The
// caller holds mu.
func (b *Budget) advance() int64 {
	n := int64(len(b.requests))
	number := int64(b.now().Sub(b.start) / (b.window / windowSlots))
	for i := max(b.newest+1, number-n+1); i <= number; i++ {
		b.requests[i%n], b.retries[i%n] = 0, 0
	}
	b.newest = max(b.newest, number)
	return b.newest % n
}
