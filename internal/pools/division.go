package pools

import (
	"hash/maphash"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// domainSeed is the seed of the hashes of domains in fingerprints, which do not leave the process.
var domainSeed = maphash.MakeSeed()

// Division assigns the engines of a service to pools. The zero value assigns none. It holds one number
// per failure domain; Update costs O(n) for n engines, and O(n log n) if it changes.
type Division struct {
	cuts        map[ids.FailureDomain]uint64 // highest hash of the decode pool
	size        int
	fingerprint uint64
}

// Engine is an engine in service.
type Engine struct {
	Domain ids.FailureDomain
	Hash   uint64 // routing.Target.Hash
}

// Update divides the engines by a plan's size: within each failure domain, the engines of the lowest
// hashes are the decode pool. A domain with two engines or more gets both pools.
func (d *Division) Update(engines []Engine, size int) {
	if size == 0 {
		*d = Division{}
		return
	}
	// The sum of mixed hashes does not depend on the order of the engines. It includes the domains:
	// an engine may be listed anew in another one.
	sum := uint64(len(engines))
	for _, e := range engines {
		sum += routing.AffinityOf(maphash.String(domainSeed, string(e.Domain)), e.Hash)
	}
	if d.cuts != nil && d.size == size && d.fingerprint == sum {
		return
	}
	byDomain := map[ids.FailureDomain][]uint64{}
	for _, e := range engines {
		byDomain[e.Domain] = append(byDomain[e.Domain], e.Hash)
	}
	*d = Division{cuts: make(map[ids.FailureDomain]uint64, len(byDomain)), size: size, fingerprint: sum}
	for domain, hashes := range byDomain {
		slices.Sort(hashes)
		n := (len(hashes)*size + Steps/2) / Steps
		if len(hashes) > 1 {
			n = min(max(n, 1), len(hashes)-1)
		}
		if n > 0 {
			d.cuts[domain] = hashes[n-1]
		}
	}
}

// Pool returns the pool of an engine.
func (d *Division) Pool(domain ids.FailureDomain, hash uint64) routing.Pool {
	if d.cuts == nil {
		return routing.NoPool
	}
	if cut, ok := d.cuts[domain]; ok && hash <= cut {
		return routing.DecodePool
	}
	return routing.PrefillPool
}
