package mirror

import "sync"

// Notifier wakes all goroutines that wait for a change. Safe for concurrent use.
type Notifier struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change; nil: nobody waits
}

// wait returns a channel that is closed by the next call of notify.
func (b *Notifier) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify wakes all waiting goroutines.
func (b *Notifier) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
