package mirror

import "sync"

// Bell wakes all who wait for a change. Safe for concurrent use.
type Bell struct {
	mu   sync.Mutex
	next chan struct{} // closed at the next ring; nil: nobody waits
}

// wait returns a channel that is closed at the next ring.
func (b *Bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// ring wakes all who wait.
func (b *Bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
