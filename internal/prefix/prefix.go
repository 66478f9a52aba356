// Package prefix computes IDs of shared prompt prefixes.
//
// A prompt is a list of levels (common terms, tenant layer, contract). Chain cuts the
// text into blocks of BlockBytes and chains each block's hash onto that of its
// predecessor, as prefix-caching engines do. The hash at the last whole block of a
// level is the ID of the prefix up to that level. The chain's seed is a hash of workspace
// and model, so an ID never matches a cache entry of another workspace. Package
// cacheview binds the ID to a target's weights version.
package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// BytesPerToken is the token length, in bytes, assumed without a tokenizer.
const BytesPerToken = 4

// BlockTokens is the number of tokens in one cached block.
const BlockTokens = 16

// BlockBytes is the text length of one cached block.
const BlockBytes = BlockTokens * BytesPerToken

// Chunking of a raw prompt, which declares no levels.
const (
	chunkBytes    = 32 * BlockBytes
	chunksPerSize = 16
)

// ID identifies a prefix up to a level boundary. Zero means no prefix.
type ID uint64

// Level is one level boundary of a prompt.
type Level struct {
	ID     ID    `json:"id"`
	Tokens int32 `json:"tokens"` // from the start of the prompt to the boundary
}

// Seed returns the initial hash of a chain.
func Seed(ws ids.Workspace, model ids.Model) uint64 {
	return xxh3.HashString(string(ws) + "\x00" + string(model))
}

// NextBlock returns the hash of a block chained onto its predecessor's hash. Bytes of
// block beyond BlockBytes are ignored.
func NextBlock(parent uint64, block []byte) uint64 {
	var buf [8 + BlockBytes]byte
	binary.LittleEndian.PutUint64(buf[:8], parent)
	n := copy(buf[8:], block)
	return xxh3.Hash(buf[:8+n])
}

// Chain returns the level boundaries of a prompt that consists of the given texts in
// order, and its total number of tokens, rounded up. A level that completes no block
// has no boundary.
func Chain(seed uint64, levels []string) ([]Level, int32) {
	var text []byte
	for _, l := range levels {
		text = append(text, l...)
	}
	out := make([]Level, 0, len(levels))
	hash, done, end := seed, 0, 0
	for _, l := range levels {
		end += len(l)
		start := done
		for ; done+BlockBytes <= end; done += BlockBytes {
			hash = NextBlock(hash, text[done:done+BlockBytes])
		}
		if done > start {
			out = append(out, Level{ID: ID(hash), Tokens: int32(done / BytesPerToken)})
		}
	}
	return out, int32((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Chunks cuts a raw prompt into levels. After every sixteen chunks the chunk size grows
// fourfold, so that long prompts have few levels, and two prompts with the same
// beginning have the same boundaries there.
func Chunks(text string) []string {
	var out []string
	size := chunkBytes
	for len(text) > size {
		out = append(out, text[:size])
		text = text[size:]
		if len(out)%chunksPerSize == 0 {
			size *= 4
		}
	}
	return append(out, text)
}
