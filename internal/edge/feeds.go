package edge

import (
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvfeed"
	"github.com/threadwall/threadwall/internal/platform"
)

// feedReaderShare is the part of a speaker's places for readers that VMs take, so
// that some are left while the list of VMs changes.
const feedReaderShare = 0.75

// feedSources lists the cache feeds that this VM reads: of each engine and store
// that has not places enough for all VMs, those with the highest rendezvous weight
// read it.
func (d *Daemon) feedSources() []kvfeed.Source {
	c := d.Catalog.Get()
	if c == nil {
		return nil
	}
	var out []kvfeed.Source
	for _, r := range d.Replicas.Records() {
		if id := ids.Target(r.ID); r.Role == platform.RoleEngine && d.reads(id, engineReaders(c.Service(r.Service))) {
			out = append(out, kvfeed.Source{ID: id, Addr: r.Addr})
		}
	}
	for _, kv := range c.KVStores {
		if id := forward.StoreTarget(kv.Addr); d.reads(id, kv.FeedReaders) {
			out = append(out, kvfeed.Source{ID: id, Addr: kv.Addr, Store: true})
		}
	}
	return out
}

// reads tells whether this VM is among the readers of a feed with so many places;
// zero: it is not known how many there are.
func (d *Daemon) reads(id ids.Target, places int) bool {
	return places == 0 || d.vms.rank(id) < max(int(float64(places)*feedReaderShare), 1)
}

func engineReaders(s *catalog.Service) int {
	if s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.FeedReaders
}
