package edge

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/mirror"
	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// relayWait is how long the watch of the configuration waits at a VM that reads the
	// store for others, at most: they leave a VM whose last contact is a second old. A
	// proof is as old as two waits at the VM that reads, and as two questions more at the
	// others; all four together stay within two of ProofEvery, as everywhere.
	relayWait = 600 * time.Millisecond
	// watchWait is how long a watch waits that proves nothing. It bounds how long one
	// that has gone silent stays unnoticed.
	watchWait = 5 * time.Second
	// gatherEach is how long changes of replicas are gathered, for each entry VM:
	// changes come in rows, and each wakes a watch.
	gatherEach = 8 * time.Millisecond
	// gatherMost bounds that; a replica that leaves must be noticed within two seconds.
	gatherMost = 300 * time.Millisecond
	// regainAfter is the age of what is known of the store from which it counts as lost.
	regainAfter = 2 * time.Second
)

// buildReader builds what reads the store, for this VM and for others.
func (d *Daemon) buildReader() {
	bell := &mirror.Bell{}
	space := func(prefix string, next follow.Handler) *mirror.Space {
		return &mirror.Space{Prefix: prefix, Next: d.Weights.Clock.Wrap(next), Bell: bell}
	}
	catalogs := &follow.Catalogs{Current: d.Catalog, Decode: d.adapter.DecodeConfig, Key: d.adapter.KeyConfig, OnAdopted: d.adopted, Log: d.Log}
	spaces := []*mirror.Space{
		space(d.adapter.PrefixConfig, catalogs), space(d.adapter.PrefixReplicas, d.Replicas),
		space(d.adapter.PrefixWeights, d.Weights), space(prefixVMs, &d.vms),
	}
	if d.Forward.Software != nil {
		spaces = append(spaces, space(canary.Prefix, d.Forward.Software))
	}
	d.mirrors = &mirror.Server{Spaces: spaces, Bell: bell}
	d.reader = &mirror.Reader{Spaces: spaces, Before: d.vms.before, Introduce: d.listVMs, Direct: d.readStore, Log: d.Log, Wait: d.Settings.Edge.ProofEvery.D() / 4, Meter: d.adapter.Meter}
}

// readStore follows the store until ctx ends.
func (d *Daemon) readStore(ctx context.Context) {
	var doubt follow.StoreHealth
	var all sync.WaitGroup
	defer all.Wait()
	for _, s := range d.mirrors.Spaces {
		at, known := s.At()
		f := &follow.Follower{
			Store: d.store, Prefix: s.Prefix, Handler: s, Log: d.Log, Health: &doubt,
			Wait: d.wait(s.Prefix), CoalesceDelay: d.gatherer(s.Prefix), Reconnecting: known && clock.Since(at.Sent) > regainAfter,
		}
		all.Go(func() { f.Run(ctx) })
	}
}

// wait tells how long the watch of a key space waits.
func (d *Daemon) wait(prefix string) func() time.Duration {
	return func() time.Duration {
		switch {
		case prefix != d.adapter.PrefixConfig:
			return watchWait
		case d.vms.count() > d.Settings.Edge.DirectFleet:
			return min(relayWait, d.Settings.Edge.ProofEvery.D()/2)
		default:
			return d.Settings.Edge.ProofEvery.D()
		}
	}
}

// gatherer tells how long changes of a key space are gathered; the configuration and
// weights take effect at once.
func (d *Daemon) gatherer(prefix string) func() time.Duration {
	if prefix != d.adapter.PrefixReplicas && prefix != prefixVMs {
		return nil
	}
	return func() time.Duration { return min(time.Duration(d.vms.count())*gatherEach, gatherMost) }
}

// before returns the VMs that this one reads from: those of its failure domain that come
// before it, and behind them the first ones of the domains that come before its own. So one
// VM reads the store for the whole fleet, one a domain from that one, and the others from
// theirs; a domain that is cut off has a reader of its own. With a reader of the store in
// each of six domains, these made 14 calls a second.
func (c *vmList) before() []mirror.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) <= c.d.Settings.Edge.DirectFleet {
		return nil
	}
	domain := c.d.Settings.FailureDomain
	key := readerKey(domain)
	own := vmRecord{VM: c.d.Settings.VM, LinkMbps: int(c.d.Settings.Edge.LinkMbps)}
	var all []vmRecord
	for _, r := range c.at {
		if r.FailureDomain == domain && byLink(key, r, own) < 0 {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b vmRecord) int { return byLink(key, a, b) })
	out := make([]mirror.Peer, 0, len(all))
	for _, r := range all {
		out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr})
	}
	return append(out, c.farReaders(domain)...)
}

// farEach is how many VMs of another domain are asked: a second one in case that the first
// is gone.
const farEach = 2

// farReaders returns the first VMs of the failure domains that come before one, in their
// order. The lock is held.
func (c *vmList) farReaders(domain ids.FailureDomain) []mirror.Peer {
	weight := func(d ids.FailureDomain) uint64 { return routing.VMWeight("store readers", ids.VM(d)) }
	domains := map[ids.FailureDomain][]vmRecord{}
	for _, r := range c.at {
		if weight(r.FailureDomain) > weight(domain) {
			domains[r.FailureDomain] = append(domains[r.FailureDomain], r)
		}
	}
	order := slices.SortedFunc(maps.Keys(domains), func(a, b ids.FailureDomain) int { return cmp.Compare(weight(b), weight(a)) })
	var out []mirror.Peer
	for _, d := range order {
		key := readerKey(d)
		slices.SortFunc(domains[d], func(a, b vmRecord) int { return byLink(key, a, b) })
		for _, r := range domains[d][:min(farEach, len(domains[d]))] {
			out = append(out, mirror.Peer{VM: r.VM, Addr: r.PeerAddr, Far: true})
		}
	}
	return out
}

// readerKey names a failure domain's readers of the store for rendezvous.
func readerKey(domain ids.FailureDomain) ids.Target {
	return ids.Target("store reader of " + string(domain))
}

// Tries of a VM that starts to learn its peers.
const (
	// listTries is after how many it reads all of the store by itself.
	listTries = 4
	// listPause is between two of them, on average.
	listPause = 200 * time.Millisecond
)

// listVMs lists the entry VMs: a VM that has started needs to know its peers, and reads the
// rest from them. The list may be old: it costs a tenth then, and a peer that it lacks is
// met later. Without it this VM reads the store itself.
func (d *Daemon) listVMs(ctx context.Context) {
	for range listTries {
		sent := clock.Now()
		objects, rev, err := d.store.List(objectapi.WithStale(ctx), prefixVMs)
		if err == nil {
			d.vms.Listed(objects, follow.At{Revision: rev, Sent: sent, Answered: clock.Now()}, false)
			return
		}
		if !timing.Sleep(ctx, listPause/2+rand.N(listPause)) {
			return
		}
	}
}

// byLink orders VMs for a work that grows with the number of the others: the widest links
// first, and VMs with equal ones by rendezvous.
func byLink(key ids.Target, a, b vmRecord) int {
	if a.LinkMbps != b.LinkMbps {
		return cmp.Compare(b.LinkMbps, a.LinkMbps)
	}
	return cmp.Compare(routing.VMWeight(key, b.VM), routing.VMWeight(key, a.VM))
}

// serveMirrors lets peers read what this VM has read of the store.
func (d *Daemon) serveMirrors() error {
	listener, err := net.Listen("tcp", d.Settings.PeerListen)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", d.Settings.PeerListen)
	}
	d.peerServer = grpc.NewServer()
	mirrorpb.RegisterMirrorServer(d.peerServer, d.mirrors)
	d.run("serve-peers", func() error { return d.peerServer.Serve(listener) })
	return nil
}
