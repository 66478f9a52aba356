package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/timing"
)

// probeTimeout limits one probe and one read of cache events.
const probeTimeout = 800 * time.Millisecond

// maxConcurrentProbes limits probes in flight.
const maxConcurrentProbes = 16

// maxFailedProbes is the number of consecutive failed probes after which a target is
// reported as unresponsive.
const maxFailedProbes = 3

// probeResult is the outcome of the probes of one target so far.
type probeResult struct {
	sent     membership.Report // last report sent to peers
	sentAt   time.Time
	failures int // consecutive failed probes
}

// probeState holds the probe results of all targets.
type probeState struct {
	mu   sync.Mutex
	last map[ids.Target]probeResult
}

// probeLoop periodically probes the load of the targets that this VM is responsible for.
func (d *Daemon) probeLoop(ctx context.Context) {
	for {
		d.probeRound(ctx)
		if !timing.Sleep(ctx, d.Settings.Probe.D()) {
			return
		}
	}
}

func (d *Daemon) probeRound(ctx context.Context) {
	now := clock.Now()
	slots := make(chan struct{}, maxConcurrentProbes)
	var wg sync.WaitGroup
	for _, t := range d.Fleet.Members.Targets(now) {
		if !d.Node.IsProber(t.ID, t.Record.FailureDomain) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			d.probeOne(ctx, t)
		})
	}
	wg.Wait()
}

func (d *Daemon) probeOne(ctx context.Context, t membership.TargetStatus) {
	l, err := d.Engine.Probe(ctx, t.Record.Addr, probeTimeout)
	if ctx.Err() != nil {
		return
	}
	now := clock.Now()
	report := reportOf(l, now)
	d.probes.mu.Lock()
	p := d.probes.last[t.ID]
	d.probes.mu.Unlock()
	p.failures++
	if err == nil {
		p.failures = 0
	} else {
		report = membership.Report{Incarnation: t.Incarnation, Weights: t.Weights, Seq: uint64(time.Now().UnixMilli()), Silent: true}
	}
	if err == nil || p.failures >= maxFailedProbes {
		if d.Node.Publish(t.ID, report, p.sent, p.sentAt, now) {
			p.sent, p.sentAt = report, now
		}
	}
	d.probes.mu.Lock()
	d.probes.last[t.ID] = p
	d.probes.mu.Unlock()
	if t.StateName != d.Fleet.Members.State(t.ID, now).String() {
		d.Events.Record(timeline.Event{
			Kind: timeline.KindMember, Peer: string(t.ID),
			Text: t.StateName + " -> " + d.Fleet.Members.State(t.ID, now).String(),
		}, nil)
	}
}

func reportOf(l engine.Load, now time.Time) membership.Report {
	return membership.Report{
		Incarnation: l.Incarnation, Seq: uint64(time.Now().UnixMilli()), QueuedTokens: l.QueuedTokens,
		Running: l.Running, Slots: l.Slots, PrefillRate: l.PrefillRate, Leaving: l.Leaving, Weights: l.Weights,
	}
}

// feedInterval is the time between reads of an engine's cache events.
const feedInterval = 500 * time.Millisecond

// feedCursor is this VM's position in an engine's feed of cache events.
type feedCursor struct {
	incarnation ids.Incarnation
	after       uint64
}

// readFeeds reads the cache events of the engines whose feed reader this VM is, so that one VM
// per domain reads each engine's feed. It does nothing if the settings disable cache feeds.
func (d *Daemon) readFeeds(ctx context.Context) {
	if !d.Settings.CacheFeed {
		return
	}
	cursors := map[ids.Target]feedCursor{}
	for timing.Sleep(ctx, feedInterval) {
		for _, t := range d.Fleet.Members.Targets(clock.Now()) {
			if t.Record.Role == platform.RoleEngine && d.Node.IsFeedReader(t.ID, t.Record.FailureDomain) {
				cursors[t.ID] = d.readFeed(ctx, t, cursors[t.ID])
			} else {
				delete(cursors, t.ID)
			}
		}
	}
}

func (d *Daemon) readFeed(ctx context.Context, t membership.TargetStatus, c feedCursor) feedCursor {
	f, err := d.Engine.Events(ctx, t.Record.Addr, c.after, probeTimeout)
	if err != nil {
		return c
	}
	if f.Incarnation != c.incarnation {
		if c.incarnation != 0 && c.after > 0 {
			return feedCursor{incarnation: f.Incarnation} // read the new incarnation's feed from its start
		}
		c.incarnation = f.Incarnation
	}
	if d.Fleet.Cache.ApplyEvents(t.ID, cacheview.GenerationOf(f.Incarnation, f.Weights), f.Events) {
		d.Events.Record(timeline.Event{Kind: timeline.KindCache, Peer: string(t.ID), Text: "gap in cache events; invalidated the target's cache entries"}, nil)
	}
	for _, e := range f.Events {
		c.after = max(c.after, e.Seq)
	}
	return c
}
