package clock

import (
	"context"
	"time"
)

const (
	// checkInterval is the interval between two checks for a suspension, and so the longest
	// delay until one is noticed after the VM has resumed.
	checkInterval = 50 * time.Millisecond
	// minSuspension is the difference between the two clocks, from one check to the next, that
	// counts as a suspension. Connections and peers tolerate shorter ones.
	minSuspension = 300 * time.Millisecond
	// maxReadSkew is the time within which both clocks must be read: a process that is
	// descheduled between the two reads is not suspended.
	maxReadSkew = 5 * time.Millisecond
	// maxReads bounds the attempts to read both clocks within maxReadSkew.
	maxReads = 5
)

// Watch calls resumed with the length of each suspension, within about checkInterval of its end,
// until ctx ends. It makes no checks while resumed runs. It ignores suspensions shorter than
// minSuspension.
func Watch(ctx context.Context, resumed func(length time.Duration)) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	monotonic, boot := readClocks()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		nowMonotonic, nowBoot := readClocks()
		length := nowBoot.Sub(boot) - nowMonotonic.Sub(monotonic)
		monotonic, boot = nowMonotonic, nowBoot
		if length >= minSuspension {
			resumed(length)
		}
	}
}

// readClocks reads the clock of timers and the one of this package at nearly the same time.
func readClocks() (monotonic, boot time.Time) {
	for range maxReads {
		monotonic, boot = time.Now(), Now()
		if time.Since(monotonic) < maxReadSkew {
			break
		}
	}
	return monotonic, boot
}
