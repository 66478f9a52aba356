package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/verdict"
)

// Planner decides from where a replica fetches what it lacks of a prompt, and what
// is saved to the store beside the engines.
type Planner struct {
	Cache *cacheview.Index
	// FetchRate is how fast engines take KV cache over from each other, in tokens/s.
	FetchRate float32

	mu      sync.Mutex
	pending map[prefix.ID]*pending // by the deepest shared level
	saves   map[prefix.ID]time.Time
	down    map[string]time.Time // stores that don't answer, by address, and until when they are left alone
}

// pending is a prefix that a replica computes for this VM's requests.
type pending struct {
	target ids.Target // of the first of them
	sends  int
}

// storeBackoff is how long a store is left alone after a VM told that it does not answer. A
// replica that asks a dead store loses some hundred milliseconds.
const storeBackoff = 3 * time.Second

// StoreDown records that a store does not answer, or does again.
func (p *Planner) StoreDown(addr string, down bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !down {
		delete(p.down, addr)
		return
	}
	if p.down == nil {
		p.down = map[string]time.Time{}
	}
	p.down[addr] = now.Add(storeBackoff)
}

// usable tells whether a store may be asked.
func (p *Planner) usable(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !clock.Now().Before(p.down[addr])
}

// saveTimeout is how long a save that this VM asked for may take until the store's feed
// tells of it. One that was not told of by then is asked for again: a store whose link
// is full drops saves.
const saveTimeout = 2 * time.Second

// storeGeneration stands for a store's life: its parts outlive weights versions, which
// stand in the ids instead.
var storeGeneration = cacheview.LifeOf(1, "")

// StoreTarget names a store in the cache view.
func StoreTarget(addr string) ids.Target { return ids.Target("kv-store " + addr) }

// StoreLevel is the id of one part at a store.
func StoreLevel(salt string, m ids.Model, part string) prefix.ID {
	return kvcache.LevelID("store/"+salt, m, part)
}

// plan fills in c.fetch, c.save and c.work.
func (p *Planner) plan(c *choice, req *routing.Request, snap *fleet.Snapshot, sc *fleet.Scratch, store *catalog.KVStore, wall string, m ids.Model, parts []kvcache.Part) {
	if len(req.Levels) == 0 {
		return
	}
	prompt := verdict.Prompt{Tokens: req.Tokens, Shared: req.Levels[len(req.Levels)-1].Tokens}
	at := verdict.Places{Held: p.cachedTokens(c, snap, sc), Home: c.home}
	at.Holder.Addr, at.Holder.Tokens = p.holder(c, snap, sc)
	if store != nil {
		at.Store = verdict.Source{Addr: store.Addr, Tokens: p.storedTokens(store, c.salt, m, parts)}
	}
	moves := verdict.Move(prompt, at)
	c.fetch, c.work = moves.Fetch, moves.Work
	if moves.Save && p.maySave(c.salt, m, parts) {
		c.save = store.Addr
	}
}

// maySave tells whether to ask for a save: not while one that this VM asked for may
// still be under way.
func (p *Planner) maySave(salt string, m ids.Model, parts []kvcache.Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.saves[StoreLevel(salt, m, parts[len(parts)-1].ID)]
	return clock.Since(last) > saveTimeout
}

// recordSave notes that a save was asked for. The lock is held.
func (p *Planner) recordSave(salt string, m ids.Model, parts []kvcache.Part) {
	now := clock.Now()
	if p.saves == nil {
		p.saves = map[prefix.ID]time.Time{}
	}
	if len(p.saves) >= maxPendingSaves {
		maps.DeleteFunc(p.saves, func(_ prefix.ID, at time.Time) bool { return now.Sub(at) > saveTimeout })
	}
	p.saves[StoreLevel(salt, m, parts[len(parts)-1].ID)] = now
}

// maxPendingSaves is how many saves are remembered before old ones are swept out: two
// seconds' worth of a busy VM.
const maxPendingSaves = 256

// cachedTokens is how much of the prompt the choice is believed to hold.
func (p *Planner) cachedTokens(c *choice, snap *fleet.Snapshot, sc *fleet.Scratch) int32 {
	for i := range snap.View.Targets {
		if snap.View.Targets[i].ID == c.target.ID {
			return sc.Inputs[i].Cached
		}
	}
	return 0
}

// holder finds the replica that holds most of the prompt under the choice's
// weights; of equals, one in the choice's failure domain.
func (p *Planner) holder(c *choice, snap *fleet.Snapshot, sc *fleet.Scratch) (addr string, tokens int32) {
	near := false
	for i := range snap.View.Targets {
		t, in := &snap.View.Targets[i], &sc.Inputs[i]
		if t.ID == c.target.ID || t.Service != c.target.Service || t.Weights != c.target.Weights ||
			in.State < routing.Joining || in.BreakerOpen {
			continue
		}
		here := t.FailureDomain == c.target.FailureDomain
		if in.Cached > tokens || in.Cached == tokens && here && !near {
			addr, tokens, near = t.Addr, in.Cached, here
		}
	}
	return addr, tokens
}

// storedTokens is how much of the prompt the store is believed to hold.
func (p *Planner) storedTokens(store *catalog.KVStore, salt string, m ids.Model, parts []kvcache.Part) int32 {
	target := StoreTarget(store.Addr)
	end := int32(0)
	for _, part := range parts {
		if !p.Cache.Has(target, StoreLevel(salt, m, part.ID)) {
			break
		}
		end += part.Tokens
	}
	return end
}

// sendStarted records what a send leaves behind: the replica computes the shared parts, and
// saves them to the store if it was told to.
func (p *Planner) sendStarted(c *choice, m ids.Model, parts []kvcache.Part) {
	if len(c.levels) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.save != "" {
		p.recordSave(c.salt, m, parts)
	}
	if p.pending == nil {
		p.pending = map[prefix.ID]*pending{}
	}
	key := c.levels[len(c.levels)-1].ID
	w := p.pending[key]
	if w == nil {
		w = &pending{target: c.target.ID}
		p.pending[key] = w
	}
	w.sends++
}

// sendEnded records that a send no longer computes the shared parts: the replica holds
// them now, or the send has failed.
func (p *Planner) sendEnded(c *choice, held bool) {
	if len(c.levels) == 0 {
		return
	}
	if held {
		p.Cache.Learned(c.target.ID, cacheview.LifeOf(c.target.Incarnation, c.target.Weights), c.levels)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := c.levels[len(c.levels)-1].ID
	if w := p.pending[key]; w != nil {
		if w.sends--; w.sends <= 0 {
			delete(p.pending, key)
		}
	}
}

// computingTarget returns the replica that computes a prompt's shared parts now.
func (p *Planner) computingTarget(levels []prefix.Level) ids.Target {
	if len(levels) == 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.pending[levels[len(levels)-1].ID]; w != nil {
		return w.target
	}
	return ""
}

// StoreGeneration returns the life to which beliefs about a store are bound, after it has been
// given to the index.
func StoreGeneration(cache *cacheview.Index, store ids.Target) cacheview.Life {
	cache.SetLife(store, 1, "")
	return storeGeneration
}
