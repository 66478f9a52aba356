package follow

import (
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Catalogs applies the declared configurations of a key space.
type Catalogs struct {
	Current *catalog.Current
	// Decode decodes a configuration as operators store it.
	Decode func(value []byte) (catalog.Declaration, error)
	// Key is the key of the object that holds the newest configuration.
	Key string
	// OnAdopted, if not nil, is called after a new configuration has come into force.
	OnAdopted func()
	Log       *eventlog.Log
}

var _ Handler = (*Catalogs)(nil)

// Listed implements Handler.
func (c *Catalogs) Listed(objects []objectapi.Object, at At, _ bool) {
	for _, o := range objects {
		if o.Key == c.Key {
			c.apply(o)
			c.Current.Prove(at.Sent)
		}
	}
}

// Changed implements Handler.
func (c *Catalogs) Changed(events []objectapi.Object, at At) {
	for _, o := range events {
		if o.Key == c.Key && !o.Deleted {
			c.apply(o)
		}
	}
	c.Current.Prove(at.Sent)
}

// Unchanged implements Handler.
func (c *Catalogs) Unchanged(at At) { c.Current.Prove(at.Sent) }

func (c *Catalogs) apply(o objectapi.Object) {
	d, err := c.Decode(o.Value)
	if err != nil {
		c.Log.State("catalog-rejected").Uint64("revision", uint64(o.Version)).Str("error", err.Error()).Send()
		return
	}
	n := catalog.New(d)
	if c.Current.Adopt(n) {
		c.Log.State("catalog").Uint64("version", n.Version).Uint64("revision", uint64(o.Version)).
			Int("routes", len(n.Routes)).Int("workspaces", len(n.Workspaces)).Send()
		if c.OnAdopted != nil {
			c.OnAdopted()
		}
	}
}
