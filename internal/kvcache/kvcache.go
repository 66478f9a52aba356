// Package kvcache defines the keys of the KV cache blocks that engines and KV stores
// hold, and which parts of a prompt may be shared.
//
// An engine finds cached parts only under the salt of the request that computed them.
// The salt consists of the weights version and the isolation key, which identifies the
// workspaces that may share KV cache. A request therefore can't use parts computed with
// other weights or under another isolation key, as long as the engine runs the weights
// that the salt names. To ensure that, each request is pinned to its weights version.
package kvcache

import (
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Part is one level of a prompt, as declared by the caller.
type Part struct {
	ID     string
	Tokens int32 // length of this part alone
}

// Event reports that an engine or a KV store has stored or removed one part.
type Event struct {
	Stored bool // false: removed
	Salt   string
	Part   string
	Tokens int32
	Model  ids.Model
}

const saltSeparator = "/"

// Salt returns the cache salt of a weights version and an isolation key.
func Salt(w ids.WeightsVersion, isolationKey string) string {
	return string(w) + saltSeparator + isolationKey
}

// SplitSalt is the inverse of Salt. ok is false if salt has another format.
func SplitSalt(salt string) (w ids.WeightsVersion, isolationKey string, ok bool) {
	version, isolationKey, ok := strings.Cut(salt, saltSeparator)
	return ids.WeightsVersion(version), isolationKey, ok
}

// LevelID returns the prefix ID of one part under an isolation key. The ID does not
// contain the weights version: the cache view binds its entries to a target's
// generation, which does.
func LevelID(isolationKey string, m ids.Model, part string) prefix.ID {
	return prefix.ID(xxh3.HashString(isolationKey + "\x00" + string(m) + "\x00" + part))
}

// Levels returns the end of each part of a prompt as a prefix level.
func Levels(isolationKey string, m ids.Model, parts []Part) []prefix.Level {
	out := make([]prefix.Level, 0, len(parts))
	end := int32(0)
	for _, p := range parts {
		end += p.Tokens
		out = append(out, prefix.Level{ID: LevelID(isolationKey, m, p.ID), Tokens: end})
	}
	return out
}

// Shared returns the parts that other requests may have in common with this one: all
// but the last, which is specific to the request.
func Shared(parts []Part) []Part {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}
