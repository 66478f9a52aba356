package news

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/ratelimit"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/streams"
)

// A datagram is CBOR with numbered fields. Except in orders, targets are identified by 32 bits of
// their hash: a load takes 10 bytes and a cache entry 9, against 42 and 70 as JSON with full
// names. If two targets in the view of one VM have the same 32 bits (in 0.08% of fleets of 2,600
// targets), a report on one may count for the other. Loads and cache entries only bias the choice
// of a target, so this makes a choice worse but not wrong.

// shortID identifies a target in a datagram by the low 32 bits of its hash.
type shortID uint32

func shorten(t ids.Target) shortID { return shortID(routing.HashTarget(t)) }

type wireMessage struct {
	VM            ids.VM          `cbor:"1,keyasint"`
	Seq           uint64          `cbor:"2,keyasint,omitempty"`
	Incarnation   int64           `cbor:"3,keyasint,omitempty"`
	Loads         []wireLoad      `cbor:"5,keyasint,omitempty"`
	Unresponsive  []shortID       `cbor:"6,keyasint,omitempty"`
	Order         *Order          `cbor:"7,keyasint,omitempty"`
	RecentWeights []RecentWeights `cbor:"8,keyasint,omitempty"`
	StoreDown     string          `cbor:"9,keyasint,omitempty"`
	CacheChanges  []wireCache     `cbor:"10,keyasint,omitempty"`
	LeaseLapse    *LeaseLapse     `cbor:"11,keyasint,omitempty"`
	Report        *digest         `cbor:"12,keyasint,omitempty"`
	Total         *digest         `cbor:"13,keyasint,omitempty"`

	Crashes []quarantine.Report `cbor:"14,keyasint,omitempty"`
	Uses    []allowance.Use     `cbor:"15,keyasint,omitempty"`
	Limits  []wireLimit         `cbor:"16,keyasint,omitempty"`

	Canaries []canary.Report `cbor:"17,keyasint,omitempty"`

	Streams *streams.Message    `cbor:"18,keyasint,omitempty"`
	Parts   []quarantine.Report `cbor:"19,keyasint,omitempty"`

	Lacking []shortID         `cbor:"20,keyasint,omitempty"`
	Grants  []ratelimit.Grant `cbor:"21,keyasint,omitempty"`

	EarlySeq uint64                 `cbor:"24,keyasint,omitempty"`
	Demand   *lenient[packedReport] `cbor:"22,keyasint,omitempty"`
	Paces    []wirePace             `cbor:"23,keyasint,omitempty"`

	Budget *retry.Statement `cbor:"25,keyasint,omitempty"`
	Loan   *retry.Loan      `cbor:"26,keyasint,omitempty"`
}

type wireLoad struct {
	_            struct{} `cbor:",toarray"`
	Target       shortID
	InFlight     int
	Pending      int
	NotResumable int
}

// wireCache holds the changes of one target's cache within one generation of the target.
type wireCache struct {
	_          struct{} `cbor:",toarray"`
	Target     shortID
	Generation uint16
	Emptied    bool
	Held       []uint64
	Dropped    []uint64
}

// The first byte of a datagram says what its receiver does with it.
const (
	actionDeliver = 0 // handle it
	actionForward = 1 // handle it and forward it, as actionDeliver, to the other VMs of its failure domain
)

// Encode returns the datagram for m, marked as not to be forwarded. It does not check the size.
func Encode(m *Message) ([]byte, error) {
	w := wireMessage{
		VM: m.VM, Seq: m.Seq, Incarnation: m.Incarnation, Order: m.Order, RecentWeights: m.RecentWeights,
		StoreDown: m.StoreDown, CacheChanges: groupChanges(m.CacheChanges), LeaseLapse: m.LeaseLapse, Report: m.Report, Total: m.Total,
		Crashes: m.Crashes, Uses: m.Uses, Limits: wireLimits(m.VM, m.Limits), Canaries: m.Canaries, Streams: m.Streams, Parts: m.Parts, Grants: m.Grants,
		EarlySeq: m.EarlySeq, Budget: m.Budget, Loan: m.Loan,
		Demand: lenientOf((*packedReport)(m.Demand)),
	}
	for _, l := range m.Loads {
		w.Loads = append(w.Loads, wireLoad{Target: shorten(l.Target), InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.NotResumable})
	}
	for _, t := range m.Unresponsive {
		w.Unresponsive = append(w.Unresponsive, shorten(t))
	}
	for _, t := range m.Lacking {
		w.Lacking = append(w.Lacking, shorten(t))
	}
	w.Paces = toWirePaces(m.Paces)
	data, err := cbor.Marshal(w)
	return append([]byte{actionDeliver}, data...), eris.Wrap(err, "encode peer message")
}

// decode parses a datagram. It leaves out loads, rate limits, unresponsive targets and cache
// changes of targets that resolve does not know.
func decode(data []byte, resolve func(short uint32) (ids.Target, bool)) (Message, error) {
	if len(data) == 0 || data[0] > actionForward {
		return Message{}, errMalformed
	}
	var w wireMessage
	if err := cbor.Unmarshal(data[1:], &w); err != nil {
		return Message{}, eris.Wrap(err, "decode peer message")
	}
	m := Message{
		VM: w.VM, Seq: w.Seq, Incarnation: w.Incarnation, Order: w.Order, RecentWeights: w.RecentWeights, StoreDown: w.StoreDown, LeaseLapse: w.LeaseLapse, Report: w.Report, Total: w.Total,
		Crashes: w.Crashes, Uses: w.Uses, Canaries: w.Canaries, Streams: w.Streams, Parts: w.Parts, Grants: w.Grants,
		EarlySeq: w.EarlySeq, Budget: w.Budget, Loan: w.Loan,
		Demand: (*demand.Report)(w.Demand.get()),
	}
	m.Paces = fromWirePaces(w.Paces, resolve)
	m.Report.restoreNumbers()
	m.Total.restoreNumbers()
	for _, l := range w.Loads {
		if t, ok := resolve(uint32(l.Target)); ok {
			m.Loads = append(m.Loads, Load{Target: t, InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.NotResumable})
		}
	}
	for i := range w.Limits {
		if t, ok := resolve(uint32(w.Limits[i].Target)); ok {
			m.Limits = append(m.Limits, w.Limits[i].limit(t))
		}
	}
	for _, s := range w.Unresponsive {
		if t, ok := resolve(uint32(s)); ok {
			m.Unresponsive = append(m.Unresponsive, t)
		}
	}
	for _, s := range w.Lacking {
		if t, ok := resolve(uint32(s)); ok {
			m.Lacking = append(m.Lacking, t)
		}
	}
	for _, c := range w.CacheChanges {
		if t, ok := resolve(uint32(c.Target)); ok {
			m.CacheChanges = append(m.CacheChanges, c.changes(t)...)
		}
	}
	return m, nil
}

var errMalformed = eris.New("decode peer message: datagram is empty or starts with an unknown action")

// groupChanges groups changes by target and generation. Of several changes of one prefix only the
// last one remains.
func groupChanges(changes []cacheview.Change) []wireCache {
	type key struct {
		target     ids.Target
		generation uint16
		id         prefix.ID
	}
	var out []wireCache
	last := map[key]bool{}
	for _, c := range slices.Backward(changes) {
		if k := (key{c.Target, c.Generation, c.ID}); last[k] {
			continue
		} else {
			last[k] = true
		}
		at := slices.IndexFunc(out, func(w wireCache) bool { return w.Target == shorten(c.Target) && w.Generation == c.Generation })
		if at < 0 {
			at = len(out)
			out = append(out, wireCache{Target: shorten(c.Target), Generation: c.Generation})
		}
		switch {
		case c.Cleared:
			out[at].Emptied = true
		case c.Removed:
			out[at].Dropped = append(out[at].Dropped, uint64(c.ID))
		default:
			out[at].Held = append(out[at].Held, uint64(c.ID))
		}
	}
	return out
}

// changes is the inverse of groupChanges for one target.
func (w *wireCache) changes(t ids.Target) []cacheview.Change {
	var out []cacheview.Change
	if w.Emptied {
		out = append(out, cacheview.Change{Target: t, Generation: w.Generation, Cleared: true})
	}
	for _, id := range w.Held {
		out = append(out, cacheview.Change{Target: t, Generation: w.Generation, ID: prefix.ID(id)})
	}
	for _, id := range w.Dropped {
		out = append(out, cacheview.Change{Target: t, Generation: w.Generation, ID: prefix.ID(id), Removed: true})
	}
	return out
}
