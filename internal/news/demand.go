package news

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/threadwall/threadwall/internal/demand"
)

// Reports of demand (package demand) travel with the rounds of loads, in one round for each demandInterval:
// outside the tree a VM's own report in a message, in the tree the sums of several VMs in a digest. The
// receiver of a message without demand keeps the previous report.

const (
	// demandInterval is the mean time between two reports of demand to the same receivers. Their sums
	// decay with a time constant of 2 s, so that more frequent ones tell little more.
	demandInterval = 500 * time.Millisecond
	// rootDemandOffset and totalDemandOffset are the times within an interval after which roots report
	// to each other, and totals are sent. Each is a round and the delay of a datagram after the step
	// before it.
	rootDemandOffset  = treeRoundInterval + 20*time.Millisecond
	totalDemandOffset = 2 * rootDemandOffset
	// demandTTL is the time for which a VM of the tree forwards sums that it has received. It is that
	// for which package demand counts a report.
	demandTTL = 2500 * time.Millisecond
)

// demandSums are the sums of several VMs.
type demandSums struct {
	_      struct{} `cbor:",toarray"`
	Report packedReport
	// VMs is the number of VMs whose sums are included. It is lower than the number of members of the
	// digest if some of them, or some on the way, run an earlier release, which sends no demand.
	VMs int

	// receivedAt is the time at which this VM received the sums, zero for its own.
	receivedAt time.Time
}

// maxDemandVMs bounds the number of VMs in a total; one with more is malformed.
const maxDemandVMs = 1 << 16

// lenient is an optional part of a message. If it is malformed, the message counts without it: loads
// and orders of a VM must not depend on its reports of demand.
type lenient[T any] struct{ value *T }

func lenientOf[T any](v *T) *lenient[T] {
	if v == nil {
		return nil
	}
	return &lenient[T]{v}
}

func (l *lenient[T]) get() *T {
	if l == nil {
		return nil
	}
	return l.value
}

// MarshalCBOR implements cbor.Marshaler.
func (l lenient[T]) MarshalCBOR() ([]byte, error) { return cbor.Marshal(l.value) }

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *lenient[T]) UnmarshalCBOR(data []byte) error {
	var v T
	if cbor.Unmarshal(data, &v) == nil {
		l.value = &v
	}
	return nil
}

// valid reports whether the number of VMs is one that a fleet can have. Package demand checks the sums.
func (s *demandSums) valid() bool { return s.VMs > 0 && s.VMs <= maxDemandVMs }

// sumDemand adds sums up. It returns nil if there are none.
func sumDemand(parts []receivedDigest, now time.Time) *lenient[demandSums] {
	var reports []demand.Report
	vms := 0
	for i := range parts {
		s := parts[i].Demand.get()
		if s == nil || !s.valid() || !s.receivedAt.IsZero() && now.Sub(s.receivedAt) > demandTTL {
			continue
		}
		reports, vms = append(reports, demand.Report(s.Report)), vms+s.VMs
	}
	if vms == 0 {
		return nil
	}
	return lenientOf(&demandSums{Report: packedReport(demand.Sum(reports...)), VMs: vms})
}

// keepDemand sets the receiving time of the digest's sums, or keeps the previous digest's sums if it
// has none.
func (d *receivedDigest) keepDemand(previous *receivedDigest) {
	s := d.Demand.get()
	if s == nil || !s.valid() {
		d.Demand = previous.Demand // sumDemand drops it after demandTTL
		return
	}
	kept := *s
	kept.receivedAt = d.receivedAt
	d.Demand = lenientOf(&kept)
}

// demandRounds decides which rounds carry demand. The zero value is ready for use.
type demandRounds struct {
	slot int64 // of the last such round
	last time.Time
	wall func() time.Time // nil: time.Now
}

// due reports whether a round at now carries demand, and records it if so. That is the first round of
// each interval of the wall clock, shifted by offset.
//
// The wall clock aligns the VMs of a tree, so that a report passes through all of it within one
// interval and all VMs see the same sums; without that, the spread of a workspace's part between 195
// VMs was up to 0.22. If clocks differ, sums are older by up to an interval for each VM on their way,
// and nothing else changes.
func (r *demandRounds) due(now time.Time, offset time.Duration) bool {
	wall := r.wall
	if wall == nil {
		wall = time.Now
	}
	slot := wall().Add(-offset).UnixNano() / int64(demandInterval)
	if slot == r.slot || now.Sub(r.last) < demandInterval/2 {
		return false
	}
	r.slot, r.last = slot, now
	return true
}

// ownDemand returns this VM's report for the next round of loads; nil: the round carries none.
func (x *Exchange) ownDemand(now time.Time) *demand.Report {
	if x.Demand == nil || !x.demandRounds.due(now, 0) {
		return nil
	}
	r := x.Demand.OwnReport()
	return &r
}

// recordDemand applies the report of a listed peer. Over the tree, totals include it.
func (x *Exchange) recordDemand(m *Message) {
	if m.Demand == nil || x.usesTree() {
		return
	}
	if _, listed := x.tree.peer(m.VM); listed {
		x.Demand.RecordPeer(m.VM, m.Incarnation, m.Seq, *m.Demand)
	}
}

// recordFleetDemand applies a total. It ignores a total without demand, as a VM of an earlier release
// forwards it: this VM then goes by its own calls.
func (x *Exchange) recordFleetDemand(d *digest, members []member) {
	s := d.Demand.get()
	if s == nil || !s.valid() {
		return
	}
	includesThis := false
	for _, m := range members {
		includesThis = includesThis || m.vm == shortenVM(x.VM)
	}
	x.Demand.RecordFleet(demand.Report(s.Report), s.VMs, includesThis)
}
