package peers

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// Server answers peers.
type Server struct {
	peerpb.UnimplementedPeerServer
	Node *Node
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	s.Node.absorb(d, "")
	return &peerpb.Digest{Hlc: uint64(s.Node.Events.Clock().Now()), Self: s.Node.beat()}, nil
}

// FetchConfig implements peerpb.PeerServer.
func (s *Server) FetchConfig(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigSnapshot, error) {
	return snapshotProto(s.Node.space(r.KeySpace).Since(objectapi.Revision(r.Have))), nil
}

// maxStateBeliefs bounds the beliefs that a starting VM is given.
const maxStateBeliefs = 50_000

// FetchState implements peerpb.PeerServer.
func (s *Server) FetchState(_ context.Context, r *peerpb.StateRequest) (*peerpb.StateSnapshot, error) {
	n := s.Node
	if !n.gate.TryAcquire(1) {
		return nil, status.Error(codes.ResourceExhausted, "busy with other starting VMs")
	}
	defer n.gate.Release(1)
	d := &peerpb.Digest{Hlc: uint64(n.Events.Clock().Now()), Self: n.beat()}
	now := time.Now()
	for _, p := range n.Fleet.Members.Peers(now) {
		if p.State >= routing.Joining && p.Counter > 0 && string(p.ID) != r.Vm {
			d.Beats = append(d.Beats, &peerpb.Beat{
				Vm: string(p.ID), Incarnation: uint64(p.Incarnation), Counter: p.Counter, ConfigRevision: p.ConfigRevision, Leaving: p.Leaving,
			})
		}
	}
	for _, t := range n.Fleet.Members.Targets(now) {
		if t.Report.Seq == 0 {
			continue
		}
		d.Reports = append(d.Reports, &peerpb.TargetReport{
			Target: routing.HashTarget(t.ID), Incarnation: uint64(t.Incarnation), Seq: t.Report.Seq,
			QueuedTokens: uint32(max(t.Report.QueuedTokens, 0)), Running: uint32(max(t.Report.Running, 0)), Slots: uint32(max(t.Report.Slots, 0)),
			PrefillRate: uint32(max(t.Report.PrefillRate, 0)), Leaving: t.State == routing.Leaving, Silent: t.Report.Silent, Weights: string(t.Weights),
		})
	}
	for _, b := range n.Fleet.Cache.Beliefs(maxStateBeliefs) {
		d.Beliefs = append(d.Beliefs, &peerpb.Belief{Prefix: uint64(b.ID), Target: routing.HashTarget(b.Target), Life: uint32(b.Life)})
	}
	return &peerpb.StateSnapshot{
		Config: snapshotProto(n.Config.Since(0)), Platform: snapshotProto(n.Platform.Since(0)), Digest: d,
	}, nil
}

// FetchState asks one peer for what a starting VM needs, and takes it in.
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
	if snap.Digest != nil {
		n.absorb(snap.Digest, addr)
	}
	return nil
}

// space returns the copy of a key space.
func (n *Node) space(k peerpb.KeySpace) *confsync.Store {
	if k == peerpb.KeySpace_PLATFORM {
		return n.Platform
	}
	return n.Config
}

// Adopt offers a revision of a key space and records what became of it.
func (n *Node) Adopt(k peerpb.KeySpace, s confsync.Snapshot, from string) confsync.Verdict {
	v := n.space(k).Offer(s)
	if v == confsync.Adopted {
		n.Events.Record(timeline.Event{Kind: timeline.KindConfig, Peer: from, Text: "adopted " + k.String()}, adoption{
			Revision: s.Revision, Base: s.Base, Objects: len(s.Objects), Deleted: len(s.Deleted),
		})
	}
	return v
}

// adoption is the detail of a config event.
type adoption struct {
	Revision objectapi.Revision `json:"revision"`
	Base     objectapi.Revision `json:"base,omitempty"`
	Objects  int                `json:"objects"`
	Deleted  int                `json:"deleted,omitempty"`
}

// FetchWanted is the duty that fetches revisions which peers have and we lack.
func (n *Node) FetchWanted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.wants.Out():
			n.fetch(ctx, w)
		}
	}
}

// fetch asks a peer for what it has beyond our revision, first as a delta.
func (n *Node) fetch(ctx context.Context, w want) {
	if w.addr == "" {
		w.addr = n.addrOf(ids.VM(w.vm))
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
		if n.Adopt(w.space, snapshotOf(snap), "peer "+w.vm) != confsync.WrongBase {
			return
		}
	}
}

func (n *Node) addrOf(vm ids.VM) string {
	for _, p := range n.Fleet.Members.Peers(time.Now()) {
		if p.ID == vm {
			return p.PeerAddr
		}
	}
	return ""
}

// byteCounter counts what calls to peers cost on the wire, headers included.
type byteCounter struct{ n *Node }

var _ stats.Handler = (*byteCounter)(nil)

// TagRPC implements stats.Handler.
func (*byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*byteCounter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (b *byteCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.OutPayload:
		b.n.BytesOut.Add(int64(s.WireLength))
	case *stats.InPayload:
		b.n.BytesIn.Add(int64(s.WireLength))
	case *stats.InHeader:
		b.n.BytesIn.Add(int64(s.WireLength))
	}
}
