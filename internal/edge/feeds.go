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

// Cache feeds. Two VMs read the cache feed of each engine and KV store: VMs of its own failure
// domain, and VMs of other domains only if fewer than two are live there. The first of the two
// reports the changes to the other VMs, in a few bytes per entry (package news). When every VM read
// every feed, that took 43% of the bytes between failure domains with 8 VMs and 47% with 82. With
// 82 VMs a feed also had too few slots for all readers, so that most VMs knew of most caches only
// the prompts that they had sent there themselves.
//
// The readers also detect that a target is unresponsive. A target whose readers are all
// unresponsive is suspect: its failure domain may be partitioned.

const (
	// readersPerFeed is the number of VMs that read a feed. The second one confirms reports that
	// a target is unresponsive, and replaces a failed reader at once.
	readersPerFeed = 2
	// peerWait is how long after its start a VM waits for a message of another listed VM before
	// it reads feeds: without live peers, all feeds seem to be its own.
	peerWait = 4 * time.Second
	// maxFeeds is the most feeds of engines that a VM reads, each over a connection of its own.
	maxFeeds = 128
	// crossDomainFeedsAfter is how long after its start a VM starts to read feeds of other failure
	// domains. By then it has received messages of the VMs there.
	crossDomainFeedsAfter = 2 * time.Second
	// resendEvery is how often the first reader of a feed reports the full content again, for VMs
	// that have started since and to make up for lost datagrams.
	resendEvery = 4 * time.Second
	// checkReadersEvery is how often a VM checks for unresponsive readers.
	checkReadersEvery = 200 * time.Millisecond
	// suspectAfter is the least time without a message of any reader of a target's feed after
	// which the target is suspect. In small fleets VMs send a message every 150 ms.
	suspectAfter = time.Second
	// suspectAfterRounds is the same limit in rounds of messages; the longer one applies.
	suspectAfterRounds = 4
	// suspectFor is how long a target stays suspect after the last check that marked it suspect. In
	// that time other VMs take over its feed and find out whether the target answers.
	suspectFor = 1500 * time.Millisecond
)

// feedSources returns the cache feeds that this VM reads.
func (d *Daemon) feedSources() []kvfeed.Source {
	c := d.Catalog.Get()
	if c == nil {
		return nil
	}
	var out []kvfeed.Source
	if d.waitsForPeers() {
		return nil
	}
	alive := d.vms.live()
	d.Replicas.Each(func(r *platform.Record) bool {
		if r.Role != platform.RoleEngine || r.FailureDomain != d.Settings.FailureDomain && len(alive.byDomain[r.FailureDomain]) >= readersPerFeed {
			return true // VMs of the target's failure domain read its feed
		}
		if id := ids.Target(r.ID); d.readsFeed(id, r.FailureDomain) {
			out = append(out, kvfeed.Source{ID: id, Addr: r.Addr, Incarnation: r.Incarnation})
		}
		return true
	})
	out = d.limitFeeds(out)
	var read []ids.Target
	for _, s := range out {
		read = append(read, s.ID)
	}
	d.Replicas.Pin(read)
	for _, kv := range c.KVStores {
		if id := forward.StoreTarget(kv.Addr); d.readsFeed(id, kv.FailureDomain) {
			out = append(out, kvfeed.Source{ID: id, Addr: kv.Addr, Store: true})
		}
	}
	return out
}

// waitsForPeers reports whether this VM has just started and has not yet received a message of
// other VMs, which may read feeds.
func (d *Daemon) waitsForPeers() bool {
	return d.vms.count() > 1 && len(d.vms.live().domain) == 1 && clock.Since(d.started) < peerWait
}

// limitFeeds limits the feeds to the maxFeeds with the highest rendezvous weights for this VM. A VM
// without live peers, after its start or in a network partition, would otherwise read all feeds.
func (d *Daemon) limitFeeds(all []kvfeed.Source) []kvfeed.Source {
	if len(all) <= maxFeeds {
		return all
	}
	weight := func(s kvfeed.Source) uint64 { return routing.VMWeight(s.ID, d.Settings.VM) }
	slices.SortFunc(all, func(a, b kvfeed.Source) int { return cmp.Compare(weight(b), weight(a)) })
	return all[:maxFeeds]
}

// readsFeed reports whether this VM reads the feed of a target in the given failure domain.
func (d *Daemon) readsFeed(id ids.Target, domain ids.FailureDomain) bool {
	if domain != d.Settings.FailureDomain && clock.Since(d.started) < crossDomainFeedsAfter {
		return false
	}
	return slices.Contains(d.vms.feedReaders(id, domain), d.Settings.VM)
}

// reportsFeed reports whether this VM sends the content of a target's feed to the other VMs.
func (d *Daemon) reportsFeed(id ids.Target) bool {
	domain, _ := d.domainOfTarget(id)
	return d.vms.feedReaders(id, domain)[0] == d.Settings.VM
}

// domainOfTarget returns the failure domain of an engine or a KV store.
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

// kvStore returns the first KV store that matches, or nil.
func (d *Daemon) kvStore(match func(*catalog.KVStore) bool) *catalog.KVStore {
	c := d.Catalog.Get()
	if c == nil {
		return nil
	}
	if i := slices.IndexFunc(c.KVStores, match); i >= 0 {
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
	forward.StoreGeneration(d.Fleet.Cache, id) // so that the index accepts reports about it
	return id, true
}

// cacheChanges returns the cache changes to report to peers.
func (d *Daemon) cacheChanges() []cacheview.Change { return d.Fleet.Cache.TakeChanges() }

// resendCaches periodically reports the full cache content of the targets whose feeds this VM
// reports.
func (d *Daemon) resendCaches(ctx context.Context) {
	for timing.Sleep(ctx, resendEvery) {
		d.Fleet.Cache.ReportAgain(d.reportsFeed)
	}
}

// checkReaders marks engines as suspect if all readers of their feeds are unresponsive.
func (d *Daemon) checkReaders() {
	now := clock.Now()
	within := max(suspectAfter, suspectAfterRounds*d.news.RoundInterval())
	for _, r := range d.Replicas.Active() {
		if r.Role != platform.RoleEngine {
			continue
		}
		responsive, sameDomain := false, false
		alive := d.vms.live()
		for _, vm := range alive.readersOf(ids.Target(r.ID), r.FailureDomain) {
			seen := vm == d.Settings.VM || d.news.SeenWithin(vm, within)
			responsive = responsive || seen
			sameDomain = sameDomain || seen && alive.domain[vm] == r.FailureDomain
		}
		switch {
		case !responsive:
			d.Fleet.Members.SuspectUntil(ids.Target(r.ID), now.Add(suspectFor))
		case sameDomain: // a reader in its own failure domain is responsive again
			d.Fleet.Members.SuspectUntil(ids.Target(r.ID), now)
		}
	}
}
