// Package ring joins goroutines by bounded queues whose overflow is counted.
// A producer on the request path never blocks on a slow consumer: it drops and
// the drop shows in the metrics.
package ring

import "sync/atomic"

// Ring is a bounded queue. Use New.
type Ring[T any] struct {
	ch      chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{ch: make(chan T, size)} }

// TryPut adds v, or counts a drop and returns false when the ring is full.
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

// Len returns how many items wait.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns how many items overflow has cost.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
