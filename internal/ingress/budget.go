package ingress

import "sync"

// Budget is memory that connections share. Its zero value has no room. Safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64 // bytes
	used  int64 // bytes
}

// NewBudget returns a budget of the given size, in bytes.
func NewBudget(bytes int64) *Budget { return &Budget{limit: bytes} }

// SetLimit sets the size of the budget, in bytes. What is used beyond it stays in use.
func (b *Budget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = bytes
}

// Used returns how much is in use, and Limit the size, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the size of the budget, in bytes.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Take takes bytes, and reports whether there was room for them.
func (b *Budget) Take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

// Put gives bytes back.
func (b *Budget) Put(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}
