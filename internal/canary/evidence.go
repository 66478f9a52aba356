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

// Answer is how a call ended that its target answered.
type Answer struct {
	// Failed tells that the target failed the call.
	Failed bool
	// Took is how long the target took, as a part of what was expected of it where that is
	// known; zero: the time says nothing, since the call waited for other work or the target
	// had just started.
	Took time.Duration
}

const (
	// buckets is how many classes of time there are, and shortestTime the upper end of the
	// first; each is half an octave wide.
	buckets      = 24
	shortestTime = 4 * time.Millisecond
	perOctave    = 2
)

// bucket returns the class of a time.
func bucket(d time.Duration) int {
	n := math.Ceil(perOctave * math.Log2(float64(d)/float64(shortestTime)))
	return int(min(max(n, 0), buckets-1))
}

// Cell counts how calls on one route ended, at one canary target or at all others.
type Cell struct {
	_      struct{} `cbor:",toarray"`
	Route  uint32   // hash of its name
	Target uint32   // hash of its id; zero for targets that are no canary
	Canary bool
	Calls  uint32
	Failed uint32
	Times  []uint32 // by bucket; shorter where the rest is zero
}

// cellKey names a cell.
type cellKey struct {
	route, target uint32
	canary        bool
}

func (c *Cell) key() cellKey { return cellKey{c.Route, c.Target, c.Canary} }

// Report is what one VM has counted of a service's calls under one order, all in all.
type Report struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	Order          OrderID
	RecordRevision objectapi.Revision // of the record that the VM goes by
	OtherCalls     int                // calls of the VM that are left at other versions than the canary
	Cells          []Cell             // some of them; counts only grow
}

// counts are the cells of one VM.
type counts struct {
	cells   map[cellKey]*Cell
	changed map[cellKey]bool // since they were last told
}

func (c *counts) add(route string, target ids.Target, canary bool, a Answer) {
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
	if a.Failed {
		cell.Failed++
	}
	if a.Took > 0 {
		b := bucket(a.Took)
		for len(cell.Times) <= b {
			cell.Times = append(cell.Times, 0)
		}
		cell.Times[b]++
	}
	c.changed[key] = true
}

// mostCells bounds the cells of one report, so that it fits in a datagram.
const mostCells = 400

// told returns the cells that have changed, or all, and takes them for told.
func (c *counts) told(all bool) []Cell {
	var out []Cell
	for key, cell := range c.cells {
		if (all || c.changed[key]) && len(out) < mostCells {
			told := *cell
			told.Times = slices.Clone(cell.Times)
			out = append(out, told)
			delete(c.changed, key)
		}
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// Ledger adds up the reports on one order for the VM that acts. It holds a cell for each VM,
// route and canary target that met. Not safe for concurrent use.
type Ledger struct {
	Order OrderID
	Judge Judge
	vms   map[ids.VM]*reporter
	calls float64 // that ended, at all versions
}

// Calls returns how many calls to the service have ended since the order.
func (l *Ledger) Calls() float64 { return l.calls }

// reporter is what one VM has told.
type reporter struct {
	life   int64
	seen   objectapi.Revision
	others int
	cells  map[cellKey]Cell
}

// NewLedger returns a ledger for an order.
func NewLedger(o OrderID, j Judge) *Ledger {
	return &Ledger{Order: o, Judge: j, vms: map[ids.VM]*reporter{}}
}

// Merge adds what a VM told. life orders the lives of the VM: one that has started again counts
// from nothing.
func (l *Ledger) Merge(vm ids.VM, life int64, r *Report, now time.Time) {
	if r.Order != l.Order {
		return
	}
	v := l.vms[vm]
	if v == nil || life > v.life {
		v = &reporter{life: life, cells: map[cellKey]Cell{}}
		l.vms[vm] = v
	}
	if life < v.life || r.RecordRevision < v.seen {
		return // overtaken on the way
	}
	v.seen, v.others = r.RecordRevision, r.OtherCalls
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

// since returns what a cell has grown by.
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

// Drained tells whether a VM goes by the record of a revision or a later one and has no call
// left at other versions than the canary.
func (l *Ledger) Drained(vm ids.VM, revision objectapi.Revision) bool {
	v := l.vms[vm]
	return v != nil && v.seen >= revision && v.others == 0
}
