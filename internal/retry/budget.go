// Package retry bounds how many attempts may be made beyond the first, so that a
// failing domain is not buried under retries.
package retry

import "sync"

// Budget allows retries as a fraction of the requests that came in. A fresh or
// idle budget allows a small burst. Safe for concurrent use.
type Budget struct {
	ratio float64
	burst float64

	mu     sync.Mutex
	tokens float64
}

// Defaults: one retry in ten requests, ten at once.
const (
	DefaultRatio = 0.1
	DefaultBurst = 10
)

// NewBudget returns a budget that starts with its burst.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit counts one first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Withdraw takes one retry out of the budget, or returns false.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetBurst changes how much an idle budget gathers.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Left returns how many retries are allowed now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
