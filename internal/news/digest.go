package news

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/ids"
)

// digest aggregates the state of several VMs: the sums of their loads by target, the members that
// are included, and the remaining state of each. A digest of the whole fleet takes about 11 bytes
// per target and 6 per VM, whatever the number of requests.
type digest struct {
	Loads []wireLoad `cbor:"1,keyasint,omitempty"`
	// Members holds the VMs whose loads are included and the round of each, as encoded by
	// addMember.
	Members       []byte             `cbor:"2,keyasint,omitempty"`
	Unresponsive  []wireUnresponsive `cbor:"3,keyasint,omitempty"`
	RecentWeights []RecentWeights    `cbor:"4,keyasint,omitempty"`
	LeaseLapses   []LeaseLapse       `cbor:"5,keyasint,omitempty"`
	Events        []event            `cbor:"6,keyasint,omitempty"`
	// Uses are sums by workspace.
	Uses []allowance.Use `cbor:"7,keyasint,omitempty"`
	// Limits holds the latest rate limit report of each target.
	Limits []wireLimit `cbor:"8,keyasint,omitempty"`
	// EventNumbers holds the numbers of Events. It is shorter or missing if the last ones have none.
	EventNumbers []uint64 `cbor:"9,keyasint,omitempty"`
	// Acks are the numbered events that the sender of the digest has received lately.
	Acks []ack `cbor:"10,keyasint,omitempty"`
	// Demand holds the sums of the calls of the members. Nil: as in the sender's previous digest.
	Demand *lenient[demandSums] `cbor:"11,keyasint,omitempty"`
	// Paces are sums by target and failure domain.
	Paces []wirePace `cbor:"12,keyasint,omitempty"`
}

// setEvents sets Events and EventNumbers. Numbered events must come first.
func (d *digest) setEvents(events []event) {
	d.Events, d.EventNumbers = events, nil
	for _, e := range events {
		if e.Number != 0 {
			d.EventNumbers = append(d.EventNumbers, e.Number)
		}
	}
}

// restoreNumbers sets the numbers of decoded events.
func (d *digest) restoreNumbers() {
	if d == nil {
		return
	}
	for i := range min(len(d.Events), len(d.EventNumbers)) {
		d.Events[i].Number = d.EventNumbers[i]
	}
}

// wireUnresponsive lists the targets that do not answer one VM.
type wireUnresponsive struct {
	_       struct{} `cbor:",toarray"`
	VM      shortVM
	Targets []shortID
}

// event is state that its sender, VM, does not repeat in every round: orders, KV cache stores that
// do not answer, and cache changes.
type event struct {
	_            struct{} `cbor:",toarray"`
	VM           shortVM
	Orders       []Order
	StoreDown    []string
	CacheChanges []wireCache
	// Number is larger than those of earlier events of VM. Zero: the event is not acknowledged.
	// Digests carry it in EventNumbers, which earlier releases ignore.
	Number uint64 `cbor:"-"`
}

// mustArrive reports whether the event is repeated until it is acknowledged. A lost cache change
// costs one computation at most.
func (e *event) mustArrive() bool { return len(e.Orders) > 0 || len(e.StoreDown) > 0 }

// shortVM identifies a VM in a digest by the low 32 bits of the hash of its name.
type shortVM uint32

func shortenVM(vm ids.VM) shortVM { return shortVM(xxh3.HashString(string(vm))) }

// member is a VM whose loads are included in a digest. round is the low 16 bits of the number of
// the included round.
type member struct {
	vm    shortVM
	round uint16
}

// memberBytes is the encoded size of a member.
const memberBytes = 6

func (d *digest) addMember(m member) {
	d.Members = binary.BigEndian.AppendUint32(d.Members, uint32(m.vm))
	d.Members = binary.BigEndian.AppendUint16(d.Members, m.round)
}

// members decodes Members and ignores a trailing incomplete member.
func (d *digest) members() []member {
	out := make([]member, 0, len(d.Members)/memberBytes)
	for rest := d.Members; len(rest) >= memberBytes; rest = rest[memberBytes:] {
		out = append(out, member{shortVM(binary.BigEndian.Uint32(rest)), binary.BigEndian.Uint16(rest[4:])})
	}
	return out
}

// receivedDigest is a digest with the time at which this VM received it.
type receivedDigest struct {
	digest
	receivedAt time.Time
}

const (
	// maxDigestLoads and maxDigestUnresponsive bound the targets in a digest, so that it fits in a
	// datagram with 2,000 VMs and a full set of events. Beyond them a digest has only the targets
	// with the most work and an equal share of the unresponsive targets of each VM. A digest that
	// does not fit is not sent, and then no VM gets the state of any other.
	maxDigestLoads        = 1_200
	maxDigestUnresponsive = 800
)

// truncate bounds the digest so that it fits in a datagram.
func (d *digest) truncate() {
	if len(d.Loads) > maxDigestLoads {
		slices.SortFunc(d.Loads, func(a, b wireLoad) int {
			return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Target, b.Target))
		})
		d.Loads = d.Loads[:maxDigestLoads]
	}
	targets := 0
	for _, w := range d.Unresponsive {
		targets += len(w.Targets)
	}
	if targets <= maxDigestUnresponsive {
		return
	}
	if len(d.Unresponsive) > maxDigestUnresponsive {
		d.Unresponsive = d.Unresponsive[:maxDigestUnresponsive]
	}
	each := max(maxDigestUnresponsive/len(d.Unresponsive), 1)
	d.Unresponsive = slices.Clone(d.Unresponsive) // other digests may share it
	for i := range d.Unresponsive {
		d.Unresponsive[i].Targets = d.Unresponsive[i].Targets[:min(each, len(d.Unresponsive[i].Targets))]
	}
}

// sum adds digests up. Ages in a digest grow by the time since it was received. sum leaves events
// out: receive queues each one for forwarding when it arrives. newRound adds demand up.
func sum(parts []receivedDigest, now time.Time) digest {
	var out digest
	loads, uses := map[shortID]wireLoad{}, map[uint32]allowance.Use{}
	for _, p := range parts {
		for _, l := range p.Loads {
			s := loads[l.Target]
			loads[l.Target] = wireLoad{
				Target: l.Target, InFlight: s.InFlight + l.InFlight, Pending: s.Pending + l.Pending, NotResumable: s.NotResumable + l.NotResumable,
			}
		}
		for _, u := range p.Uses {
			uses[u.Workspace] = uses[u.Workspace].Plus(u)
		}
		out.Members = append(out.Members, p.Members...)
		out.Unresponsive = append(out.Unresponsive, p.Unresponsive...)
		age := now.Sub(p.receivedAt).Milliseconds()
		for _, w := range p.RecentWeights {
			w.AgeMs += age
			out.addRecentWeights(w)
		}
		for _, l := range p.LeaseLapses {
			l.SinceLastOrderMs += age
			out.LeaseLapses = append(out.LeaseLapses, l)
		}
		for _, w := range addAge(p.Limits, now.Sub(p.receivedAt)) {
			out.addLimit(w)
		}
	}
	for _, l := range loads {
		out.Loads = append(out.Loads, l)
	}
	for _, u := range uses {
		out.Uses = append(out.Uses, u)
	}
	slices.SortFunc(out.Uses, func(a, b allowance.Use) int { return cmp.Compare(a.Workspace, b.Workspace) })
	out.Paces = sumPaces(parts)
	out.truncate()
	slices.SortFunc(out.Loads, func(a, b wireLoad) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// addRecentWeights adds a version, or keeps the larger age if the digest has the version already.
func (d *digest) addRecentWeights(n RecentWeights) {
	i := slices.IndexFunc(d.RecentWeights, func(o RecentWeights) bool { return o.Model == n.Model && o.Version == n.Version })
	if i < 0 {
		d.RecentWeights = append(d.RecentWeights, n)
		return
	}
	d.RecentWeights[i].AgeMs = max(d.RecentWeights[i].AgeMs, n.AgeMs)
}
