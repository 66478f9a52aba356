package news

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/routing"
)

// The form of a datagram is CBOR with numbered fields, and targets in it are named by 32
// bits of their hash: a load takes 10 bytes and a belief about a cache 9, against 42 and
// 70 as JSON with whole names. Two targets of one VM's view with the same 32 bits (0.08% of
// fleets of 2,600) would share what is told of either; loads and beliefs only bias a choice.

// shortID names a target in a datagram.
type shortID uint32

func shorten(t ids.Target) shortID { return shortID(routing.HashTarget(t)) }

type wireMessage struct {
	VM        ids.VM          `cbor:"1,keyasint"`
	Seq       uint64          `cbor:"2,keyasint,omitempty"`
	Life      int64           `cbor:"3,keyasint,omitempty"`
	Loads     []wireLoad      `cbor:"5,keyasint,omitempty"`
	Silent    []shortID       `cbor:"6,keyasint,omitempty"`
	Order     *Order          `cbor:"7,keyasint,omitempty"`
	Named     []RecentWeights `cbor:"8,keyasint,omitempty"`
	StoreDown string          `cbor:"9,keyasint,omitempty"`
	Caches    []wireCache     `cbor:"10,keyasint,omitempty"`
	Lapsed    *LeaseLapse     `cbor:"11,keyasint,omitempty"`
	Report    *digest         `cbor:"12,keyasint,omitempty"`
	Total     *digest         `cbor:"13,keyasint,omitempty"`

	Crashes []quarantine.Report `cbor:"14,keyasint,omitempty"`
	Uses    []allowance.Use     `cbor:"15,keyasint,omitempty"`
	Limits  []wireLimit         `cbor:"16,keyasint,omitempty"`

	Canaries []canary.Report `cbor:"17,keyasint,omitempty"`
}

type wireLoad struct {
	_        struct{} `cbor:",toarray"`
	Target   shortID
	InFlight int
	Pending  int
	Bound    int
}

// wireCache is what changed of one target's cache, in one of its lives.
type wireCache struct {
	_       struct{} `cbor:",toarray"`
	Target  shortID
	Life    uint16
	Emptied bool
	Held    []uint64
	Dropped []uint64
}

// The first byte of a datagram says what its receiver does with it.
const (
	keep   = 0
	passOn = 1 // pass it on to the other VMs of its failure domain, as one to keep
)

// Encode renders a message that its receiver keeps.
func Encode(m *Message) ([]byte, error) {
	w := wireMessage{
		VM: m.VM, Seq: m.Seq, Life: m.Incarnation, Order: m.Order, Named: m.RecentWeights,
		StoreDown: m.StoreDown, Caches: group(m.CacheChanges), Lapsed: m.LeaseLapse, Report: m.Report, Total: m.Total,
		Crashes: m.Crashes, Uses: m.Uses, Limits: wireLimits(m.VM, m.Limits), Canaries: m.Canaries,
	}
	for _, l := range m.Loads {
		w.Loads = append(w.Loads, wireLoad{Target: shorten(l.Target), InFlight: l.InFlight, Pending: l.Pending, Bound: l.NotResumable})
	}
	for _, t := range m.Unresponsive {
		w.Silent = append(w.Silent, shorten(t))
	}
	data, err := cbor.Marshal(w)
	return append([]byte{keep}, data...), eris.Wrap(err, "encode news")
}

// decode reads a datagram. What it says of targets that resolve does not know is left out.
func decode(data []byte, resolve func(short uint32) (ids.Target, bool)) (Message, error) {
	if len(data) == 0 || data[0] > passOn {
		return Message{}, errForm
	}
	var w wireMessage
	if err := cbor.Unmarshal(data[1:], &w); err != nil {
		return Message{}, eris.Wrap(err, "decode news")
	}
	m := Message{
		VM: w.VM, Seq: w.Seq, Incarnation: w.Life, Order: w.Order, RecentWeights: w.Named, StoreDown: w.StoreDown, LeaseLapse: w.Lapsed, Report: w.Report, Total: w.Total,
		Crashes: w.Crashes, Uses: w.Uses, Canaries: w.Canaries,
	}
	for _, l := range w.Loads {
		if t, ok := resolve(uint32(l.Target)); ok {
			m.Loads = append(m.Loads, Load{Target: t, InFlight: l.InFlight, Pending: l.Pending, NotResumable: l.Bound})
		}
	}
	for i := range w.Limits {
		if t, ok := resolve(uint32(w.Limits[i].Target)); ok {
			m.Limits = append(m.Limits, w.Limits[i].word(t))
		}
	}
	for _, s := range w.Silent {
		if t, ok := resolve(uint32(s)); ok {
			m.Unresponsive = append(m.Unresponsive, t)
		}
	}
	for _, c := range w.Caches {
		if t, ok := resolve(uint32(c.Target)); ok {
			m.CacheChanges = append(m.CacheChanges, c.changes(t)...)
		}
	}
	return m, nil
}

var errForm = eris.New("this is no datagram of news")

// group gathers changes by target and life. Of several about one prefix the last counts.
func group(changes []cacheview.Change) []wireCache {
	type key struct {
		target ids.Target
		life   uint16
		id     prefix.ID
	}
	var out []wireCache
	last := map[key]bool{}
	for _, c := range slices.Backward(changes) {
		if k := (key{c.Target, c.Generation, c.ID}); last[k] {
			continue
		} else {
			last[k] = true
		}
		at := slices.IndexFunc(out, func(w wireCache) bool { return w.Target == shorten(c.Target) && w.Life == c.Generation })
		if at < 0 {
			at = len(out)
			out = append(out, wireCache{Target: shorten(c.Target), Life: c.Generation})
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

// changes is the inverse of group for one target.
func (w *wireCache) changes(t ids.Target) []cacheview.Change {
	var out []cacheview.Change
	if w.Emptied {
		out = append(out, cacheview.Change{Target: t, Generation: w.Life, Cleared: true})
	}
	for _, id := range w.Held {
		out = append(out, cacheview.Change{Target: t, Generation: w.Life, ID: prefix.ID(id)})
	}
	for _, id := range w.Dropped {
		out = append(out, cacheview.Change{Target: t, Generation: w.Life, ID: prefix.ID(id), Removed: true})
	}
	return out
}
