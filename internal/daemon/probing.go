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

// probeTimeout bounds one probe.
const probeTimeout = 800 * time.Millisecond

// probesAtOnce bounds probes in flight.
const probesAtOnce = 16

// silentProbes in a row make a target silent.
const silentProbes = 3

// probed is what the last probe of a target told.
type probed struct {
	told   membership.Report // what peers were last told
	toldAt time.Time
	failed int
}

// probeState is the memory of the probe duty.
type probeState struct {
	mu   sync.Mutex
	last map[ids.Target]probed
}

// probe asks the targets that this VM is responsible for about their load.
func (d *Daemon) probe(ctx context.Context) {
	for {
		d.probeRound(ctx)
		if !timing.Sleep(ctx, d.Settings.Probe.D()) {
			return
		}
	}
}

func (d *Daemon) probeRound(ctx context.Context) {
	now := clock.Now()
	slots := make(chan struct{}, probesAtOnce)
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
	p.failed++
	if err == nil {
		p.failed = 0
	} else {
		report = membership.Report{Incarnation: t.Incarnation, Weights: t.Weights, Seq: uint64(time.Now().UnixMilli()), Silent: true}
	}
	if err == nil || p.failed >= silentProbes {
		if d.Node.Publish(t.ID, report, p.told, p.toldAt, now) {
			p.told, p.toldAt = report, now
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

// feedEvery is how often an engine's cache events are read.
const feedEvery = 500 * time.Millisecond

// cursor is where this VM reads on in an engine's feed.
type cursor struct {
	incarnation ids.Incarnation
	after       uint64
}

// feed reads, if the settings say so, the cache events of the engines that this VM is first responsible
// for, so that each engine's feed is read once in its domain.
func (d *Daemon) feed(ctx context.Context) {
	if !d.Settings.CacheFeed {
		return
	}
	cursors := map[ids.Target]cursor{}
	for timing.Sleep(ctx, feedEvery) {
		for _, t := range d.Fleet.Members.Targets(clock.Now()) {
			if t.Record.Role == platform.RoleEngine && d.Node.IsFeedReader(t.ID, t.Record.FailureDomain) {
				cursors[t.ID] = d.feedOne(ctx, t, cursors[t.ID])
			} else {
				delete(cursors, t.ID)
			}
		}
	}
}

func (d *Daemon) feedOne(ctx context.Context, t membership.TargetStatus, c cursor) cursor {
	f, err := d.Engine.Events(ctx, t.Record.Addr, c.after, probeTimeout)
	if err != nil {
		return c
	}
	if f.Incarnation != c.incarnation {
		if c.incarnation != 0 && c.after > 0 {
			return cursor{incarnation: f.Incarnation} // read the new life from its start
		}
		c.incarnation = f.Incarnation
	}
	if d.Fleet.Cache.Feed(t.ID, cacheview.GenerationOf(f.Incarnation, f.Weights), f.Events) {
		d.Events.Record(timeline.Event{Kind: timeline.KindCache, Peer: string(t.ID), Text: "gap in cache events, beliefs voided"}, nil)
	}
	for _, e := range f.Events {
		c.after = max(c.after, e.Seq)
	}
	return c
}
