// Package tally provides counters by name, for metrics and logs.
package tally

import (
	"encoding/json"
	"sync"

	"github.com/rs/zerolog"
)

// Counts is a set of counters by name. Names are never removed, so there should be few.
// The zero value is ready to use. It is safe for concurrent use.
type Counts struct {
	mu     sync.Mutex
	byName map[string]int64
}

// Add adds one to the counter of name.
func (c *Counts) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]int64{}
	}
	c.byName[name]++
}

// MarshalJSON implements json.Marshaler.
func (c *Counts) MarshalJSON() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(c.byName)
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c *Counts) MarshalZerologObject(e *zerolog.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.byName {
		e.Int64(name, n)
	}
}
