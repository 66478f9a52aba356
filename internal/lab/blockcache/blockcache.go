// Package blockcache models the prefix cache of a model engine: a limited number of blocks
// with LRU eviction.
package blockcache

import (
	"container/list"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Cache is an LRU cache of prompt blocks. Not safe for concurrent use.
type Cache struct {
	capacity int
	lru      *list.List                  // of prefix.ID, most recently used first
	elements map[prefix.ID]*list.Element // of lru
	seq      uint64
	onEvent  func(cacheview.Event)
}

// New returns an empty cache for at most capacity blocks. Use calls onEvent, which may be nil,
// for every block that it stores or evicts, with consecutive numbers from 1.
func New(capacity int, onEvent func(cacheview.Event)) *Cache {
	if onEvent == nil {
		onEvent = func(cacheview.Event) {}
	}
	return &Cache{capacity: capacity, lru: list.New(), elements: map[prefix.ID]*list.Element{}, onEvent: onEvent}
}

// Blocks returns the block IDs of a prompt. An incomplete last block has none. seed separates
// workspaces and models; see prefix.Seed.
func Blocks(seed uint64, text []byte) []prefix.ID {
	var out []prefix.ID
	hash := seed
	for len(text) >= prefix.BlockBytes {
		hash = prefix.NextBlock(hash, text[:prefix.BlockBytes])
		text = text[prefix.BlockBytes:]
		out = append(out, prefix.ID(hash))
	}
	return out
}

// Use returns the number of leading blocks that were cached, then caches all blocks and evicts
// the least recently used ones beyond the capacity.
func (c *Cache) Use(blocks []prefix.ID) (hit int) {
	for hit < len(blocks) && c.elements[blocks[hit]] != nil {
		hit++
	}
	// Blocks are used from last to first, so that LRU evicts a prefix after its extensions.
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.elements[blocks[i]]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.elements[blocks[i]] = c.lru.PushFront(blocks[i])
		c.event(blocks[i], true)
	}
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		id := c.lru.Remove(last).(prefix.ID)
		delete(c.elements, id)
		c.event(id, false)
	}
	return hit
}

// Holds returns the number of leading blocks that are cached. It does not change the cache or
// the order of eviction.
func (c *Cache) Holds(blocks []prefix.ID) (hit int) {
	for hit < len(blocks) && c.elements[blocks[hit]] != nil {
		hit++
	}
	return hit
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return c.lru.Len() }

func (c *Cache) event(id prefix.ID, stored bool) {
	c.seq++
	c.onEvent(cacheview.Event{Seq: c.seq, Block: id, Stored: stored})
}
