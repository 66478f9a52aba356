package follow

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Catalogs applies the declared configurations of a key space, and proves the one in force.
//
// The version in force never decreases: the versions that operators write do not depend on the store's
// revisions, and a store that has come back from an older copy may show an earlier one.
//
// In such a new era an answer proves nothing at first. Operators write again what the store has lost, and
// until then a newer configuration than the one in force may be lost, with a key that it took away. Answers
// prove the configuration again once it was written in the new era, or after SettleTime.
type Catalogs struct {
	Current *catalog.Current
	// Decode decodes a configuration as operators store it.
	Decode func(value []byte) (catalog.Declaration, error)
	// Key is the key of the object that holds the newest configuration.
	Key string
	// SettleTime is how long after the store's return operators may take to write again what it has
	// lost.
	SettleTime time.Duration
	// OnAdopted, if not nil, is called after a new configuration has come into force.
	OnAdopted func()
	Log       *eventlog.Log

	numbers    []uint64      // of the writes of the version in force that this VM has seen, in any era
	writtenEra objectapi.Era // latest era in which that version is known to have been written
	// unproven is when calls may be sent whose answers prove the configuration again; nil: they do.
	unproven atomic.Pointer[time.Time]
}

var _ Handler = (*Catalogs)(nil)

// Listed implements Handler.
func (c *Catalogs) Listed(objects []objectapi.Object, at At, _ bool) {
	for _, o := range objects {
		if o.Key == c.Key {
			c.apply(o, false)
			c.prove(at)
		}
	}
}

// Changed implements Handler.
func (c *Catalogs) Changed(events []objectapi.Object, at At) {
	for _, o := range events {
		if o.Key == c.Key && !o.Deleted {
			c.apply(o, true)
		}
	}
	c.prove(at)
}

// Unchanged implements Handler.
func (c *Catalogs) Unchanged(at At) { c.prove(at) }

// prove records that the configuration in force was the newest when the call was sent, unless the
// store may still lack a newer one that it had before.
func (c *Catalogs) prove(at At) {
	settled := at.EraSince.Add(c.SettleTime)
	if at.EraSince.IsZero() || !at.Sent.Before(settled) || c.writtenEra == at.Revision.Era() {
		c.unproven.Store(nil)
		c.Current.Prove(at.Sent)
		return
	}
	c.unproven.Store(&settled)
}

// Restored reports whether the store's latest answer proved nothing, since the store has come back from
// an older copy. Safe for concurrent use.
func (c *Catalogs) Restored() bool { return c.unproven.Load() != nil }

// Wait returns how long a watch may wait for a change, at most longest: in a new era not beyond the time
// from which answers prove the configuration, and then not at all. Safe for concurrent use.
func (c *Catalogs) Wait(longest time.Duration) time.Duration {
	settled := c.unproven.Load()
	if settled == nil {
		return longest
	}
	return min(longest, max(settled.Sub(clock.Now()), 0))
}

// apply puts a configuration into force if it is newer. changed says that it was written after the
// first list of the store's era.
func (c *Catalogs) apply(o objectapi.Object, changed bool) {
	d, err := c.Decode(o.Value)
	if err != nil {
		c.Log.State("catalog-rejected").Uint64("revision", o.Version.Number()).Uint64("era", uint64(o.Version.Era())).Str("error", err.Error()).Send()
		return
	}
	n := catalog.New(d)
	adopted := c.Current.Adopt(n)
	c.observe(&o, n.Version, adopted, changed)
	if !adopted {
		return
	}
	c.Log.State("catalog").Uint64("version", n.Version).Uint64("revision", o.Version.Number()).Uint64("era", uint64(o.Version.Era())).
		Int("routes", len(n.Routes)).Int("workspaces", len(n.Workspaces)).Send()
	if c.OnAdopted != nil {
		c.OnAdopted()
	}
}

// observe records the era in which the version in force was written. An object that the store has
// restored from its copy has a number that this VM has seen before.
func (c *Catalogs) observe(o *objectapi.Object, version uint64, adopted, changed bool) {
	switch {
	case adopted:
		c.numbers = nil
	case version < c.Current.Get().Version:
		return
	}
	seen := slices.Contains(c.numbers, o.Version.Number())
	if changed || !adopted && !seen {
		c.writtenEra = o.Version.Era()
	}
	if !seen {
		c.numbers = append(c.numbers, o.Version.Number())
	}
}
