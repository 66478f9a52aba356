package mirror

import "sync"

// Notifier wakes all who wait for a change. Safe for concurrent use.
type Notifier struct {
	mu   sync.Mutex
	next chan struct{} // closed at the next ring; nil: nobody waits
}

// wait returns a channel that is closed at the next ring.
func (b *Notifier) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// ring wakes all who wait.
func (b *Notifier) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
