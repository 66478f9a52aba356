package peers

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// Server implements the gRPC service that peers call. It is safe for concurrent use.
type Server struct {
	peerpb.UnimplementedPeerServer
	Node *Node
}

// Tell applies the updates that a peer sends on a stream, until the stream ends. The first one must
// name the sending VM. Tell implements peerpb.PeerServer.
func (s *Server) Tell(in grpc.ClientStreamingServer[peerpb.News, peerpb.TellEnd]) error {
	first, err := in.Recv()
	if err != nil {
		return err
	}
	if first.Vm == "" {
		return status.Error(codes.InvalidArgument, "the first message must name the sending VM")
	}
	for m := first; ; {
		s.Node.applyUpdate(ids.VM(first.Vm), first.Incarnation, m)
		if m, err = in.Recv(); err != nil {
			return err
		}
	}
}

// Exchange applies the summary of a VM of another domain and returns this VM's own. It implements
// peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, m *peerpb.Summary) (*peerpb.Summary, error) {
	s.Node.applySummary(m, "")
	return s.Node.summary(), nil
}

// FetchConfig returns the changes of a key space since a revision, or all of it if the changes
// cannot be computed. It implements peerpb.PeerServer.
func (s *Server) FetchConfig(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigSnapshot, error) {
	return snapshotProto(s.Node.space(r.KeySpace).Since(objectapi.Revision(r.Have))), nil
}

// maxStateEntries bounds the cache view entries that are sent to a starting VM: as many as a
// VM's table holds, 8 bytes each.
const maxStateEntries = 128 << 10

// FetchState returns the state that a starting VM needs. It fails with ResourceExhausted if
// maxStateCalls calls are running. It implements peerpb.PeerServer.
func (s *Server) FetchState(_ context.Context, r *peerpb.StateRequest) (*peerpb.StateSnapshot, error) {
	n := s.Node
	if !n.stateCalls.TryAcquire(1) {
		return nil, status.Error(codes.ResourceExhausted, "busy with other starting VMs")
	}
	defer n.stateCalls.Release(1)
	out := &peerpb.StateSnapshot{
		Config: snapshotProto(n.Config.Since(0)), Platform: snapshotProto(n.Platform.Since(0)),
		Hlc: uint64(n.Events.Clock().Now()), Vms: n.knownVMs(r.Vm), Suspects: suspectsProto(n.Crashes.Snapshot()),
	}
	for _, t := range n.Fleet.Members.Targets(clock.Now()) {
		if report := t.Report; report.Seq > 0 {
			report.Leaving = t.State == routing.Leaving
			out.Reports = append(out.Reports, reportProto(t.ID, report))
		}
	}
	held := map[uint32]*peerpb.Held{}
	for _, e := range n.Fleet.Cache.Entries(maxStateEntries) {
		h := held[targetHash(e.Target)]
		if h == nil {
			h = &peerpb.Held{Target: targetHash(e.Target), Life: uint32(uint16(e.Generation))}
			held[h.Target] = h
			out.Held = append(out.Held, h)
		}
		h.Prefixes = append(h.Prefixes, uint64(e.ID))
	}
	return out, nil
}

// knownVMs lists this VM and its peers, except the VM that sent the request.
func (n *Node) knownVMs(except string) []*peerpb.KnownVM {
	out := []*peerpb.KnownVM{{Vm: string(n.VM), Incarnation: uint64(n.Incarnation), Beat: n.beat()}}
	for _, p := range n.Fleet.Members.Peers(clock.Now()) {
		if p.State >= routing.Joining && p.Counter > 0 && string(p.ID) != except {
			out = append(out, &peerpb.KnownVM{Vm: string(p.ID), Incarnation: uint64(p.Incarnation), Beat: &peerpb.Beat{
				Counter: p.Counter, ConfigRevision: p.ConfigRevision, Leaving: p.Leaving,
			}})
		}
	}
	return out
}

// FetchState fetches the state that a starting VM needs from the peer at addr and applies it. It
// has no timeout other than ctx, and applies nothing if it returns an error.
func (n *Node) FetchState(ctx context.Context, addr string) error {
	c, err := n.client(addr)
	if err != nil {
		return err
	}
	snap, err := c.FetchState(ctx, &peerpb.StateRequest{Vm: string(n.VM)})
	if err != nil {
		return err
	}
	for space, p := range map[peerpb.KeySpace]*peerpb.ConfigSnapshot{peerpb.KeySpace_PLATFORM: snap.Platform, peerpb.KeySpace_CONFIG: snap.Config} {
		if p.GetRevision() > 0 {
			n.Adopt(space, snapshotOf(p), "peer "+addr)
		}
	}
	n.Fleet.Refresh()
	n.applySuspects(ids.VM(addr), snap.Suspects, false)
	n.Events.Clock().Observe(hlc.Stamp(snap.Hlc))
	for _, v := range snap.Vms {
		n.applyBeat(ids.VM(v.Vm), v.Incarnation, v.Beat, "")
	}
	for _, r := range snap.Reports {
		n.applyReport(r)
	}
	n.Fleet.Refresh()
	for _, h := range snap.Held {
		n.applyDispatch(&peerpb.Dispatch{Target: h.Target, Life: h.Life, Prefixes: h.Prefixes})
	}
	return nil
}

// space returns the local store of a key space.
func (n *Node) space(k peerpb.KeySpace) *confsync.Store {
	if k == peerpb.KeySpace_PLATFORM {
		return n.Platform
	}
	return n.Config
}

// Adopt offers a revision of a key space to its store, records an adoption in the timeline with
// its source, from, and returns the result of the offer.
func (n *Node) Adopt(k peerpb.KeySpace, s confsync.Snapshot, from string) confsync.OfferResult {
	result := n.space(k).Offer(s)
	if result == confsync.Adopted {
		n.Events.Record(timeline.Event{Kind: timeline.KindConfig, Peer: from, Text: "adopted " + k.String()}, adoption{
			Revision: s.Revision, Base: s.Base, Objects: len(s.Objects), Deleted: len(s.Deleted),
		})
	}
	return result
}

// adoption is the detail of a config event.
type adoption struct {
	Revision objectapi.Revision `json:"revision"`
	Base     objectapi.Revision `json:"base,omitempty"`
	Objects  int                `json:"objects"`
	Deleted  int                `json:"deleted,omitempty"`
}

// FetchWanted fetches newer revisions that peers have announced, one after the other, until ctx
// ends. It counts failed calls in Failures.
func (n *Node) FetchWanted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.wanted.Out():
			n.fetch(ctx, w)
		}
	}
}

// fetch fetches a newer revision from a peer: first as a delta, then in full if the base differs.
func (n *Node) fetch(ctx context.Context, w wantedRevision) {
	if w.addr == "" {
		w.addr = n.addrOf(w.vm)
	}
	if w.addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := n.client(w.addr)
	if err != nil {
		return
	}
	for _, have := range []objectapi.Revision{n.space(w.space).Revision(), 0} {
		snap, err := c.FetchConfig(ctx, &peerpb.ConfigRequest{Have: uint64(have), KeySpace: w.space})
		if err != nil {
			n.Failures.Add(1)
			return
		}
		if n.Adopt(w.space, snapshotOf(snap), "peer "+string(w.vm)) != confsync.WrongBase {
			return
		}
	}
}

func (n *Node) addrOf(vm ids.VM) string {
	for _, p := range n.Fleet.Members.Peers(clock.Now()) {
		if p.ID == vm {
			return p.PeerAddr
		}
	}
	return ""
}

// snapshotProto encodes a snapshot of a key space for peers.
func snapshotProto(s confsync.Snapshot) *peerpb.ConfigSnapshot {
	out := &peerpb.ConfigSnapshot{Revision: uint64(s.Revision), Floor: uint64(s.Floor), Base: uint64(s.Base), Deleted: s.Deleted}
	for _, o := range s.Objects {
		out.Objects = append(out.Objects, &peerpb.ConfigObject{Key: o.Key, Value: o.Value, Version: uint64(o.Version)})
	}
	return out
}

func snapshotOf(p *peerpb.ConfigSnapshot) confsync.Snapshot {
	s := confsync.Snapshot{
		Base: objectapi.Revision(p.Base), Revision: objectapi.Revision(p.Revision),
		Floor: objectapi.Revision(p.Floor), Deleted: p.Deleted,
	}
	for _, o := range p.Objects {
		s.Objects = append(s.Objects, objectapi.Object{Key: o.Key, Value: o.Value, Version: objectapi.Revision(o.Version)})
	}
	return s
}
