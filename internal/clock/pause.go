package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// minPause is the shortest time without a sign of the process running that counts as a pause.
	minPause = 200 * time.Millisecond
	// catchUpTime is how long after a pause the process may still read what arrived during it.
	catchUpTime = time.Second
)

// Pauses detects that this process has not run for a while: it was stopped, suspended together with its VM, or
// got no processor time. What it reads after that may have arrived during the pause. Safe for concurrent use. A nil
// Pauses detects none.
type Pauses struct {
	mu          sync.Mutex
	ran         time.Time // the latest time at which the process is known to have run; zero: none yet
	from, until time.Time // the latest pause; zero: none
}

// Run watches for pauses until ctx ends.
func (p *Pauses) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		p.running(Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// running records that the process runs at a time.
func (p *Pauses) running(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now)
}

// record implements running. The caller holds the lock.
func (p *Pauses) record(now time.Time) {
	if !p.ran.IsZero() && now.Sub(p.ran) >= minPause {
		if p.until.IsZero() || p.ran.Sub(p.until) >= catchUpTime { // else the process has not caught up with the pause before
			p.from = p.ran
		}
		p.until = now
	}
	if now.After(p.ran) {
		p.ran = now
	}
}

// ArrivedSince returns the earliest time at which something that the process reads at now may have arrived: the start
// of a pause that has just ended, or now.
func (p *Pauses) ArrivedSince(now time.Time) time.Time {
	if p == nil {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ran.IsZero() {
		return now // Run has not begun
	}
	p.record(now)
	if !p.until.IsZero() && now.Sub(p.until) < catchUpTime {
		return p.from
	}
	return now
}
