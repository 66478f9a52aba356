package mirror

import "sync"

// Notifier wakes all goroutines that wait for a change. Safe for concurrent use.
type Notifier struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change; nil: nobody waits
}

// wait returns a channel that is closed by the next call of notify.
func (n *Notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// notify wakes all waiting goroutines.
func (n *Notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
