package clock

import (
	"context"
	"time"
)

const (
	// lookEvery is how often a suspension is looked for: one is noticed so soon after the
	// VM runs again.
	lookEvery = 50 * time.Millisecond
	// suspended is how far the two clocks must part between two looks: a shorter suspension
	// is no reason to give anything up, since links and peers bear it.
	suspended = 300 * time.Millisecond
	// together is the time within which both clocks must be read: a process that waits for
	// the processor in between is not suspended.
	together = 5 * time.Millisecond
	// readTries bounds the tries to read them so.
	readTries = 5
)

// Watch calls woke with the length of each suspension, soon after its end, until ctx ends.
func Watch(ctx context.Context, woke func(length time.Duration)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	ran, was := both()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		nowRan, now := both()
		length := now.Sub(was) - nowRan.Sub(ran)
		ran, was = nowRan, now
		if length >= suspended {
			woke(length)
		}
	}
}

// both reads the clock of timers and this one at the same time.
func both() (ran, now time.Time) {
	for range readTries {
		ran, now = time.Now(), Now()
		if time.Since(ran) < together {
			break
		}
	}
	return ran, now
}
