package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// pooledEngines returns n engines in three failure domains.
func pooledEngines(n int, state platform.State) (records []platform.Record) {
	for i := range n {
		records = append(records, platform.Record{
			ID: fmt.Sprint("e", i), Role: platform.RoleEngine, Service: "s", FailureDomain: ids.FailureDomain(fmt.Sprint("d", i%3)), Slots: 48, Incarnation: 1, State: state,
		})
	}
	return records
}

// pooledFleet returns a fleet of n engines of the service "s" whose calls need pools: "long" computes
// and "short" streams with pauses. Its changes of pools are appended to changes.
func pooledFleet(n int, now *time.Time, changes *[]PoolsChange) *Fleet {
	m := membership.New("vm", membership.Tuning{Grace: time.Hour})
	m.ApplyPlatform(pooledEngines(n, platform.StateLive), *now)
	clock := func() time.Time { return *now }
	f, d := New(m, cacheview.New(64, nil), loadview.New(), routing.NewFetching(), clock), demand.New(clock)
	for range 100 {
		d.Decided(demand.Class{Service: "s", Route: "long"}, 0.3, true)
		d.Decided(demand.Class{Service: "s", Route: "short"}, 0.01, true)
		d.Ended(demand.Class{Service: "s", Route: "short"}, 14*time.Second, false, true)
	}
	f.UsePools(d, func(c PoolsChange) { *changes = append(*changes, c) })
	return f
}

// TestPoolsBeginAndEnd guards against pools that decisions never see, against a change without its log
// line, and against pools that stay when the engines leave.
func TestPoolsBeginAndEnd(t *testing.T) {
	now, changes := time.Now(), []PoolsChange(nil)
	f := pooledFleet(36, &now, &changes)
	if p := f.PoolOf("s", "short"); p != routing.NoPool {
		t.Fatalf("pool %v before the first snapshot, want none", p)
	}
	f.Refresh()
	if len(changes) != 1 || changes[0].Before != 0 || changes[0].After == 0 || changes[0].Inputs.Engines != 36 || changes[0].Inputs.Slots != 48 {
		t.Fatalf("changes are %+v, want the beginning of pools with 36 engines", changes)
	}
	for route, want := range map[string]routing.Pool{"short": routing.DecodePool, "long": routing.PrefillPool, "new": routing.NoPool} {
		if got := f.PoolOf("s", route); got != want {
			t.Errorf("route %s is in pool %v, want %v", route, got, want)
		}
	}
	sc, used := f.Acquire(), map[routing.Pool]map[ids.Target]bool{routing.DecodePool: {}, routing.PrefillPool: {}}
	for pool, targets := range used {
		for range 100 {
			snap, d := f.Decide(&routing.Request{Service: "s", Tokens: 1000, Seed: f.Seed(), Pool: pool, OffPoolSeconds: 0.4}, nil, sc)
			if sc.Inputs[d.Index].OffPool {
				t.Fatalf("an idle engine of the other pool than %v was picked", pool)
			}
			targets[snap.View.Targets[d.Index].ID] = true
			f.Load.Sent(snap.View.Targets[d.Index].ID, 10, now) // few tokens, so that no engine has a queue
		}
	}
	for id := range used[routing.DecodePool] {
		if used[routing.PrefillPool][id] {
			t.Errorf("engine %s got calls of both pools", id)
		}
	}
	f.Decide(&routing.Request{Service: "s", Tokens: 1000, Seed: f.Seed()}, nil, sc)
	for i := range sc.Inputs {
		if sc.Inputs[i].OffPool {
			t.Fatal("a request without a pool has engines off its pool")
		}
	}
	f.Members.ApplyPlatform(pooledEngines(36, platform.StateLeaving), now)
	now = now.Add(poolsInterval)
	f.Refresh()
	if len(changes) != 2 || changes[1].After != 0 || f.PoolOf("s", "short") != routing.NoPool {
		t.Errorf("changes are %+v and the pool is %v while all engines leave, want the end of the pools", changes, f.PoolOf("s", "short"))
	}
}

// TestPooledServicesAreBounded guards against memory that grows with the services that callers name, and
// against services that are lost when several calls name new ones at once.
func TestPooledServicesAreBounded(t *testing.T) {
	now, changes := time.Now(), []PoolsChange(nil)
	f := pooledFleet(36, &now, &changes)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 10 * maxPooledServices {
				f.PoolOf(fmt.Sprint("s", (g+1)*i), "short")
				f.Refresh()
			}
		})
	}
	wg.Wait()
	if n := len(*f.pools.tracked.Load()); n != maxPooledServices {
		t.Errorf("%d services are kept, want %d", n, maxPooledServices)
	}
}

// TestNoPoolsWithoutDemand guards against pools, or a crash, on a VM that has no picture of demand.
func TestNoPoolsWithoutDemand(t *testing.T) {
	now, changes := time.Now(), []PoolsChange(nil)
	f := pooledFleet(36, &now, &changes)
	f.UsePools(nil, nil)
	for range 2 {
		if p := f.PoolOf("s", "short"); p != routing.NoPool {
			t.Errorf("pool %v without a picture, want none", p)
		}
		f.Refresh()
	}
}

func BenchmarkRefreshPools(b *testing.B) {
	for _, n := range []int{140, 9756} {
		for _, pools := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/pools=%v", n, pools), func(b *testing.B) {
				now, changes := time.Now(), []PoolsChange(nil)
				f := pooledFleet(n, &now, &changes)
				if pools {
					f.PoolOf("s", "short")
				}
				for b.Loop() {
					now = now.Add(time.Microsecond)
					f.Refresh()
				}
			})
		}
	}
}

func BenchmarkDecidePools(b *testing.B) {
	for _, n := range []int{16, 60, 140, 600, 9756} {
		for _, pools := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/pools=%v", n, pools), func(b *testing.B) {
				now, changes := time.Now(), []PoolsChange(nil)
				f := pooledFleet(n, &now, &changes)
				r := routing.Request{Service: "s", Tokens: 1000}
				if pools {
					f.PoolOf("s", "short")
					f.Refresh()
					r.Pool, r.OffPoolSeconds = f.PoolOf("s", "short"), 0.4
				}
				sc := f.Acquire()
				for b.Loop() {
					f.Decide(&r, nil, sc)
				}
			})
		}
	}
}
