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

// Planner decides where a replica fetches the missing KV cache of a prompt from, and which
// prompts it saves to the KV store. Safe for concurrent use.
type Planner struct {
	Cache *cacheview.Index
	// FetchRate is the speed at which engines fetch KV cache from each other, in tokens/s.
	FetchRate float32

	mu      sync.Mutex
	pending map[prefix.ID]*pending  // by the deepest shared level
	saves   map[prefix.ID]time.Time // requested saves, with the time of the request
	down    map[string]time.Time    // unresponsive stores, by address, with the end of their backoff
}

// pending is a prefix that a replica is computing for this VM's requests.
type pending struct {
	target ids.Target // of the first send
	sends  int
}

// storeBackoff is how long a store is not used after a VM reported that it does not respond. A
// replica that asks a dead store loses some hundred milliseconds.
const storeBackoff = 3 * time.Second

// StoreDown records that the store at addr does not respond, or that it responds again.
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

// usable reports whether the store at addr is not in its backoff.
func (p *Planner) usable(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !clock.Now().Before(p.down[addr])
}

// saveTimeout is how long after this VM requested a save the store's event feed may take to
// report it. After that the VM requests the save again: a store whose link is saturated drops
// saves.
const saveTimeout = 2 * time.Second

// storeGeneration is the generation of all stores. Parts in a store outlive weights versions, so
// their ids contain the version instead.
var storeGeneration = cacheview.GenerationOf(1, "")

// StoreTarget returns the id under which the cache view lists the store at addr.
func StoreTarget(addr string) ids.Target { return ids.Target("kv-store " + addr) }

// StoreLevel returns the id of one part of a prompt in a store.
func StoreLevel(salt string, m ids.Model, part string) prefix.ID {
	return kvcache.LevelID("store/"+salt, m, part)
}

// plan fills in c.fetch, c.save and c.work.
func (p *Planner) plan(c *choice, req *routing.Request, snap *fleet.Snapshot, sc *fleet.Scratch, store *catalog.KVStore, isolationKey string, m ids.Model, parts []kvcache.Part) {
	if len(req.Levels) == 0 {
		return
	}
	prompt := verdict.Prompt{Tokens: req.Tokens, Shared: req.Levels[len(req.Levels)-1].Tokens}
	at := verdict.Locations{Held: p.cachedTokens(c, snap, sc), Rendezvous: c.rendezvous}
	at.Holder.Addr, at.Holder.Tokens = p.holder(c, snap, sc)
	if store != nil {
		at.Store = verdict.Source{Addr: store.Addr, Tokens: p.storedTokens(store, c.salt, m, parts)}
	}
	transfer := verdict.PlanTransfer(prompt, at)
	c.fetch, c.work = transfer.Fetch, transfer.Work
	if transfer.Save && p.maySave(c.salt, m, parts) {
		c.save = store.Addr
	}
}

// maySave reports whether to request a save. It does not while an earlier save that this VM
// requested may still be in progress.
func (p *Planner) maySave(salt string, m ids.Model, parts []kvcache.Part) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.saves[StoreLevel(salt, m, parts[len(parts)-1].ID)]
	return clock.Since(last) > saveTimeout
}

// recordSave records that a save was requested. The caller holds p.mu.
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

// maxPendingSaves is the number of recorded saves above which expired ones are deleted: about
// the number that a busy VM requests within saveTimeout (2 s).
const maxPendingSaves = 256

// cachedTokens returns the estimated number of the prompt's tokens that the choice has cached.
func (p *Planner) cachedTokens(c *choice, snap *fleet.Snapshot, sc *fleet.Scratch) int32 {
	for i := range snap.View.Targets {
		if snap.View.Targets[i].ID == c.target.ID {
			return sc.Inputs[i].Cached
		}
	}
	return 0
}

// holder returns the replica that has most of the prompt cached under the choice's weights, and
// how many tokens. Ties go to a replica in the choice's failure domain.
func (p *Planner) holder(c *choice, snap *fleet.Snapshot, sc *fleet.Scratch) (addr string, tokens int32) {
	foundSameDomain := false
	for i := range snap.View.Targets {
		t, in := &snap.View.Targets[i], &sc.Inputs[i]
		if t.ID == c.target.ID || t.Service != c.target.Service || t.Weights != c.target.Weights ||
			in.State < routing.Joining || in.BreakerOpen {
			continue
		}
		sameDomain := t.FailureDomain == c.target.FailureDomain
		if in.Cached > tokens || in.Cached == tokens && sameDomain && !foundSameDomain {
			addr, tokens, foundSameDomain = t.Addr, in.Cached, sameDomain
		}
	}
	return addr, tokens
}

// storedTokens returns the estimated number of the prompt's tokens that the store holds.
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

// sendStarted records the effects of a send: the replica computes the shared parts, and saves
// them to the store if the send requested that.
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

// sendEnded records that a send no longer computes the shared parts: either the replica holds
// them now, or the send has failed.
func (p *Planner) sendEnded(c *choice, held bool) {
	if len(c.levels) == 0 {
		return
	}
	if held {
		p.Cache.AddAndReport(c.target.ID, cacheview.GenerationOf(c.target.Incarnation, c.target.Weights), c.levels)
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

// computingTarget returns the replica that is computing a prompt's shared parts, or an empty id.
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

// StoreGeneration sets the generation of a store in the index, so that the index accepts entries
// for it, and returns that generation.
func StoreGeneration(cache *cacheview.Index, store ids.Target) cacheview.Generation {
	cache.SetGeneration(store, 1, "")
	return storeGeneration
}
