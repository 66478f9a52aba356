// Package kvfeed reads the event feeds in which engines and KV stores report the KV cache
// that they hold, and updates this VM's cache view.
//
// Feeds are delayed and lose events, so the cache view may be wrong either way: a stale
// entry costs a prefill, a missing one a fetch. Neither makes a response wrong.
package kvfeed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/timing"
)

// Batch is the result of one read of a feed.
type Batch struct {
	Epoch  uint64 // changes when the sequence numbers of the feed restart
	Next   uint64 // sequence number from which to continue
	Gap    bool   // events before the batch are lost
	Events []kvcache.Event
	// Incarnation is that of the engine or store; zero if it does not report one.
	Incarnation ids.Incarnation
}

// Reader reads feeds.
type Reader interface {
	// ReadFeed returns the events from sequence number since on. If there are none, it waits
	// for events for at most wait.
	ReadFeed(ctx context.Context, addr string, since uint64, wait time.Duration) (Batch, error)
}

// Source identifies one feed.
type Source struct {
	ID    ids.Target // an engine, or the name of a store
	Addr  string
	Store bool
	// Incarnation is the known incarnation of an engine.
	Incarnation ids.Incarnation
}

// Feeds reads the feeds that Sources returns. Its exported fields must be set before Run. Except
// for Sources, its functions are called concurrently for different feeds.
type Feeds struct {
	Reader  Reader
	Cache   *cacheview.Index
	KV      *forward.Planner
	Sources func() []Source
	// ReportsToPeers returns whether this VM is the one that reports a feed's changes to its
	// peers.
	ReportsToPeers func(id ids.Target) bool
	// Contact is called after each read with whether the engine or store has answered, and
	// with true when this VM stops reading the feed.
	Contact func(s Source, alive bool)
	// LinkLost reports whether a failed read is due to this VM's own link, which says nothing about the engine
	// or store. The feed is then read again at once, over another way. Nil: it never is.
	LinkLost func(ctx context.Context, s Source) bool
	// Restarted is called when a feed reports a newer incarnation of an engine.
	Restarted func(id ids.Target, inc ids.Incarnation)
	Log       *eventlog.Log

	mu      sync.Mutex
	running map[string]context.CancelFunc // by Source.key
	// unresponsive has the engines that did not answer the last read, or that have not
	// answered any yet.
	unresponsive map[ids.Target]bool
	wg           sync.WaitGroup
}

// key identifies a feed. It contains the incarnation, so that the feed of a restarted engine
// is read from its beginning.
func (s *Source) key() string {
	return s.Addr + " " + string(s.ID) + " " + strconv.FormatUint(uint64(s.Incarnation), 10)
}

// Intervals and timeouts.
const (
	// reconcileInterval is the interval at which readers are started and stopped.
	reconcileInterval = 500 * time.Millisecond
	// feedWait is how long one read waits for events.
	feedWait = time.Second
	// feedPause is the pause between two reads. Events accumulate meanwhile, so that a busy
	// engine costs one call per pause instead of one per event.
	feedPause = 150 * time.Millisecond
	// feedTimeout bounds a read beyond its wait. An engine that takes longer is faulty: load
	// does not slow these calls down.
	feedTimeout = 500 * time.Millisecond
	// failPause is the pause after a failed read.
	failPause = time.Second
)

// Run reads the feeds until ctx is done.
func (f *Feeds) Run(ctx context.Context) {
	f.running = map[string]context.CancelFunc{}
	for timing.Sleep(ctx, reconcileInterval) {
		f.reconcile(ctx)
	}
	f.wg.Wait()
}

// reconcile starts readers for new feeds and stops those of feeds no longer in Sources.
func (f *Feeds) reconcile(ctx context.Context) {
	want := map[string]Source{}
	for _, s := range f.Sources() {
		want[s.key()] = s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, cancel := range f.running {
		if _, ok := want[key]; !ok {
			cancel()
			delete(f.running, key)
		}
	}
	for key, s := range want {
		if f.running[key] != nil {
			continue
		}
		rctx, cancel := context.WithCancel(ctx)
		f.running[key] = cancel
		f.wg.Go(func() { f.follow(rctx, s) })
	}
}

// follow reads one feed until ctx is done.
func (f *Feeds) follow(ctx context.Context, s Source) {
	var epoch, since uint64
	lost := false
	defer f.release(s)
	f.setResponsive(s, false) // until the first response
	otherWay := false         // the last read failed because of this VM's own link
	timing.Sleep(ctx, rand.N(feedPause))
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, feedWait+feedTimeout)
		b, err := f.Reader.ReadFeed(call, s.Addr, since, feedWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if otherWay = err != nil && !otherWay && f.LinkLost != nil && f.LinkLost(ctx, s); otherWay {
			continue
		}
		f.Contact(s, err == nil)
		f.setResponsive(s, err == nil)
		if err != nil {
			if !lost {
				lost = true
				f.Log.State("dependency-lost").Str("dependency", "cache feed").Str("target", string(s.ID)).Str("error", err.Error()).Send()
			}
			timing.Sleep(ctx, failPause)
			continue
		}
		if lost {
			lost = false
			f.Log.State("dependency-regained").Str("dependency", "cache feed").Str("target", string(s.ID)).Send()
		}
		if !s.Store && b.Incarnation > s.Incarnation {
			s.Incarnation = b.Incarnation
			f.Restarted(s.ID, b.Incarnation)
		}
		switch {
		case !s.Store && b.Incarnation != 0 && b.Incarnation < s.Incarnation:
			// Ignore the batch of an incarnation that has ended.
		case epoch != 0 && b.Epoch != epoch:
			// The batch lacks the new epoch's events before since: read from the start.
			f.clear(s)
			epoch, since = b.Epoch, 0
		default:
			epoch, since = b.Epoch, b.Next
			f.applyAll(s, b.Events)
		}
		timing.Sleep(ctx, feedPause)
	}
}

// applyAll applies the events of a batch.
func (f *Feeds) applyAll(s Source, events []kvcache.Event) {
	report := f.ReportsToPeers(s.ID)
	for _, ev := range events {
		f.apply(s, ev, report)
	}
}

// release is called when this VM stops reading a feed. From then on this VM has no evidence
// that the engine or store does not answer, so it must no longer count as unresponsive.
func (f *Feeds) release(s Source) {
	f.setResponsive(s, true)
	f.Contact(s, true)
}

// setResponsive records whether an engine answers. It ignores stores.
func (f *Feeds) setResponsive(s Source, responsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if responsive || s.Store {
		delete(f.unresponsive, s.ID)
		return
	}
	if f.unresponsive == nil {
		f.unresponsive = map[ids.Target]bool{}
	}
	f.unresponsive[s.ID] = true
}

// Unresponsive returns the engines whose feeds this VM reads and that don't answer.
func (f *Feeds) Unresponsive() []ids.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.unresponsive))
}

// clear drops the cache view's entries of an engine or store that has restarted.
func (f *Feeds) clear(s Source) {
	f.Log.State("cache-emptied").Str("target", string(s.ID)).Send()
	if f.ReportsToPeers(s.ID) {
		f.Cache.ClearAndReport(s.ID)
		return
	}
	f.Cache.Clear(s.ID)
}

// apply applies one event to the cache view. report is whether to report the change to peers.
func (f *Feeds) apply(s Source, ev kvcache.Event, report bool) {
	gen, id, ok := f.resolve(s, ev)
	if !ok {
		return
	}
	level := []prefix.Level{{ID: id}}
	switch {
	case ev.Stored && report:
		f.Cache.AddAndReport(s.ID, gen, level)
	case ev.Stored:
		f.Cache.Add(s.ID, gen, level)
	case report:
		f.Cache.RemoveAndReport(s.ID, gen, id)
	default:
		f.Cache.Remove(s.ID, gen, id)
	}
}

// resolve returns the generation and the prefix that an event is about, and false if the
// event's salt has another format.
func (f *Feeds) resolve(s Source, ev kvcache.Event) (cacheview.Generation, prefix.ID, bool) {
	if s.Store {
		return forward.StoreGeneration(f.Cache, s.ID), forward.StoreLevel(ev.Salt, ev.Model, ev.Part), true
	}
	w, isolationKey, ok := kvcache.SplitSalt(ev.Salt)
	return cacheview.GenerationOf(s.Incarnation, w), kvcache.LevelID(isolationKey, ev.Model, ev.Part), ok
}
