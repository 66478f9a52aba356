// Package gossip decides what a VM tells its peers, and in which order: the most
// urgent news first, within a budget of bytes a message.
//
// A VM tells its own news to every peer of its failure domain on an open stream;
// nobody passes news on. At 22 VMs that costs fewer bytes than any scheme which
// relays (docs/design/gossip.md), takes one hop, and depends on nobody else.
package gossip

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/threadwall/threadwall/internal/peerpb"
)

// maxDispatches bounds the dispatches that wait to be told; the oldest give way.
const maxDispatches = 256

// Outbox holds news until it is told. Safe for concurrent use.
type Outbox struct {
	mu         sync.Mutex
	urgent     map[uint32]*peerpb.TargetReport // a target leaves, falls silent or is reborn
	loads      map[uint32]*peerpb.TargetReport
	dispatches []*peerpb.Dispatch // newest last
	demands    map[uint32]*peerpb.Demand
	told       map[uint32]*peerpb.Demand // demands as last told
	dropped    uint64
}

// New returns an empty outbox.
func New() *Outbox {
	return &Outbox{
		urgent: map[uint32]*peerpb.TargetReport{}, loads: map[uint32]*peerpb.TargetReport{},
		demands: map[uint32]*peerpb.Demand{}, told: map[uint32]*peerpb.Demand{},
	}
}

// Report adds a report on a target; it replaces an earlier one.
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

// Dispatch adds a dispatch.
func (o *Outbox) Dispatch(d *peerpb.Dispatch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.dispatches) == maxDispatches {
		o.dispatches = o.dispatches[1:]
		o.dropped++
	}
	o.dispatches = append(o.dispatches, d)
}

// Demands are told again when they changed by this part.
const demandChange = 0.25

// Demand adds a workspace's demand if it differs from what was told by a quarter.
func (o *Outbox) Demand(d *peerpb.Demand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	told, ok := o.told[d.Workspace]
	if ok && !changed(told.Decirequests, d.Decirequests) && !changed(told.Decioffered, d.Decioffered) {
		return
	}
	o.demands[d.Workspace] = d
}

// changed tells whether a figure differs from what was told by more than demandChange.
func changed(told, is uint32) bool {
	diff := float64(is) - float64(told)
	return max(diff, -diff) > demandChange*float64(told)
}

// Pending returns whether there is anything to tell beside the heartbeat.
func (o *Outbox) Pending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.urgent)+len(o.loads)+len(o.dispatches)+len(o.demands) > 0
}

// Fill moves news into a message, up to about budget bytes: urgent reports
// always, then demands, dispatches newest first, and loads, the longest queues
// first. What finds no room is dropped if newer news will say it better, and
// waits otherwise.
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
			o.told[k] = d
			delete(o.demands, k)
		}
	}
	o.fillDispatches(n, fits)
	o.fillLoads(n, fits)
}

// fieldOverhead is the tag and length of one entry, in bytes.
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

// Dropped returns how much news found no room.
func (o *Outbox) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}
