package links

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/timing"
)

// State is what a check shows about a target.
type State uint8

// The states.
const (
	Unproven  State = iota // neither this VM nor a peer reaches the target, or no peer could be asked
	Reachable              // this VM reaches the target
	Lost                   // a peer reaches the target, and this VM does not
	Ended                  // the target's host refuses connections, and not because of this VM's links
)

// Check finds out whether this VM's own link to a target works. It blocks for DialTimeout and peerTimeout at
// most.
func (t *Table) Check(ctx context.Context, tgt Target) State {
	t.mu.Lock()
	t.linkOf(tgt).probedAt = clock.Now()
	t.mu.Unlock()
	began := clock.Now()
	c, err := t.probe(ctx, tgt)
	if err == nil {
		_ = c.Close()
		return Reachable
	}
	if ctx.Err() != nil {
		return Unproven
	}
	through, perr := t.throughPeers(ctx, tgt, stays)
	switch {
	case perr == nil:
		_ = through.Close()
		return Lost
	case !isRefused(err):
		return Unproven
	case errors.Is(perr, errRefusedAtPeer):
		return Ended
	case t.heardSince(began) || t.reachesOther(ctx, tgt):
		return t.checkAgain(ctx, tgt)
	default:
		return Unproven
	}
}

// checkAgain probes a target once more that has refused a connection, after this VM's links are known to work: they may
// have come back in the meantime.
func (t *Table) checkAgain(ctx context.Context, tgt Target) State {
	c, err := t.probe(ctx, tgt)
	switch {
	case err == nil:
		_ = c.Close()
		return Reachable
	case isRefused(err):
		return Ended
	default:
		return Unproven
	}
}

// reachesOther dials another target, to find out whether this VM's links work at all. A VM with one target
// and no peers has nothing to compare with: its link counts as working.
func (t *Table) reachesOther(ctx context.Context, than Target) bool {
	var others []Target
	if t.Targets != nil {
		for _, tgt := range t.Targets() {
			if tgt.ID != than.ID {
				others = append(others, tgt)
			}
		}
	}
	for _, tgt := range others[:min(len(others), maxCompared)] {
		if c, err := t.probe(ctx, tgt); err == nil {
			_ = c.Close()
			return true
		}
	}
	return len(others) == 0 && t.Peers == nil
}

// maxCompared is the number of other targets that are dialed to find out whether this VM's links work.
const maxCompared = 2

// Suspect starts a check of the link to a target whose requests get no response, unless one was made
// shortly before. It does not block.
func (t *Table) Suspect(tgt Target) {
	now := clock.Now()
	t.mu.Lock()
	l := t.linkOf(tgt)
	due := !l.lost && now.Sub(l.probedAt) >= probeInterval
	if due {
		l.probedAt = now
	}
	t.mu.Unlock()
	if due {
		go t.Check(context.Background(), tgt)
	}
}

const (
	// firstChecks is the number of other links that are checked after a loss; the rest follow if one of
	// these is lost, too.
	firstChecks = 3
	// maxChecks bounds concurrent checks and probes.
	maxChecks = 8
	// probeInterval is the interval between two probes of one link.
	probeInterval = 500 * time.Millisecond
	// runInterval is the interval at which links are looked through.
	runInterval = 100 * time.Millisecond
	// checkEvery is how many of these intervals lie between two checks of the others while a link is lost.
	checkEvery = 5
)

// checkOthers checks the other links after one was lost. It does not block.
func (t *Table) checkOthers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checking || t.Targets == nil {
		return
	}
	t.checking = true
	go func() {
		defer func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.checking = false
		}()
		due := t.unheard()
		first := due[:min(firstChecks, len(due))]
		if t.checkAll(first) || len(first) == 0 {
			t.checkAll(due[len(first):])
		}
	}()
}

// unheard returns the targets whose links are not lost and have brought nothing since the first of the lost ones
// failed.
func (t *Table) unheard() (out []Target) {
	all := t.Targets()
	t.mu.Lock()
	defer t.mu.Unlock()
	var since time.Time
	for _, l := range t.links {
		if l.lost && (since.IsZero() || l.failedSince.Before(since)) {
			since = l.failedSince
		}
	}
	for _, tgt := range all {
		if l := t.linkOf(tgt); !since.IsZero() && !l.lost && l.heard.Before(since) {
			out = append(out, tgt)
		}
	}
	return out
}

// checkAll checks links, maxChecks at a time, and reports whether one is lost.
func (t *Table) checkAll(targets []Target) (lost bool) {
	var all sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxChecks)
	for _, tgt := range targets {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if t.Check(context.Background(), tgt) == Lost {
				mu.Lock()
				defer mu.Unlock()
				lost = true
			}
		})
	}
	all.Wait()
	return lost
}

// Run probes the links that are lost, until ctx ends. If most links fail and no peer can say why, it probes
// those too, so that they are used again soon after they work.
func (t *Table) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	slots := make(chan struct{}, maxChecks)
	for n := 1; timing.Sleep(ctx, runInterval); n++ {
		if n%checkEvery == 0 && len(t.LostLinks()) > 0 {
			t.checkOthers() // those that had just brought something when a link was lost
		}
		for _, tgt := range t.dueProbes() {
			select {
			case slots <- struct{}{}:
			default:
				continue // the other probes have not ended
			}
			t.markProbed(tgt)
			probes.Go(func() {
				defer func() { <-slots }()
				if c, err := t.probe(ctx, tgt); err == nil {
					_ = c.Close()
				}
			})
		}
	}
}

func (t *Table) markProbed(tgt Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.linkOf(tgt).probedAt = clock.Now()
}

// dueProbes returns the links to probe now.
func (t *Table) dueProbes() (out []Target) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	failing := 0
	for _, l := range t.links {
		if !l.failedSince.IsZero() {
			failing++
		}
	}
	most := failing > 1 && 2*failing >= len(t.links)
	for id, l := range t.links {
		if due := l.lost || most && !l.failedSince.IsZero(); due && now.Sub(l.probedAt) >= probeInterval {
			out = append(out, Target{ids.Target(id), l.addr})
		}
	}
	return out
}
