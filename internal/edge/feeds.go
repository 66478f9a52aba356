package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvfeed"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// Cache feeds. Two VMs read the feed of each engine and store, of its own failure domain
// as long as any lives there, and the first of them tells the others what changed, in a
// few bytes an entry (package news). When every VM read each feed, that was 43% of the
// bytes between failure domains with 8 VMs, and 47% with 82, where the feeds' places are
// too few besides, so that most VMs knew of most caches nothing but what they had sent.
//
// The readers are also those who notice that a target answers nothing. A target whose
// readers have all fallen silent is in doubt: its failure domain may be cut off.

const (
	// readersPerFeed is how many VMs read a feed: a second one, so that a word against a
	// target has a witness and a reader that is gone is replaced at once.
	readersPerFeed = 2
	// peersWithin is how long after its start a VM that others are listed beside waits to hear
	// one before it reads feeds: until then all of them seem to be its own.
	peersWithin = 4 * time.Second
	// mostFeeds bounds the feeds that a VM reads, each over a connection of its own.
	mostFeeds = 128
	// farFeedsAfter is how long after its start a VM begins to read feeds of other failure
	// domains: by then it has heard of the VMs there.
	farFeedsAfter = 2 * time.Second
	// retellEvery is how often the first reader tells again what its targets hold, for VMs
	// that have started and for datagrams that were lost.
	retellEvery = 4 * time.Second
	// watchEvery is how often a VM looks whether readers have fallen silent.
	watchEvery = 200 * time.Millisecond
	// vouchWithin is the silence of a target's readers that puts it in doubt, at least; they
	// speak every 150 ms in small fleets.
	vouchWithin = time.Second
	// vouchRounds is the same in rounds of news.
	vouchRounds = 4
	// doubtFor is how long a doubt lasts after it was last found: other VMs take the
	// reading over meanwhile, and know whether the target answers.
	doubtFor = 1500 * time.Millisecond
)

// feedSources lists the cache feeds that this VM reads.
func (d *Daemon) feedSources() []kvfeed.Source {
	c := d.Catalog.Get()
	if c == nil {
		return nil
	}
	var out []kvfeed.Source
	if d.waitsForPeers() {
		return nil
	}
	alive := d.vms.living()
	d.Replicas.Each(func(r *platform.Record) bool {
		if r.Role != platform.RoleEngine || r.FailureDomain != d.Settings.FailureDomain && len(alive.in[r.FailureDomain]) >= readersPerFeed {
			return true // its own domain reads its feed
		}
		if id := ids.Target(r.ID); d.reads(id, r.FailureDomain) {
			out = append(out, kvfeed.Source{ID: id, Addr: r.Addr, Incarnation: r.Incarnation})
		}
		return true
	})
	out = d.fewest(out)
	var read []ids.Target
	for _, s := range out {
		read = append(read, s.ID)
	}
	d.Replicas.Pin(read)
	for _, kv := range c.KVStores {
		if id := forward.StoreTarget(kv.Addr); d.reads(id, kv.FailureDomain) {
			out = append(out, kvfeed.Source{ID: id, Addr: kv.Addr, Store: true})
		}
	}
	return out
}

// waitsForPeers tells whether this VM has just started and may still hear of those who read feeds.
func (d *Daemon) waitsForPeers() bool {
	return d.vms.count() > 1 && len(d.vms.living().domain) == 1 && clock.Since(d.started) < peersWithin
}

// fewest bounds the feeds that this VM reads to those that come first for it. A VM that hears
// nobody, since it has just started or is cut off, would read all there are.
func (d *Daemon) fewest(all []kvfeed.Source) []kvfeed.Source {
	if len(all) <= mostFeeds {
		return all
	}
	weight := func(s kvfeed.Source) uint64 { return routing.VMWeight(s.ID, d.Settings.VM) }
	slices.SortFunc(all, func(a, b kvfeed.Source) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:mostFeeds]
}

// reads tells whether this VM reads the feed of a target in a failure domain.
func (d *Daemon) reads(id ids.Target, domain ids.FailureDomain) bool {
	if domain != d.Settings.FailureDomain && clock.Since(d.started) < farFeedsAfter {
		return false
	}
	return slices.Contains(d.vms.feedReaders(id, domain), d.Settings.VM)
}

// tells tells whether this VM tells the others what the feed of a target says.
func (d *Daemon) tells(id ids.Target) bool {
	domain, _ := d.domainOfTarget(id)
	return d.vms.feedReaders(id, domain)[0] == d.Settings.VM
}

// domainOfTarget returns the failure domain of an engine or a store.
func (d *Daemon) domainOfTarget(id ids.Target) (ids.FailureDomain, bool) {
	for _, t := range d.Fleet.Snapshot().View.Targets {
		if t.ID == id {
			return t.FailureDomain, true
		}
	}
	kv := d.kvStore(func(kv *catalog.KVStore) bool { return forward.StoreTarget(kv.Addr) == id })
	if kv == nil {
		return "", false
	}
	return kv.FailureDomain, true
}

// kvStore returns the first store of KV cache that fits; nil: none does.
func (d *Daemon) kvStore(fits func(*catalog.KVStore) bool) *catalog.KVStore {
	c := d.Catalog.Get()
	if c == nil {
		return nil
	}
	if i := slices.IndexFunc(c.KVStores, fits); i >= 0 {
		return c.KVStores[i]
	}
	return nil
}

// resolve returns the target whose hash has the given low 32 bits.
func (d *Daemon) resolve(short uint32) (ids.Target, bool) {
	if id, ok := d.Replicas.Resolve(short); ok {
		return id, true
	}
	kv := d.kvStore(func(kv *catalog.KVStore) bool {
		return uint32(routing.HashTarget(forward.StoreTarget(kv.Addr))) == short
	})
	if kv == nil {
		return "", false
	}
	id := forward.StoreTarget(kv.Addr)
	forward.StoreGeneration(d.Fleet.Cache, id) // so that the index takes in what is told of it
	return id, true
}

// cacheChanges returns what peers are to be told of caches.
func (d *Daemon) cacheChanges() []cacheview.Change { return d.Fleet.Cache.TakeChanges() }

// retellCaches tells peers now and then all that the targets hold whose feeds this VM reads
// for them.
func (d *Daemon) retellCaches(ctx context.Context) {
	for timing.Sleep(ctx, retellEvery) {
		d.Fleet.Cache.ReportAgain(d.tells)
	}
}

// watchReaders puts targets in doubt whose feeds' readers have all fallen silent.
func (d *Daemon) watchReaders() {
	now := clock.Now()
	within := max(vouchWithin, vouchRounds*d.news.RoundInterval())
	for _, r := range d.Replicas.Active() {
		if r.Role != platform.RoleEngine {
			continue
		}
		vouched, near := false, false
		alive := d.vms.living()
		for _, vm := range alive.readersOf(ids.Target(r.ID), r.FailureDomain) {
			heard := vm == d.Settings.VM || d.news.SeenWithin(vm, within)
			vouched = vouched || heard
			near = near || heard && alive.domain[vm] == r.FailureDomain
		}
		switch {
		case !vouched:
			d.Fleet.Members.SuspectUntil(ids.Target(r.ID), now.Add(doubtFor))
		case near: // its own domain is heard again
			d.Fleet.Members.SuspectUntil(ids.Target(r.ID), now)
		}
	}
}
