package edge

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/streams"
)

// sendStreams sends a peer a message of the directory of streams.
func (d *Daemon) sendStreams(to ids.VM, m streams.Message) { d.news.SendStreams(to, m) }

// holder is a VM that may hold the record of a stream.
type holder struct {
	vm     ids.VM
	domain ids.FailureDomain
	weight uint64 // rendezvous weight for the stream's key
	rank   int    // by weight within its failure domain
}

// streamCandidates returns the other VMs that may hold the record of a stream: the first VM of each failure domain by rendezvous
// weight, then the second of each, and so on, so that the holders are in different domains. The first one of this VM's
// own domain leads, since a domain may be cut off from the others.
func (c *vmList) streamCandidates(k streams.Key) []streams.Candidate {
	holders := c.holders(binary.BigEndian.Uint64(k[:]))
	own := slices.IndexFunc(holders, func(h holder) bool { return h.domain == c.d.Settings.FailureDomain })
	if own > 0 {
		first := holders[own]
		copy(holders[1:own+1], holders[:own])
		holders[0] = first
	}
	out := make([]streams.Candidate, 0, len(holders))
	for _, h := range holders {
		out = append(out, streams.Candidate{VM: h.vm, Alive: c.d.news.SeenWithin(h.vm, aliveFor)})
	}
	return out
}

// holders returns the other listed VMs by rank within their failure domains, and by weight.
func (c *vmList) holders(key uint64) []holder {
	all := c.listHolders(key)
	slices.SortFunc(all, func(a, b holder) int { return cmp.Compare(b.weight, a.weight) })
	next := map[ids.FailureDomain]int{}
	for i := range all {
		all[i].rank = next[all[i].domain]
		next[all[i].domain]++
	}
	slices.SortStableFunc(all, func(a, b holder) int { return cmp.Compare(a.rank, b.rank) })
	return all
}

func (c *vmList) listHolders(key uint64) []holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]holder, 0, len(c.records))
	for _, r := range c.records {
		if r.VM == c.d.Settings.VM || r.PeerAddr == "" {
			continue
		}
		weight := routing.AffinityOf(key, routing.HashTarget(ids.Target(r.VM)))
		out = append(out, holder{vm: r.VM, domain: r.FailureDomain, weight: weight})
	}
	return out
}
