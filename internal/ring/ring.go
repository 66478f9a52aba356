// Package ring provides a bounded queue between goroutines. A producer on the request
// path never blocks on a slow consumer: the queue drops items on overflow and counts
// them for the metrics.
package ring

import "sync/atomic"

// Ring is a bounded queue. Use New to create one. It is safe for concurrent use.
type Ring[T any] struct {
	ch      chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{ch: make(chan T, size)} }

// TryPut adds v. If the ring is full, it drops v, counts the drop and returns false.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Out returns the channel to receive from.
func (r *Ring[T]) Out() <-chan T { return r.ch }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns the number of items dropped since the ring was created.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
