package fleet

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/pools"
	"github.com/threadwall/threadwall/internal/routing"
)

const (
	// poolsInterval is the least time between two updates of a service's pools. Reports of demand
	// arrive at most twice a second.
	poolsInterval = 250 * time.Millisecond
	// maxPooledServices bounds the services with prompts whose pools are kept. Further ones get
	// no pools.
	maxPooledServices = 64
)

// PoolsChange is a change of a service's pools.
type PoolsChange struct {
	Service       string
	Before, After int // sizes of the decode pool in units of 1/pools.Steps; zero: no pools
	Inputs        pools.Inputs
}

// enginePools holds the pools of all services. Its maps are replaced rather than changed, so
// that decisions read them without a lock.
type enginePools struct {
	tracked  atomic.Pointer[map[string]*servicePools]
	demand   *demand.Tracker
	onChange func(PoolsChange)
}

// servicePools is the state of one service. Only plan may be used without Fleet.refreshing.
type servicePools struct {
	machine  pools.Machine
	division pools.Division
	updated  time.Time
	engines  []pools.Engine
	slots    int
	plan     atomic.Pointer[pools.Plan]
}

// UsePools divides engines into pools by the picture of demand. onChange is called when the pools of a
// service begin, change their size or end; it is called within a refresh and must not take a snapshot.
// UsePools must be called before the first decision.
func (f *Fleet) UsePools(d *demand.Tracker, onChange func(PoolsChange)) {
	f.pools.demand, f.pools.onChange = d, onChange
}

// PoolOf returns the pool of a route whose requests have prompts.
func (f *Fleet) PoolOf(service, route string) routing.Pool {
	if f.pools.demand == nil {
		return routing.NoPool
	}
	tracked := f.pools.tracked.Load()
	if tracked != nil {
		if p := (*tracked)[service]; p != nil {
			return p.plan.Load().Pool(route)
		}
	}
	next := map[string]*servicePools{}
	if tracked != nil {
		if len(*tracked) >= maxPooledServices {
			return routing.NoPool
		}
		maps.Copy(next, *tracked)
	}
	next[service] = &servicePools{}
	f.pools.tracked.CompareAndSwap(tracked, &next) // after a concurrent change the next request adds the service
	return routing.NoPool
}

// dividePools updates the pools and assigns the snapshot's targets to them. The caller holds
// f.refreshing.
func (f *Fleet) dividePools(s *Snapshot) {
	tracked := f.pools.tracked.Load()
	if tracked == nil {
		return
	}
	for _, p := range *tracked {
		p.engines, p.slots = p.engines[:0], 0
	}
	for i := range s.View.Targets {
		t := &s.View.Targets[i]
		if p := (*tracked)[t.Service]; p != nil && s.base[i].State > routing.Leaving {
			p.engines = append(p.engines, pools.Engine{Domain: t.FailureDomain, Hash: t.Hash})
			p.slots = max(p.slots, s.batches[i].slots)
		}
	}
	active := false
	for service, p := range *tracked {
		f.updatePools(service, p, s.at)
		active = active || p.plan.Load().Size > 0
	}
	if !active {
		return
	}
	s.pools = make([]routing.Pool, len(s.View.Targets))
	for i := range s.View.Targets {
		t := &s.View.Targets[i]
		if p := (*tracked)[t.Service]; p != nil {
			s.pools[i] = p.division.Pool(t.FailureDomain, t.Hash)
		}
	}
}

// updatePools updates the plan and the division of one service.
func (f *Fleet) updatePools(service string, p *servicePools, now time.Time) {
	before := p.plan.Load()
	if before == nil || now.Sub(p.updated) >= poolsInterval {
		p.updated = now
		plan, in := p.machine.Update(f.pools.demand.Picture(service), len(p.engines), p.slots, now)
		p.plan.Store(&plan)
		if before == nil {
			before = &pools.Plan{}
		}
		if before.Size != plan.Size && f.pools.onChange != nil {
			f.pools.onChange(PoolsChange{Service: service, Before: before.Size, After: plan.Size, Inputs: in})
		}
	}
	p.division.Update(p.engines, p.plan.Load().Size)
}

// markOffPool sets OffPool in the inputs of one request.
func (s *Snapshot) markOffPool(r *routing.Request, in []routing.Input) {
	if r.Pool == routing.NoPool || s.pools == nil {
		return
	}
	for i := range in {
		in[i].OffPool = r.Pool.Excludes(s.pools[i])
	}
}
