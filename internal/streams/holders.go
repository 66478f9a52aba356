package streams

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// Peer is another listed VM.
type Peer struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	Alive         bool // it has sent messages lately
}

// candidate is a peer that may hold a record.
type candidate struct {
	Peer
	weight uint64 // rendezvous weight for the record's key
	rank   int    // by weight within its failure domain
}

// number returns a number derived from the key, for rendezvous hashing.
func (k Key) number() uint64 { return binary.BigEndian.Uint64(k[:]) }

// candidates returns the peers in the order in which they are chosen as holders: the collector that saves the record, then
// the first one of each failure domain by rendezvous weight, then the second of each, and so on, so that the holders are in different domains. The first one
// of this VM's own domain leads, since a domain may be cut off from the others. VMs with the same list agree on the
// rest of the order.
func (d *Directory) candidates(k Key) []Peer {
	peers := d.Peers()
	all := make([]candidate, 0, len(peers))
	for _, p := range peers {
		all = append(all, candidate{Peer: p, weight: routing.AffinityOf(k.number(), routing.HashTarget(ids.Target(p.VM)))})
	}
	sortByRank(all)
	out := make([]Peer, 0, len(all))
	own := slices.IndexFunc(all, func(c candidate) bool { return c.FailureDomain == d.FailureDomain })
	if own >= 0 {
		out = append(out, all[own].Peer)
	}
	for i := range all {
		if i != own {
			out = append(out, all[i].Peer)
		}
	}
	collector := d.collectorOf(k)
	if i := slices.IndexFunc(out, func(p Peer) bool { return p.VM == collector }); i > 0 {
		first := out[i]
		out = slices.Insert(slices.Delete(out, i, i+1), 0, first)
	}
	return out
}

// sortByRank sets the ranks of candidates and sorts them by rank, and by weight within a rank.
func sortByRank(all []candidate) {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.VM, b.VM))
	})
	next := map[ids.FailureDomain]int{}
	for i := range all {
		all[i].rank = next[all[i].FailureDomain]
		next[all[i].FailureDomain]++
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
}

// aliveFirst returns the peers with the live ones first.
func aliveFirst(all []Peer) []Peer {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Peer) int {
		switch {
		case a.Alive == b.Alive:
			return 0
		case a.Alive:
			return -1
		}
		return 1
	})
	return sorted
}

// reachesAllDomains reports whether each failure domain of the peers has a live one. It is false without peers.
func reachesAllDomains(peers []Peer) bool {
	reached := map[ids.FailureDomain]bool{}
	for _, p := range peers {
		reached[p.FailureDomain] = reached[p.FailureDomain] || p.Alive
	}
	for _, alive := range reached {
		if !alive {
			return false
		}
	}
	return len(peers) > 0
}

// onlyAlive returns the live peers, or all if none is known to be alive.
func onlyAlive(all []Peer) []Peer {
	alive := slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return !p.Alive })
	if len(alive) == 0 {
		return all
	}
	return alive
}
