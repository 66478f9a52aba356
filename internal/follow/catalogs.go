package follow

import (
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Catalogs brings declared configurations into force.
type Catalogs struct {
	Current *catalog.Current
	// Decode reads a configuration as operators store it.
	Decode func(value []byte) (catalog.Declaration, error)
	// Key is the object that holds the newest configuration.
	Key string
	// OnAdopted is called after another configuration has come into force. Nil: nobody is.
	OnAdopted func()
	Log     *eventlog.Log
}

var _ Handler = (*Catalogs)(nil)

// Listed implements Handler.
func (c *Catalogs) Listed(objects []objectapi.Object, at At, _ bool) {
	for _, o := range objects {
		if o.Key == c.Key {
			c.take(o)
			c.Current.Prove(at.Sent)
		}
	}
}

// Changed implements Handler.
func (c *Catalogs) Changed(events []objectapi.Object, at At) {
	for _, o := range events {
		if o.Key == c.Key && !o.Deleted {
			c.take(o)
		}
	}
	c.Current.Prove(at.Sent)
}

// Unchanged implements Handler.
func (c *Catalogs) Unchanged(at At) { c.Current.Prove(at.Sent) }

func (c *Catalogs) take(o objectapi.Object) {
	d, err := c.Decode(o.Value)
	if err != nil {
		c.Log.Belief("catalog-rejected").Uint64("revision", uint64(o.Version)).Str("error", err.Error()).Send()
		return
	}
	n := catalog.New(d)
	if c.Current.Adopt(n) {
		c.Log.Belief("catalog").Uint64("version", n.Version).Uint64("revision", uint64(o.Version)).
			Int("routes", len(n.Routes)).Int("workspaces", len(n.Workspaces)).Send()
		if c.OnAdopted != nil {
			c.OnAdopted()
		}
	}
}
