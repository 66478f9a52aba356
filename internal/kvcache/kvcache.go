// Package kvcache names what engines keep of prompts, and decides what is fetched
// and what is kept beside the engines.
//
// Engines find cached parts only under the salt of the request that made them.
// The salt names the weights version and the wall (the workspaces that may share),
// so a request can't run on parts of other weights or of behind another wall, as
// long as the engine has the weights that the salt names: each request is pinned
// to them.
package kvcache

import (
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
)

// Part is one level of a prompt as its caller declares it.
type Part struct {
	ID     string
	Tokens int32
}

// Event is one change of what an engine or a store keeps.
type Event struct {
	Stored bool
	Salt   string
	Part   string
	Tokens int32
	Model  ids.Model
}

const saltSeparator = "/"

// Salt returns the text under which parts are kept.
func Salt(w ids.WeightsVersion, wall string) string { return string(w) + saltSeparator + wall }

// SplitSalt is the inverse of Salt; ok is false for a salt of another make.
func SplitSalt(salt string) (w ids.WeightsVersion, wall string, ok bool) {
	version, wall, ok := strings.Cut(salt, saltSeparator)
	return ids.WeightsVersion(version), wall, ok
}

// LevelID names one part behind a wall. Engines' beliefs are bound to a weights
// version by their life, so it is not in the id.
func LevelID(wall string, m ids.Model, part string) prefix.ID {
	return prefix.ID(xxh3.HashString(wall + "\x00" + string(m) + "\x00" + part))
}

// Levels returns the boundaries of a prompt's parts.
func Levels(wall string, m ids.Model, parts []Part) []prefix.Level {
	out := make([]prefix.Level, 0, len(parts))
	end := int32(0)
	for _, p := range parts {
		end += p.Tokens
		out = append(out, prefix.Level{ID: LevelID(wall, m, p.ID), Tokens: end})
	}
	return out
}

// Shared returns the parts that other requests may have, too: all but the last,
// which is the request's own.
func Shared(parts []Part) []Part {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}
