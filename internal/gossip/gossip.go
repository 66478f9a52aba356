// Package gossip queues the updates that a VM sends to its peers and fills messages
// with them: the most urgent updates first, within a byte budget per message.
//
// A VM sends its own updates to every peer of its failure domain on an open stream;
// peers do not forward them. At 22 VMs that costs fewer bytes than any scheme in which peers
// forward updates (docs/design/gossip.md), takes one hop, and depends on no third VM.
package gossip

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/threadwall/threadwall/internal/peerpb"
)

// maxDispatches bounds the queued dispatches; a new one replaces the oldest.
const maxDispatches = 256

// Outbox holds updates until Fill puts them into a message. It is safe for concurrent use.
type Outbox struct {
	mu         sync.Mutex
	urgent     map[uint32]*peerpb.TargetReport // by target: it is leaving, has stopped responding or has restarted
	loads      map[uint32]*peerpb.TargetReport // all other reports, by target
	dispatches []*peerpb.Dispatch              // newest last
	demands    map[uint32]*peerpb.Demand
	sent       map[uint32]*peerpb.Demand // demands as last sent
	dropped    uint64                    // see Dropped
}

// New returns an empty outbox.
func New() *Outbox {
	return &Outbox{
		urgent: map[uint32]*peerpb.TargetReport{}, loads: map[uint32]*peerpb.TargetReport{},
		demands: map[uint32]*peerpb.Demand{}, sent: map[uint32]*peerpb.Demand{},
	}
}

// Report queues a report on a target. An urgent report replaces all earlier ones on the target,
// any other report only those that are not urgent. Fill sends an urgent report regardless of the
// budget.
func (o *Outbox) Report(r *peerpb.TargetReport, urgent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if urgent {
		o.urgent[r.Target] = r
		delete(o.loads, r.Target)
		return
	}
	o.loads[r.Target] = r
}

// Dispatch queues a dispatch. If maxDispatches are queued, it drops the oldest.
func (o *Outbox) Dispatch(d *peerpb.Dispatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.dispatches) == maxDispatches {
		o.dispatches = o.dispatches[1:]
		o.dropped++
	}
	o.dispatches = append(o.dispatches, d)
}

// demandChange is the relative change beyond which a demand is sent again.
const demandChange = 0.25

// Demand queues a workspace's demand if it differs from the one last sent by more than
// demandChange.
func (o *Outbox) Demand(d *peerpb.Demand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, ok := o.sent[d.Workspace]
	if ok && !changed(sent.Decirequests, d.Decirequests) && !changed(sent.Decioffered, d.Decioffered) {
		return
	}
	o.demands[d.Workspace] = d
}

// changed reports whether a value differs from the one last sent by more than demandChange.
func changed(sent, current uint32) bool {
	diff := float64(current) - float64(sent)
	return max(diff, -diff) > demandChange*float64(sent)
}

// Pending reports whether any update is queued. Heartbeats are not queued in an Outbox.
func (o *Outbox) Pending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.urgent)+len(o.loads)+len(o.dispatches)+len(o.demands) > 0
}

// Fill moves queued updates into n, up to about budget bytes: all urgent reports, then
// demands, dispatches newest first, and loads with the longest queues first. Demands that
// do not fit stay queued. Dispatches and loads that do not fit are dropped, since newer
// ones replace them.
func (o *Outbox) Fill(n *peerpb.News, budget int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	left := budget
	fits := func(m proto.Message) bool {
		left -= proto.Size(m) + fieldOverhead
		return left >= 0
	}
	for _, k := range slices.Sorted(maps.Keys(o.urgent)) {
		n.Reports = append(n.Reports, o.urgent[k])
		fits(o.urgent[k])
	}
	clear(o.urgent)
	for _, k := range slices.Sorted(maps.Keys(o.demands)) {
		if d := o.demands[k]; fits(d) {
			n.Demands = append(n.Demands, d)
			o.sent[k] = d
			delete(o.demands, k)
		}
	}
	o.fillDispatches(n, fits)
	o.fillLoads(n, fits)
}

// fieldOverhead is the size of the tag and length of one entry, in bytes.
const fieldOverhead = 2

func (o *Outbox) fillDispatches(n *peerpb.News, fits func(proto.Message) bool) {
	for len(o.dispatches) > 0 {
		last := len(o.dispatches) - 1
		if !fits(o.dispatches[last]) {
			break
		}
		n.Dispatches = append(n.Dispatches, o.dispatches[last])
		o.dispatches = o.dispatches[:last]
	}
	o.dropped += uint64(len(o.dispatches))
	o.dispatches = nil
}

func (o *Outbox) fillLoads(n *peerpb.News, fits func(proto.Message) bool) {
	loads := slices.SortedFunc(maps.Values(o.loads), func(a, b *peerpb.TargetReport) int {
		return cmp.Or(-cmp.Compare(a.QueuedTokens, b.QueuedTokens), cmp.Compare(a.Target, b.Target))
	})
	for _, r := range loads {
		if !fits(r) {
			o.dropped++
			continue
		}
		n.Reports = append(n.Reports, r)
	}
	clear(o.loads)
}

// Dropped returns the number of dispatches and loads that did not fit into the queue or a
// message.
func (o *Outbox) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
