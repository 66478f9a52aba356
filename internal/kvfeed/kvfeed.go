// Package kvfeed reads what engines and stores tell of the KV cache that they
// keep, and corrects this VM's beliefs by it.
//
// Feeds are late and lose entries, so a belief may be wrong either way: one that
// is held wrongly costs a computation, one that is missing costs a fetch. Neither
// makes an answer wrong.
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

// Batch is a part of a feed.
type Batch struct {
	Epoch  uint64 // changes when the numbers of its entries start anew
	Next   uint64 // where to read on
	Gap    bool   // entries before it are lost
	Events []kvcache.Event
	// Incarnation is that of the speaker; zero: it does not tell.
	Incarnation ids.Incarnation
}

// Reader reads feeds.
type Reader interface {
	// ReadFeed returns what came at or after since; it waits if there is nothing.
	ReadFeed(ctx context.Context, addr string, since uint64, wait time.Duration) (Batch, error)
}

// Source is one feed.
type Source struct {
	ID    ids.Target // an engine, or the name of a store
	Addr  string
	Store bool
	// Incarnation is that which is known of an engine.
	Incarnation ids.Incarnation
}

// Feeds reads all feeds that this VM is to read. Its fields are set before Run.
type Feeds struct {
	Reader  Reader
	Cache   *cacheview.Index
	KV      *forward.Planner
	Sources func() []Source
	// ReportsToPeers tells whether this VM is the one that tells peers what a feed says.
	ReportsToPeers func(id ids.Target) bool
	// Contact is told whether an engine or a store answers its feed's calls.
	Contact func(s Source, alive bool)
	// Restarted is told the incarnation in which an engine speaks.
	Restarted func(id ids.Target, inc ids.Incarnation)
	Log       *eventlog.Log

	mu      sync.Mutex
	running map[string]context.CancelFunc // by Source.key
	silent  map[ids.Target]bool           // engines whose last call was not answered, or that have answered none yet
	wg      sync.WaitGroup
}

// key names a feed: one of another incarnation is read from its beginning.
func (s *Source) key() string {
	return s.Addr + " " + string(s.ID) + " " + strconv.FormatUint(uint64(s.Incarnation), 10)
}

// Rhythms.
const (
	// reviewEvery is how often the set of feeds is looked at.
	reviewEvery = 500 * time.Millisecond
	// feedWait is how long a call waits for entries.
	feedWait = time.Second
	// feedPause between two calls gathers entries, so that a busy engine costs one
	// call a pause and not one an entry.
	feedPause = 150 * time.Millisecond
	// feedTimeout bounds a call beyond its wait. An engine that is silent for longer is
	// in trouble; under load it answers these calls as ever.
	feedTimeout = 500 * time.Millisecond
	// failPause follows a call that failed.
	failPause = time.Second
)

// Run reads until ctx ends.
func (f *Feeds) Run(ctx context.Context) {
	f.running = map[string]context.CancelFunc{}
	for timing.Sleep(ctx, reviewEvery) {
		f.review(ctx)
	}
	f.wg.Wait()
}

// review starts and ends readers.
func (f *Feeds) review(ctx context.Context) {
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

// follow reads one feed.
func (f *Feeds) follow(ctx context.Context, s Source) {
	var epoch, since uint64
	lost := false
	defer f.leave(s)
	f.note(s, false) // this VM can't vouch for it yet
	timing.Sleep(ctx, rand.N(feedPause))
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, feedWait+feedTimeout)
		b, err := f.Reader.ReadFeed(call, s.Addr, since, feedWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		f.Contact(s, err == nil)
		f.note(s, err == nil)
		if err != nil {
			if !lost {
				lost = true
				f.Log.Belief("dependency-lost").Str("dependency", "cache feed").Str("target", string(s.ID)).Str("error", err.Error()).Send()
			}
			timing.Sleep(ctx, failPause)
			continue
		}
		if lost {
			lost = false
			f.Log.Belief("dependency-regained").Str("dependency", "cache feed").Str("target", string(s.ID)).Send()
		}
		if !s.Store && b.Incarnation > s.Incarnation {
			s.Incarnation = b.Incarnation
			f.Restarted(s.ID, b.Incarnation)
		}
		switch {
		case !s.Store && b.Incarnation != 0 && b.Incarnation < s.Incarnation:
			// It speaks of an incarnation that has ended.
		case epoch != 0 && b.Epoch != epoch:
			// Entries before since are not in this batch, though they are of this epoch.
			f.emptied(s)
			epoch, since = b.Epoch, 0
		default:
			epoch, since = b.Epoch, b.Next
			f.takeIn(s, b.Events)
		}
		timing.Sleep(ctx, feedPause)
	}
}

// takeIn takes in the events of a batch.
func (f *Feeds) takeIn(s Source, events []kvcache.Event) {
	tells := f.ReportsToPeers(s.ID)
	for _, ev := range events {
		f.apply(s, ev, tells)
	}
}

// leave ends the reading of a feed: whether its speaker answers is no longer this VM's to
// tell, so it must not stay in doubt for that.
func (f *Feeds) leave(s Source) {
	f.note(s, true)
	f.Contact(s, true)
}

// note remembers which engines don't answer.
func (f *Feeds) note(s Source, alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if alive || s.Store {
		delete(f.silent, s.ID)
		return
	}
	if f.silent == nil {
		f.silent = map[ids.Target]bool{}
	}
	f.silent[s.ID] = true
}

// Unresponsive returns the engines whose feeds this VM reads and that don't answer.
func (f *Feeds) Unresponsive() []ids.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.silent))
}

// emptied drops the beliefs about a speaker that has restarted.
func (f *Feeds) emptied(s Source) {
	f.Log.Belief("cache-emptied").Str("target", string(s.ID)).Send()
	if f.ReportsToPeers(s.ID) {
		f.Cache.ClearAndReport(s.ID)
		return
	}
	f.Cache.Clear(s.ID)
}

// apply takes in one event; tells is whether peers are to be told.
func (f *Feeds) apply(s Source, ev kvcache.Event, tells bool) {
	life, id, ok := f.name(s, ev)
	if !ok {
		return
	}
	level := []prefix.Level{{ID: id}}
	switch {
	case ev.Stored && tells:
		f.Cache.AddAndReport(s.ID, life, level)
	case ev.Stored:
		f.Cache.Add(s.ID, life, level)
	case tells:
		f.Cache.RemoveAndReport(s.ID, life, id)
	default:
		f.Cache.Remove(s.ID, life, id)
	}
}

// name returns the life and the prefix that an event is about.
func (f *Feeds) name(s Source, ev kvcache.Event) (cacheview.Generation, prefix.ID, bool) {
	if s.Store {
		return forward.StoreLife(f.Cache, s.ID), forward.StoreLevel(ev.Salt, ev.Model, ev.Part), true
	}
	w, wall, ok := kvcache.SplitSalt(ev.Salt)
	return cacheview.GenerationOf(s.Incarnation, w), kvcache.LevelID(wall, ev.Model, ev.Part), ok
}
