// Package prefix names shared prompt prefixes.
//
// A prompt is a list of levels (common terms, tenant layer, contract). Its text
// is cut into blocks of BlockBytes and each block's hash is chained onto its
// predecessor's, as prefix-caching engines do; the hash at the last whole block
// of a level names the prefix up to that level. The chain is seeded with
// workspace and model, so a name can never match a cache entry of another
// workspace; package cacheview binds it to a target's weights version.
package prefix

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// BytesPerToken is the token length assumed where no tokenizer is at hand.
const BytesPerToken = 4

// BlockTokens is how many tokens one cached block holds.
const BlockTokens = 16

// BlockBytes is the text of one cached block.
const BlockBytes = BlockTokens * BytesPerToken

// Chunk sizes of a raw prompt, which declares no levels.
const (
	chunkBytes    = 32 * BlockBytes
	chunksPerSize = 16
)

// ID names a prefix up to a level boundary. Zero is no prefix.
type ID uint64

// Level is one boundary of a prompt.
type Level struct {
	ID     ID    `json:"id"`
	Tokens int32 `json:"tokens"` // tokens from the prompt's start to here
}

// Seed starts a chain.
func Seed(ws ids.Workspace, model ids.Model) uint64 {
	return xxh3.HashString(string(ws) + "\x00" + string(model))
}

// NextBlock chains one block onto the hash of its predecessor.
func NextBlock(parent uint64, block []byte) uint64 {
	var buf [8 + BlockBytes]byte
	binary.LittleEndian.PutUint64(buf[:8], parent)
	n := copy(buf[8:], block)
	return xxh3.Hash(buf[:8+n])
}

// Chain returns the boundaries of a prompt whose levels are the given texts in
// order, and its total tokens. A level that adds no whole block adds no
// boundary.
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

// Chunks cuts a raw prompt into levels. Sixteen chunks of one size are followed
// by sixteen of four times that, so that long prompts have few levels and two
// prompts with the same start have the same boundaries.
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
