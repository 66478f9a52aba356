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

// digest sums up what several VMs tell: their loads by target, who they are, and the rest of
// what each of them says. A digest of the whole fleet takes about 11 bytes a target and 6 a
// VM, whatever the number of requests.
type digest struct {
	Loads []wireLoad `cbor:"1,keyasint,omitempty"`
	// Members are the VMs whose loads are in the sums, with the number of the round of each
	// that was summed: members of 6 bytes each.
	Members []byte          `cbor:"2,keyasint,omitempty"`
	Silent  []wireSilent    `cbor:"3,keyasint,omitempty"`
	Named   []RecentWeights `cbor:"4,keyasint,omitempty"`
	Lapsed  []LeaseLapse    `cbor:"5,keyasint,omitempty"`
	Events  []event         `cbor:"6,keyasint,omitempty"`
	// Uses are sums by workspace.
	Uses []allowance.Use `cbor:"7,keyasint,omitempty"`
	// Limits are the latest words of targets' rate limits.
	Limits []wireLimit `cbor:"8,keyasint,omitempty"`
}

// wireSilent are the targets that don't answer one VM.
type wireSilent struct {
	_       struct{} `cbor:",toarray"`
	VM      shortVM
	Targets []shortID
}

// event is what one VM tells once.
type event struct {
	_         struct{} `cbor:",toarray"`
	VM        shortVM
	Orders    []Order
	StoreDown []string
	Caches    []wireCache
}

// shortVM names a VM in a digest.
type shortVM uint32

func shortenVM(vm ids.VM) shortVM { return shortVM(xxh3.HashString(string(vm))) }

// member is a VM whose loads are in a digest.
type member struct {
	vm    shortVM
	round uint16
}

// memberBytes is the size of a member.
const memberBytes = 6

func (d *digest) addMember(m member) {
	d.Members = binary.BigEndian.AppendUint32(d.Members, uint32(m.vm))
	d.Members = binary.BigEndian.AppendUint16(d.Members, m.round)
}

// members returns the members; bytes that are too few for one are left out.
func (d *digest) members() []member {
	out := make([]member, 0, len(d.Members)/memberBytes)
	for rest := d.Members; len(rest) >= memberBytes; rest = rest[memberBytes:] {
		out = append(out, member{shortVM(binary.BigEndian.Uint32(rest)), binary.BigEndian.Uint16(rest[4:])})
	}
	return out
}

// heardDigest is a digest and when this VM heard it.
type heardDigest struct {
	digest
	at time.Time
}

const (
	// mostLoads and mostSilent bound what a digest names of targets, so that it fits in a datagram
	// with 2,000 VMs and a full set of events: those with most work, and an equal part of what
	// each VM misses. One that doesn't fit is not sent, and nobody hears of anybody.
	mostLoads  = 1_200
	mostSilent = 800
)

// bound keeps a digest within a datagram.
func (d *digest) bound() {
	if len(d.Loads) > mostLoads {
		slices.SortFunc(d.Loads, func(a, b wireLoad) int {
			return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Target, b.Target))
		})
		d.Loads = d.Loads[:mostLoads]
	}
	targets := 0
	for _, w := range d.Silent {
		targets += len(w.Targets)
	}
	if targets <= mostSilent {
		return
	}
	if len(d.Silent) > mostSilent {
		d.Silent = d.Silent[:mostSilent]
	}
	each := max(mostSilent/len(d.Silent), 1)
	d.Silent = slices.Clone(d.Silent) // the digests that were heard share it
	for i := range d.Silent {
		d.Silent[i].Targets = d.Silent[i].Targets[:min(each, len(d.Silent[i].Targets))]
	}
}

// sum adds digests up. Ages in those that were heard grow by the time since. Events are
// left out: each is passed on once.
func sum(parts []heardDigest, now time.Time) digest {
	var out digest
	loads, uses := map[shortID]wireLoad{}, map[uint32]allowance.Use{}
	for _, p := range parts {
		for _, l := range p.Loads {
			s := loads[l.Target]
			loads[l.Target] = wireLoad{
				Target: l.Target, InFlight: s.InFlight + l.InFlight, Pending: s.Pending + l.Pending, Bound: s.Bound + l.Bound,
			}
		}
		for _, u := range p.Uses {
			uses[u.Workspace] = uses[u.Workspace].Plus(u)
		}
		out.Members = append(out.Members, p.Members...)
		out.Silent = append(out.Silent, p.Silent...)
		age := now.Sub(p.at).Milliseconds()
		for _, n := range p.Named {
			n.AgeMs += age
			out.addNamed(n)
		}
		for _, l := range p.Lapsed {
			l.SinceLastOrderMs += age
			out.Lapsed = append(out.Lapsed, l)
		}
		for _, w := range aged(p.Limits, now.Sub(p.at)) {
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
	out.bound()
	slices.SortFunc(out.Loads, func(a, b wireLoad) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// addNamed keeps the longest time for which a version is known to be named.
func (d *digest) addNamed(n RecentWeights) {
	i := slices.IndexFunc(d.Named, func(o RecentWeights) bool { return o.Model == n.Model && o.Version == n.Version })
	if i < 0 {
		d.Named = append(d.Named, n)
		return
	}
	d.Named[i].AgeMs = max(d.Named[i].AgeMs, n.AgeMs)
}
