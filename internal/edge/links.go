package edge

import (
	"context"
	"net"
	"slices"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/forward"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvfeed"
	"github.com/threadwall/threadwall/internal/links"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/traffic"
	"github.com/threadwall/threadwall/internal/tunnel"
	"github.com/threadwall/threadwall/internal/tunnelpb"
	"github.com/threadwall/threadwall/internal/upstream"
)

// Bounds of the tunnels of one VM.
const (
	// maxTunnels bounds the tunnels that a VM opens and, separately, those that it serves. A tunnel takes up to
	// about 100 KB, most of it only if its data is not read.
	maxTunnels = 128
	// tunnelsPerMB is the number of tunnels for each MB of the memory setting, if that is less.
	tunnelsPerMB = 1
	// maxTunnelPeers bounds the peers through which a VM opens tunnels, and with them its connections to peers.
	maxTunnelPeers = 8
	// sameDomainPeers is the number of these that are in the VM's own failure domain, if there are enough others:
	// a whole domain may be cut off.
	sameDomainPeers = 4
)

// buildLinks creates the state of this VM's links to targets, and the two ends of tunnels.
func (d *Daemon) buildLinks(client *upstream.Client) {
	limit := int64(maxTunnels)
	if mb := d.Settings.Edge.MemoryMB; mb > 0 {
		limit = min(limit, mb*tunnelsPerMB)
	}
	d.links = &links.Table{
		DialTimeout: d.Settings.DialTimeout.D(), Peers: d.vms.tunnelPeers, Tunnels: &tunnel.Client{MaxOpen: limit},
		Targets: d.linkTargets, OnChange: d.onLinkChange, Log: d.Log,
	}
	client.Links = d.links
	d.tunnels = &tunnel.Server{Connect: d.connectForPeer, Max: limit}
	if d.adapter.SetFeedDial != nil {
		d.adapter.SetFeedDial(d.dialWith(d.links.Connect))
	}
	if d.adapter.SetOrderDial != nil {
		d.adapter.SetOrderDial(d.dialWith(d.links.DialOwn)) // orders through a peer would look like those of two holders
	}
}

// linkTargets returns the targets that this VM sends calls to.
func (d *Daemon) linkTargets() []links.Target {
	var out []links.Target
	for _, r := range d.Replicas.Active() {
		if r.State != platform.StateLeaving {
			out = append(out, links.Target{ID: ids.Target(r.ID), Addr: r.Addr})
		}
	}
	return out
}

// onLinkChange applies the loss of a link, or its end. What this VM has recorded against the target was due to
// the link.
func (d *Daemon) onLinkChange(id ids.Target, _ bool) {
	d.Fleet.Members.ForgetFailures(id)
	d.Fleet.MarkDirty()
}

// targetAt returns the replica or KV store at an address.
func (d *Daemon) targetAt(addr string) (links.Target, bool) {
	var id ids.Target
	d.Replicas.Each(func(r *platform.Record) bool {
		if r.Addr == addr {
			id = ids.Target(r.ID)
		}
		return id == ""
	})
	if id == "" && d.kvStore(func(kv *catalog.KVStore) bool { return kv.Addr == addr }) != nil {
		id = forward.StoreTarget(addr)
	}
	return links.Target{ID: id, Addr: addr}, id != ""
}

// dialWith returns a function that connects to the replica or KV store at an address in a way of the links.
func (d *Daemon) dialWith(connect func(ctx context.Context, tgt links.Target) (net.Conn, error)) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		tgt, known := d.targetAt(addr)
		if !known {
			return sockets.Dialer(d.Settings.DialTimeout.D()).DialContext(ctx, "tcp", addr)
		}
		return connect(ctx, tgt)
	}
}

// feedLinkLost reports whether a read of a cache feed failed because this VM's own link is lost.
func (d *Daemon) feedLinkLost(ctx context.Context, s kvfeed.Source) bool {
	return d.links.Check(ctx, links.Target{ID: s.ID, Addr: s.Addr}) == links.Lost
}

// connectForPeer connects to a target for a peer, over this VM's own link. It knows the address by itself, so
// that peers can connect to targets only.
func (d *Daemon) connectForPeer(ctx context.Context, id ids.Target) (net.Conn, tunnelpb.Result) {
	addr, ok := d.addrOf(id)
	if !ok {
		return nil, tunnelpb.Result_UNKNOWN
	}
	conn, result := d.links.Serve(ctx, links.Target{ID: id, Addr: addr})
	if conn == nil {
		return nil, result
	}
	return d.adapter.Meter.Conn(conn, traffic.Tunnels, traffic.Tunnels), result
}

// addrOf returns the address of a replica or a KV store.
func (d *Daemon) addrOf(id ids.Target) (addr string, ok bool) {
	d.Replicas.Each(func(r *platform.Record) bool {
		if ids.Target(r.ID) == id {
			addr = r.Addr
		}
		return addr == ""
	})
	if addr != "" {
		return addr, true
	}
	if kv := d.kvStore(func(kv *catalog.KVStore) bool { return forward.StoreTarget(kv.Addr) == id }); kv != nil {
		return kv.Addr, true
	}
	return "", false
}

// tunnelPeers returns the live VMs through which this VM may reach a target: a bounded set, the same for all
// targets, in an order by target that spreads the tunnels over the set. VMs of this VM's failure domain are first:
// their traffic crosses no boundary more than this VM's own would.
func (c *vmList) tunnelPeers(id ids.Target) []tunnel.Peer {
	same, other := c.livePeers("tunnels")
	same, other = withTunnels(same), withTunnels(other)
	same = same[:min(len(same), max(sameDomainPeers, maxTunnelPeers-len(other)))]
	other = other[:min(len(other), maxTunnelPeers-len(same))]
	sortByWeight(same, id)
	sortByWeight(other, id)
	out := make([]tunnel.Peer, 0, len(same)+len(other))
	for _, r := range append(same, other...) {
		out = append(out, tunnel.Peer{VM: r.VM, FailureDomain: r.FailureDomain, Addr: r.PeerAddr})
	}
	return out
}

// withTunnels returns the VMs whose releases know tunnels.
func withTunnels(all []vmRecord) []vmRecord {
	return slices.DeleteFunc(all, func(r vmRecord) bool { return !r.Tunnels })
}

// LinkMetrics shows which links of this VM are lost, and counts the connections through peers.
type LinkMetrics struct {
	Lost           int   `json:"lost"`    // links that are lost now
	Losses         int64 `json:"losses"`  // links that were lost since the start
	Tunneled       int64 `json:"through"` // requests sent through peers
	Tunnels        int64 `json:"tunnels"` // open now, through peers
	Opened         int64 `json:"opened"`
	Serving        int64 `json:"serving"` // open now, for peers
	Served         int64 `json:"served"`
	RefusedToPeers int64 `json:"refused_to_peers"`
}

func (d *Daemon) linkMetrics() LinkMetrics {
	return LinkMetrics{
		Lost: len(d.links.LostLinks()), Losses: d.links.Losses.Load(), Tunneled: d.Forward.Upstream.Tunneled.Load(),
		Tunnels: d.links.Tunnels.Open(), Opened: d.links.Tunnels.Opened.Load(),
		Serving: d.tunnels.OpenTunnels(), Served: d.tunnels.Served.Load(), RefusedToPeers: d.tunnels.Refused.Load(),
	}
}
