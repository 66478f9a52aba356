package confsync

import (
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Current holds the compiled configuration in force. Its Adopt is an AdoptFunc. Safe for
// concurrent use.
type Current struct{ p atomic.Pointer[config.Config] }

// NewCurrent returns a Current with an empty configuration at revision zero.
func NewCurrent() *Current {
	c := &Current{}
	c.Adopt(0, nil)
	return c
}

// Adopt compiles a revision and puts it in force. It does not compare revisions: Store does.
func (c *Current) Adopt(rev objectapi.Revision, objects []objectapi.Object) {
	c.p.Store(config.Compile(rev, objects))
}

// Get returns the configuration in force, never nil.
func (c *Current) Get() *config.Config { return c.p.Load() }
