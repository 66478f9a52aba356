package edge

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/mirror"
	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/timing"
	"github.com/threadwall/threadwall/internal/tunnel"
	"github.com/threadwall/threadwall/internal/tunnelpb"
	"github.com/threadwall/threadwall/internal/versionlog"
)

const (
	// relayWait is the longest wait of the configuration watch at a VM that reads the store for
	// others: the others stop using a VM whose last contact with the store is a second old. A
	// proof gets as old as two of these waits, and two waits of reads from a peer (mirror.Reader.Wait)
	// at each of up to two further VMs. Together these stay within twice ProofEvery, the limit that
	// also holds where each VM reads the store itself.
	relayWait = 600 * time.Millisecond
	// watchWait is the wait of watches that serve no proof. It bounds how long a dead watch stays
	// undetected.
	watchWait = 5 * time.Second
	// versionsWatchWait is the wait of the watch of versions at which streams may have begun: a VM that lacks one reads or writes
	// it.
	versionsWatchWait = 25 * time.Second
	// versionsWatchDelay is how long after its list that watch begins: most VMs that start read from a peer by then.
	versionsWatchDelay = 2 * time.Second
	// coalescePerVM is the delay per entry VM for which changes of replicas are coalesced: changes
	// come in bursts, and each wakes up a watch.
	coalescePerVM = 8 * time.Millisecond
	// maxCoalesce bounds that delay; a leaving replica must be noticed within two seconds.
	maxCoalesce = 300 * time.Millisecond
	// storeLostAfter is the age of the data from the store above which the store counts as lost.
	storeLostAfter = 2 * time.Second
)

// buildReader creates the reader of the store and the server that mirrors it to peers.
func (d *Daemon) buildReader() {
	wakeUp := &mirror.Notifier{}
	space := func(prefix string, next follow.Handler) *mirror.Space {
		return &mirror.Space{Prefix: prefix, Next: d.Weights.Clock.Wrap(next), Notifier: wakeUp, Log: d.Log}
	}
	d.catalogs = &follow.Catalogs{Current: d.Catalog, Decode: d.adapter.DecodeConfig, Key: d.adapter.KeyConfig, SettleTime: returnGrace, OnAdopted: d.applyCatalog, Log: d.Log}
	spaces := []*mirror.Space{
		space(d.adapter.PrefixConfig, d.catalogs), space(d.adapter.PrefixReplicas, d.Replicas),
		space(d.adapter.PrefixWeights, d.Weights), space(prefixVMs, &d.vms), space(versionlog.Prefix, d.versions),
	}
	if d.Forward.Software != nil {
		spaces = append(spaces, space(canary.Prefix, d.Forward.Software))
	}
	d.mirrors = &mirror.Server{Spaces: spaces, Notifier: wakeUp}
	d.reader = &mirror.Reader{
		AssistPeers: d.vms.assistPeers, StoreAnswered: d.storeAnsweredAt, AssistAfter: d.Settings.Edge.ProofEvery.D() + answerMargin,
		Spaces: spaces, UpstreamPeers: d.vms.upstreamPeers, Bootstrap: d.listVMs, StartPeers: d.vms.startPeers, ReadStore: d.readStore, Log: d.Log, Wait: d.Settings.Edge.ProofEvery.D() / 4, Meter: d.adapter.Meter,
	}
	d.mirrors.Assisted = d.reader.Assisted
}

// readStore follows the store until ctx ends.
func (d *Daemon) readStore(ctx context.Context) {
	var health follow.StoreHealth
	var all sync.WaitGroup
	defer all.Wait()
	for _, s := range d.mirrors.Spaces {
		at, known := s.At()
		var handler follow.Handler = s
		if s.Prefix == d.adapter.PrefixConfig {
			handler = &storeAnswers{Handler: s, at: &d.storeAnswered, d: d}
		}
		f := &follow.Follower{
			Store: d.store, Prefix: s.Prefix, Handler: handler, Log: d.Log, Health: &health,
			Wait: d.wait(s.Prefix), CoalesceDelay: d.coalesceDelay(s.Prefix), Reconnecting: known && clock.Since(at.Sent) > storeLostAfter,
		}
		if s.Prefix == versionlog.Prefix {
			f.WatchDelay = versionsWatchDelay
		}
		all.Go(func() { f.Run(ctx) })
	}
}

// wait returns a function that gives the wait of the watch of a key space.
func (d *Daemon) wait(prefix string) func() time.Duration {
	return func() time.Duration {
		switch {
		case prefix == versionlog.Prefix:
			return versionsWatchWait
		case prefix != d.adapter.PrefixConfig:
			return watchWait
		case d.vms.count() > d.Settings.Edge.DirectFleet:
			return d.catalogs.Wait(min(relayWait, d.Settings.Edge.ProofEvery.D()/2))
		default:
			return d.catalogs.Wait(d.Settings.Edge.ProofEvery.D())
		}
	}
}

// coalesceDelay returns a function that gives the delay for changes of a key space, or nil for the
// key spaces whose changes take effect at once, such as the configuration and the weights.
func (d *Daemon) coalesceDelay(prefix string) func() time.Duration {
	if prefix != d.adapter.PrefixReplicas && prefix != prefixVMs {
		return nil
	}
	return func() time.Duration { return min(time.Duration(d.vms.count())*coalescePerVM, maxCoalesce) }
}

// upstreamPeers returns the VMs that this VM may read the store through, in order of preference:
// those of its failure domain that rank before it, then the first VMs of the domains that rank
// before its own. One VM thus reads the store for the whole fleet, one VM of each other domain
// reads from another domain, and the others read from the reader of their domain; a partitioned
// domain has a reader of its own. With a store reader in each of six domains, the six made 14 calls
// per second.
func (c *vmList) upstreamPeers() []mirror.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records) <= c.d.Settings.Edge.DirectFleet {
		return nil
	}
	domain := c.d.Settings.FailureDomain
	key := readerKey(domain)
	own := vmRecord{VM: c.d.Settings.VM, LinkMbps: int(c.d.Settings.Edge.LinkMbps)}
	var all []vmRecord
	for _, r := range c.records {
		if r.FailureDomain == domain && byLink(key, r, own) < 0 {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b vmRecord) int { return byLink(key, a, b) })
	out := make([]mirror.Peer, 0, len(all))
	for _, r := range all {
		out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr})
	}
	return append(out, c.crossDomainReaders(domain)...)
}

// oneReader reports whether one VM reads the store for the others of its failure domain.
func (c *vmList) oneReader() bool { return c.count() > c.d.Settings.Edge.DirectFleet }

// startPeers returns the VMs whose copies of the store this VM reads at its start: the other VMs of a
// small fleet, if the store has come back from an older copy of itself at any time. In a large fleet a VM
// reads from its upstream peers anyway.
func (c *vmList) startPeers() []mirror.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.Era() == 0 || len(c.records) > c.d.Settings.Edge.DirectFleet {
		return nil
	}
	var out []mirror.Peer
	for _, r := range c.records {
		if r.VM != c.d.Settings.VM {
			out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr})
		}
	}
	return out
}

// readersPerDomain is the number of VMs of another failure domain to try: the first, and a second in
// case the first is gone.
const readersPerDomain = 2

// crossDomainReaders returns the first VMs of the failure domains that rank before domain, in rank
// order. The caller holds mu.
func (c *vmList) crossDomainReaders(domain ids.FailureDomain) []mirror.Peer {
	weight := func(d ids.FailureDomain) uint64 { return routing.VMWeight("store readers", ids.VM(d)) }
	domains := map[ids.FailureDomain][]vmRecord{}
	for _, r := range c.records {
		if weight(r.FailureDomain) > weight(domain) {
			domains[r.FailureDomain] = append(domains[r.FailureDomain], r)
		}
	}
	order := slices.SortedFunc(maps.Keys(domains), func(a, b ids.FailureDomain) int { return cmp.Compare(weight(b), weight(a)) })
	var out []mirror.Peer
	for _, d := range order {
		key := readerKey(d)
		slices.SortFunc(domains[d], func(a, b vmRecord) int { return byLink(key, a, b) })
		for _, r := range domains[d][:min(readersPerDomain, len(domains[d]))] {
			out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr, CrossDomain: true})
		}
	}
	return out
}

// readerKey returns the rendezvous key of a failure domain's store readers.
func readerKey(domain ids.FailureDomain) ids.Target {
	return ids.Target("store reader of " + string(domain))
}

// Attempts of a starting VM to list its peers.
const (
	// listAttempts is the number of failed attempts after which the VM reads the whole store itself.
	listAttempts = 4
	// listPause is the mean pause between attempts.
	listPause = 200 * time.Millisecond
)

// listVMs lists the entry VMs, since a starting VM reads all other data from its peers. It accepts a
// stale list, which costs a tenth of a current one; a peer missing from it appears later. Without
// a list this VM reads the store itself.
func (d *Daemon) listVMs(ctx context.Context) {
	for range listAttempts {
		objects, rev, err := d.store.List(objectapi.WithStale(ctx), prefixVMs)
		if err == nil {
			d.vms.Listed(objects, follow.At{Revision: rev, Answered: clock.Now()}, false) // without Sent: a stale list proves no state
			return
		}
		if !timing.Sleep(ctx, listPause/2+rand.N(listPause)) {
			return
		}
	}
}

// byLink compares VMs for tasks whose traffic grows with the size of the fleet: faster links first,
// and by rendezvous weight among equal links.
func byLink(key ids.Target, a, b vmRecord) int {
	if a.LinkMbps != b.LinkMbps {
		return cmp.Compare(b.LinkMbps, a.LinkMbps)
	}
	return cmp.Compare(routing.VMWeight(key, b.VM), routing.VMWeight(key, a.VM))
}

// servePeers serves this VM's copy of the store, and tunnels to targets, to peers.
func (d *Daemon) servePeers() error {
	listener, err := sockets.Listen(d.Settings.PeerListen)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", d.Settings.PeerListen)
	}
	d.peerListener = ingress.LimitPeers(listener, ingress.MaxPeers(d.Settings.Edge.MemoryMB<<20, ingress.DivideDescriptors(d.Settings.MaxDescriptors)))
	d.peerServer = grpc.NewServer(append(tunnel.ServerOptions(), ingress.PeerServerOptions()...)...)
	mirrorpb.RegisterMirrorServer(d.peerServer, d.mirrors)
	tunnelpb.RegisterTunnelServer(d.peerServer, d.tunnels)
	d.run("serve-peers", func() error { return d.peerServer.Serve(d.peerListener) })
	return nil
}
