// Package retry bounds how many attempts may be made beyond the first, so that a
// failing domain is not buried under retries.
package retry

import (
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// slots is into how many parts a window is cut: counts are exact to one of them.
const slots = 20

// Budget allows, in any window of time, retries up to a fraction of the requests that
// came in during that window, and a few more. When a failure domain goes, everything
// that was under way there is retried at once: a budget that counts the requests of
// the whole window covers that, where one that refills drop by drop does not. Safe for
// concurrent use.
type Budget struct {
	window time.Duration
	now    func() time.Time
	start  time.Time

	mu    sync.Mutex
	ratio float64
	burst float64
	// Counts by slot, newest at number % len. The window is covered by slots parts for
	// requests, and by one more for retries, so that it is never taken for longer than
	// it is where that would allow more.
	newest   int64
	requests [slots + 1]int
	retries  [slots + 1]int
}

// Defaults: one retry in ten requests of ten seconds, ten at once.
const (
	DefaultRatio  = 0.1
	DefaultBurst  = 10
	DefaultWindow = 10 * time.Second
)

// NewBudget returns a budget in which no retry was made yet. now is nil for that of package
// clock.
func NewBudget(ratio, burst float64, window time.Duration, now func() time.Time) *Budget {
	if now == nil {
		now = clock.Now
	}
	return &Budget{ratio: ratio, burst: burst, window: window, now: now, start: now()}
}

// Deposit counts one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.turn()]++
}

// Withdraw takes one retry out of the budget, or returns false.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.turn()
	if b.left() < 1 {
		return false
	}
	b.retries[slot]++
	return true
}

// SetBounds changes the fraction, and how many retries are allowed beyond it.
func (b *Budget) SetBounds(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
}

// Remaining returns how many retries are allowed now.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn()
	return b.left()
}

// left is Left. The lock is held and the slots are up to date.
func (b *Budget) left() float64 {
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

// turn empties the slots that have passed and returns the present one. The lock is
// held.
func (b *Budget) turn() int64 {
	n := int64(len(b.requests))
	number := int64(b.now().Sub(b.start) / (b.window / slots))
	for i := max(b.newest+1, number-n+1); i <= number; i++ {
		b.requests[i%n], b.retries[i%n] = 0, 0
	}
	b.newest = max(b.newest, number)
	return b.newest % n
}
