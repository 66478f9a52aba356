package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// CallResult is the result of a call that its target answered.
type CallResult struct {
	// Failed is set if the target failed the call.
	Failed bool
	// Took is how long the target took, normalized by the predicted time where a prediction
	// exists. Zero means that the call failed or that the time is not representative, since the
	// call waited for other work or the target had just started.
	Took time.Duration
}

const (
	// buckets is the number of histogram buckets for times, each half an octave wide.
	buckets = 24
	// shortestTime is the upper bound of the first bucket.
	shortestTime = 4 * time.Millisecond
	// perOctave is the number of buckets per doubling of the time.
	perOctave = 2
)

// bucket returns the index of the histogram bucket of a time.
func bucket(d time.Duration) int {
	n := math.Ceil(perOctave * math.Log2(float64(d)/float64(shortestTime)))
	return int(min(max(n, 0), buckets-1))
}

// Cell counts results of calls on one route, either at one canary target or at all targets
// that are not canaries.
type Cell struct {
	_      struct{} `cbor:",toarray"`
	Route  uint32   // hash of the route's name
	Target uint32   // hash of the target's id; zero for targets that are not canaries
	Canary bool
	Calls  uint32
	Failed uint32
	Times  []uint32 // histogram of times by bucket, without trailing zeros
}

// cellKey identifies a cell.
type cellKey struct {
	route, target uint32
	canary        bool
}

func (c *Cell) key() cellKey { return cellKey{c.Route, c.Target, c.Canary} }

// Report holds what one VM has counted of a service's calls since the start of an order. The
// counts are totals, so a lost or repeated report does no harm.
type Report struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	Order          OrderID
	RecordRevision objectapi.Revision // of the record that the VM routes by
	OtherCalls     int                // the VM's calls in progress at versions other than the canary
	Cells          []Cell             // a subset of the VM's cells; their counts only grow
}

// counts holds the cells of this VM.
type counts struct {
	cells   map[cellKey]*Cell
	changed map[cellKey]bool // since the last report
}

func (c *counts) add(route string, target ids.Target, canary bool, result CallResult) {
	key := cellKey{route: uint32(xxh3.HashString(route)), canary: canary}
	if canary {
		key.target = uint32(routing.HashTarget(target))
	}
	if c.cells == nil {
		c.cells, c.changed = map[cellKey]*Cell{}, map[cellKey]bool{}
	}
	cell := c.cells[key]
	if cell == nil {
		cell = &Cell{Route: key.route, Target: key.target, Canary: canary}
		c.cells[key] = cell
	}
	cell.Calls++
	if result.Failed {
		cell.Failed++
	}
	if result.Took > 0 {
		b := bucket(result.Took)
		for len(cell.Times) <= b {
			cell.Times = append(cell.Times, 0)
		}
		cell.Times[b]++
	}
	c.changed[key] = true
}

// maxCells bounds the cells of one report, so that it fits in a datagram.
const maxCells = 400

// export returns the cells that have changed since the last report, or all cells, at most
// maxCells of them, and marks them as reported.
func (c *counts) export(all bool) []Cell {
	var out []Cell
	for key, cell := range c.cells {
		if (all || c.changed[key]) && len(out) < maxCells {
			exported := *cell
			exported.Times = slices.Clone(cell.Times)
			out = append(out, exported)
			delete(c.changed, key)
		}
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// Ledger sums the reports on one order at the lease holder. It holds a cell for each
// combination of VM, route and canary target that occurs. Not safe for concurrent use.
type Ledger struct {
	Order OrderID
	Judge Judge
	vms   map[ids.VM]*vmCounts
	calls float64 // answered calls, at all versions
}

// Calls returns the number of calls to the service that targets of all versions have answered
// since the start of the order.
func (l *Ledger) Calls() float64 { return l.calls }

// vmCounts is the state that one VM has reported.
type vmCounts struct {
	incarnation    int64
	recordRevision objectapi.Revision
	otherCalls     int
	cells          map[cellKey]Cell
}

// NewLedger returns an empty ledger for an order, which passes new counts to j.
func NewLedger(o OrderID, j Judge) *Ledger {
	return &Ledger{Order: o, Judge: j, vms: map[ids.VM]*vmCounts{}}
}

// Merge adds a report of a VM. A higher incarnation means that the VM has restarted and counts
// from zero again. Merge ignores a report that is on another order, of an earlier incarnation, or made
// under an earlier record than the last report of the VM. It takes a cell only if its number of
// calls has grown.
func (l *Ledger) Merge(vm ids.VM, incarnation int64, r *Report, now time.Time) {
	if !r.Order.Same(l.Order) {
		return
	}
	v := l.vms[vm]
	if v == nil || incarnation > v.incarnation {
		v = &vmCounts{incarnation: incarnation, cells: map[cellKey]Cell{}}
		l.vms[vm] = v
	}
	if incarnation < v.incarnation || r.RecordRevision < v.recordRevision {
		return // a later report has overtaken this one
	}
	v.recordRevision, v.otherCalls = r.RecordRevision, r.OtherCalls
	for i := range r.Cells {
		c := &r.Cells[i]
		before := v.cells[c.key()]
		if c.Calls <= before.Calls || len(c.Times) > buckets {
			continue
		}
		l.calls += float64(c.Calls - before.Calls)
		l.Judge.Observe(c.since(&before), now)
		v.cells[c.key()] = *c
	}
}

// since returns the difference between a cell and an earlier state of it.
func (c *Cell) since(before *Cell) Cell {
	out := *c
	out.Calls -= before.Calls
	out.Failed -= min(before.Failed, c.Failed)
	out.Times = slices.Clone(c.Times)
	for i, n := range before.Times {
		if i < len(out.Times) {
			out.Times[i] -= min(n, out.Times[i])
		}
	}
	return out
}

// Drained reports whether a VM routes by the record of the given revision or a later one and
// has no call left at versions other than the canary.
func (l *Ledger) Drained(vm ids.VM, revision objectapi.Revision) bool {
	v := l.vms[vm]
	return v != nil && v.recordRevision >= revision && v.otherCalls == 0
}
