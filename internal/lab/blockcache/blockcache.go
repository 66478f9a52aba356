// Package blockcache models the prefix cache of a model engine: blocks in limited
// memory, the least recently used evicted first.
package blockcache

import (
	"container/list"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Cache holds blocks. Not safe for concurrent use.
type Cache struct {
	capacity int
	lru      *list.List // of prefix.ID, newest first
	at       map[prefix.ID]*list.Element
	seq      uint64
	onEvent  func(cacheview.Event)
}

// New returns a cache of so many blocks. onEvent, which may be nil, is told of
// every block stored and removed.
func New(capacity int, onEvent func(cacheview.Event)) *Cache {
	if onEvent == nil {
		onEvent = func(cacheview.Event) {}
	}
	return &Cache{capacity: capacity, lru: list.New(), at: map[prefix.ID]*list.Element{}, onEvent: onEvent}
}

// Blocks returns the block ids of a prompt.
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

// Use returns how many leading blocks are cached, and caches all of them.
func (c *Cache) Use(blocks []prefix.ID) (hit int) {
	for hit < len(blocks) && c.at[blocks[hit]] != nil {
		hit++
	}
	// The last block is touched first, so that a prefix outlives its extensions.
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.at[blocks[i]]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.at[blocks[i]] = c.lru.PushFront(blocks[i])
		c.event(blocks[i], true)
	}
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		id := c.lru.Remove(last).(prefix.ID)
		delete(c.at, id)
		c.event(id, false)
	}
	return hit
}

// Holds returns how many leading blocks are cached, and changes nothing.
func (c *Cache) Holds(blocks []prefix.ID) (hit int) {
	for hit < len(blocks) && c.at[blocks[hit]] != nil {
		hit++
	}
	return hit
}

// Len returns how many blocks are cached.
func (c *Cache) Len() int { return c.lru.Len() }

func (c *Cache) event(id prefix.ID, stored bool) {
	c.seq++
	c.onEvent(cacheview.Event{Seq: c.seq, Block: id, Stored: stored})
}
