package pools

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

var start = time.Unix(1000, 0)

const (
	testSlots   = 48
	testEngines = 60
)

// sums returns the sums of calls with the given prefill and streaming seconds each.
func sums(route string, calls, prefill, streaming, paused float32) demand.RouteSums {
	return demand.RouteSums{
		Route: demand.HashOf(route), Calls: calls, Admitted: calls, Work: calls * prefill, Streaming: calls * streaming, Paused: paused,
	}
}

func picture(routes ...demand.RouteSums) *demand.Picture {
	return &demand.Picture{Routes: routes, VMs: 32, Listed: 32}
}

// load returns the picture of a service whose decode-heavy calls need the given share of the engine
// time.
func load(share, pausedFraction float32) *demand.Picture {
	const calls = 4000
	perCall := testEngines / float32(demand.Rate(calls)) // engine time of a call of which calls use all engines
	return picture(sums("long", calls, (1-share)*perCall, 0, 0), sums("short", calls, 0, share*perCall*testSlots, calls*pausedFraction))
}

// run updates m with a picture each 250 ms and returns the last plan.
func run(m *Machine, p *demand.Picture, from time.Time, d time.Duration) (plan Plan) {
	for at := from; at.Sub(from) <= d; at = at.Add(250 * time.Millisecond) {
		plan, _ = m.Update(p, testEngines, testSlots, at)
	}
	return plan
}

// TestPoolsBeginOnlyWhereNeeded guards against pools in deployments that need none: they would halve
// the engines that a burst of one kind may use.
func TestPoolsBeginOnlyWhereNeeded(t *testing.T) {
	long, short := sums("long", 400, 0.06, 0, 0), sums("short", 400, 0.01, 3, 8)
	for name, c := range map[string]struct {
		picture *demand.Picture
		engines int
		want    bool
	}{
		"both kinds and pauses":     {picture(long, short), 32, true},
		"31 engines":                {picture(long, short), 31, false},
		"no pauses":                 {picture(long, sums("short", 400, 0.01, 3, 0)), 60, false},
		"pauses below 1%":           {picture(long, sums("short", 400, 0.01, 3, 3.9)), 60, false},
		"one pause of few calls":    {picture(long, sums("short", 4, 0.01, 3, 1)), 60, false},
		"only decode-heavy":         {picture(short), 60, false},
		"only prefill-heavy":        {picture(long), 60, false},
		"pauses of the wrong kind":  {picture(sums("long", 400, 0.06, 0.1, 100), sums("short", 400, 0.01, 3, 0)), 60, false},
		"routes without names":      {picture(demand.RouteSums{Admitted: 400, Work: 24}, short), 60, false},
		"no calls":                  {picture(), 60, false},
		"no picture":                {&demand.Picture{}, 60, false},
		"one VM of many heard":      {&demand.Picture{Routes: []demand.RouteSums{long, short}, VMs: 1, Listed: 32}, 60, false},
		"a third of the VMs heard":  {&demand.Picture{Routes: []demand.RouteSums{long, short}, VMs: 11, Listed: 32}, 60, true},
		"five routes of both kinds": {picture(long, short, sums("a", 40, 0.06, 0, 0), sums("b", 40, 0.01, 3, 0), sums("c", 40, 0.3, 0.5, 0)), 60, true},
	} {
		m := &Machine{}
		plan, in := m.Update(c.picture, c.engines, testSlots, start)
		if (plan.Size > 0) != c.want {
			t.Errorf("%s: size %d, want pools: %v (%+v)", name, plan.Size, c.want, in)
		}
	}
}

// TestKindsOfRoutes guards against routes in the wrong pool: a long prompt whose few events are slow
// because its engine is busy is still prefill-heavy.
func TestKindsOfRoutes(t *testing.T) {
	m := &Machine{}
	plan, _ := m.Update(picture(sums("long", 400, 0.06, 0.3, 0), sums("short", 400, 0.0125, 3, 8), sums("chat", 40, 0.2, 20, 0)), testEngines, testSlots, start)
	for route, want := range map[string]routing.Pool{"long": routing.PrefillPool, "short": routing.DecodePool, "chat": routing.DecodePool, "other": routing.NoPool} {
		if got := plan.Pool(route); got != want {
			t.Errorf("route %s is in pool %v, want %v", route, got, want)
		}
	}
	// In a burst the prefill doubles before the streaming does; the route must not change its pool.
	now := start.Add(time.Second)
	plan, _ = m.Update(picture(sums("long", 400, 0.06, 0.3, 0), sums("chat", 40, 0.5, 20, 8)), testEngines, testSlots, now)
	if got := plan.Pool("chat"); got != routing.DecodePool {
		t.Errorf("a route near the balance changed to pool %v", got)
	}
	plan, _ = m.Update(picture(sums("long", 400, 0.06, 0.3, 0), sums("chat", 40, 0.7, 20, 8)), testEngines, testSlots, now)
	if got := plan.Pool("chat"); got != routing.PrefillPool {
		t.Errorf("a route that computes for longer than it streams is in pool %v, want prefill", got)
	}
}

// TestSizeFollowsEngineTime guards against a pool that is too small for its calls, against a pool
// without engines, and against a decode pool of more than half of the engines, which starves prompts.
func TestSizeFollowsEngineTime(t *testing.T) {
	for _, c := range []struct {
		share float32
		want  int
	}{{0.01, 2}, {0.2, 3}, {0.3, 5}, {0.44, 7}, {0.5, 8}, {0.56, 8}, {0.99, 8}} {
		if plan := run(&Machine{}, load(c.share, 0.02), start, time.Second); plan.Size != c.want {
			t.Errorf("a share of %v of the engine time gives size %d/16, want %d/16", c.share, plan.Size, c.want)
		}
	}
}

// TestSizeDependsOnFractionOnly guards against sizes that shrink under overload, when streams need their
// pool most, and against a pool that takes everything in overload.
func TestSizeDependsOnFractionOnly(t *testing.T) {
	for _, c := range []struct {
		decode, prefill float32 // engines of 60 that the calls need
		want            int
	}{{12, 8, 8}, {24, 8, 8}, {24, 24, 8}, {60, 20, 8}, {20, 60, 4}, {60, 60, 8}, {5, 15, 4}, {10, 22, 5}, {40, 88, 5}, {6, 58, 2}, {2, 58, 2}} {
		p := picture(sums("long", 400, c.prefill/200, 0, 0), sums("short", 400, 0, c.decode/200*testSlots, 8))
		if plan := run(&Machine{}, p, start, time.Second); plan.Size != c.want {
			t.Errorf("size %d/16 for %v and %v of 60 engines, want %d/16", plan.Size, c.decode, c.prefill, c.want)
		}
	}
}

// TestSizeChangesSeldom guards against engines that change pools, and lose the use of their caches, for
// small or short changes of the load, and against a size that does not follow lasting ones.
func TestSizeChangesSeldom(t *testing.T) {
	for _, c := range []struct {
		share float32
		size  int
	}{{0.375, 6}, {0.5, 8}} {
		m, now, changes, last := &Machine{}, start, 0, c.size
		run(m, load(c.share, 0.02), now, time.Second)
		for i := range 4 * 60 { // 60 s of bursts: the share alternates by 0.06 up and down each second
			now = now.Add(250 * time.Millisecond)
			plan, _ := m.Update(load(c.share-0.06+0.12*float32(i/4%2), 0.02), testEngines, testSlots, now)
			if plan.Size != last {
				changes, last = changes+1, plan.Size
			}
		}
		if changes > 0 {
			t.Errorf("%d changes of size %d/16, want none", changes, c.size)
		}
		for _, next := range []struct {
			share float32
			size  int
			after time.Duration
		}{{0.3, 5, time.Minute}, {0.44, 7, time.Minute}, {0.7, 8, time.Minute}, {0.3, 5, time.Minute}, {0.2, 3, 2 * time.Minute}} {
			if plan := run(m, load(next.share, 0.02), now, next.after); plan.Size != next.size {
				t.Errorf("after %v of a share of %v the size is %d/16, want %d/16", next.after, next.share, plan.Size, next.size)
			}
			now = now.Add(next.after)
		}
	}
}

// TestPoolsEndAfterQuietTime guards against pools that switch on and off because they prevent the
// pauses for which they began.
func TestPoolsEndAfterQuietTime(t *testing.T) {
	m := &Machine{}
	run(m, load(0.5, 0.02), start, time.Second)
	now := start.Add(2 * time.Second)
	if plan := run(m, load(0.5, 0.003), now, 2*time.Minute); plan.Size == 0 {
		t.Error("pools ended at 0.3% paused calls, want them kept above 0.25%")
	}
	now = now.Add(3 * time.Minute)
	if plan := run(m, load(0.5, 0), now, 29*time.Second); plan.Size == 0 {
		t.Error("pools ended before 30 s without pauses")
	}
	if plan := run(m, picture(), now.Add(29*time.Second), 2*time.Second); plan.Size != 0 {
		t.Errorf("size %d/16 after 30 s without pauses, want no pools", plan.Size)
	}
	run(m, load(0.5, 0.02), now.Add(time.Minute), time.Second)
	if plan, _ := m.Update(load(0.5, 0.02), minEngines-1, testSlots, now.Add(62*time.Second)); plan.Size != 0 {
		t.Errorf("size %d/16 with %d engines, want no pools", plan.Size, minEngines-1)
	}
}

// TestCutOffVMKeepsItsPools guards against a VM that mixes the pools as soon as it hears no other VM,
// and against one that keeps them for good.
func TestCutOffVMKeepsItsPools(t *testing.T) {
	m := &Machine{}
	run(m, load(0.5, 0.02), start, time.Second)
	alone := load(0.1, 0) // by which the size would be 2/16 and the route prefill-heavy
	alone.VMs = 1
	now := start.Add(2 * time.Second)
	if plan := run(m, alone, now, 20*time.Second); plan.Size != 8 || plan.Pool("short") != routing.DecodePool {
		t.Errorf("size %d/16 and pool %v of a VM that is cut off, want what it had", plan.Size, plan.Pool("short"))
	}
	if plan := run(m, alone, now.Add(20*time.Second), 11*time.Second); plan.Size != 0 {
		t.Errorf("size %d/16 after 30 s without a picture, want no pools", plan.Size)
	}
}

// TestVMsReachTheSameSize guards against VMs that disagree for good because they started at different
// times and the hysteresis keeps what each saw first.
func TestVMsReachTheSameSize(t *testing.T) {
	a, b := &Machine{}, &Machine{}
	run(a, load(0.30, 0.02), start, time.Second)
	run(b, load(0.42, 0.02), start, time.Second)
	p := load(0.36, 0.02)
	now := start.Add(2 * time.Second)
	if x, y := run(a, p, now, time.Minute), run(b, p, now, time.Minute); x.Size != y.Size || x.Size != 6 {
		t.Errorf("sizes %d/16 and %d/16 with the same picture, want 6/16", x.Size, y.Size)
	}
}

// TestMachineIsBounded guards against memory that grows with the routes of the configuration.
func TestMachineIsBounded(t *testing.T) {
	m := &Machine{}
	for i := range 1000 {
		m.Update(picture(sums(fmt.Sprint("r", i), 10, 0.01, 3, 1)), testEngines, testSlots, start)
	}
	if len(m.routes) > maxRoutes {
		t.Errorf("%d routes are kept, want at most %d", len(m.routes), maxRoutes)
	}
	m.Update(picture(sums("new", 10, 0.01, 3, 1)), testEngines, testSlots, start.Add(2*stopAfter))
	m.Update(picture(sums("new", 10, 0.01, 3, 1)), testEngines, testSlots, start.Add(2*stopAfter))
	if len(m.routes) != 1 {
		t.Errorf("%d routes are kept after the others have ended, want 1", len(m.routes))
	}
}

// engines returns n engines in three failure domains.
func engines(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{Domain: ids.FailureDomain(fmt.Sprint("d", i%3)), Hash: routing.HashTarget(ids.Target(fmt.Sprint("engine-", i)))}
	}
	return out
}

func divide(list []Engine, size int) *Division {
	d := &Division{}
	d.Update(list, size)
	return d
}

// TestDivisionCoversDomains guards against a failure domain without one of the pools, whose calls would
// all leave the domain, and against pools that differ from the plan's size.
func TestDivisionCoversDomains(t *testing.T) {
	for _, n := range []int{16, 17, 60, 140, 600, 9756} {
		list := engines(n)
		for size := minSize; size <= Steps-minSize; size++ {
			d, count := divide(list, size), map[ids.FailureDomain]map[routing.Pool]int{}
			for _, e := range list {
				if count[e.Domain] == nil {
					count[e.Domain] = map[routing.Pool]int{}
				}
				count[e.Domain][d.Pool(e.Domain, e.Hash)]++
			}
			for domain, c := range count {
				decode, all := c[routing.DecodePool], c[routing.DecodePool]+c[routing.PrefillPool]
				want := float64(all*size) / Steps
				if decode == 0 || decode == all || float64(decode) < want-1 || float64(decode) > want+1 {
					t.Fatalf("%d of %d engines of domain %s are in the decode pool at size %d/16, want about %.1f", decode, all, domain, size, want)
				}
			}
		}
	}
	one := divide([]Engine{{Domain: "d", Hash: 7}}, 8)
	if one.Pool("d", 7) == routing.NoPool {
		t.Error("the only engine of a domain has no pool")
	}
	if d := divide(engines(16), 0); d.Pool("d0", 1) != routing.NoPool {
		t.Error("engines have a pool although there are none")
	}
}

// TestDivisionChangesLittle guards against prefixes that are computed anew on many engines: VMs that
// see lists that differ by three engines must agree on 0.9 of each pool, or on all but one engine per
// failure domain in pools of fewer than 30 engines, and a step of the size may
// move only the engines between the boundaries.
func TestDivisionChangesLittle(t *testing.T) {
	for _, n := range []int{60, 140, 9756} {
		list := engines(n)
		for size := minSize; size <= Steps-minSize; size++ {
			a, b := divide(list, size), divide(list[3:], size)
			for _, pool := range []routing.Pool{routing.DecodePool, routing.PrefillPool} {
				both, either := 0, 0
				for _, e := range list[3:] {
					x, y := a.Pool(e.Domain, e.Hash) == pool, b.Pool(e.Domain, e.Hash) == pool
					if x && y {
						both++
					}
					if x || y {
						either++
					}
				}
				if overlap := float64(both) / float64(either); overlap < 0.9 && (either >= 30 || either-both > 3) {
					t.Errorf("%d engines, size %d/16: pools %v overlap by %.2f, want 0.9", n, size, pool, overlap)
				}
			}
			if size == Steps-minSize {
				continue
			}
			next, moved := divide(list, size+1), 0
			for _, e := range list {
				x, y := a.Pool(e.Domain, e.Hash), next.Pool(e.Domain, e.Hash)
				if x == routing.DecodePool && y != x {
					t.Fatalf("an engine left the decode pool when the pool grew")
				}
				if x != y {
					moved++
				}
			}
			if moved > n/Steps+3 {
				t.Errorf("%d of %d engines moved for one step", moved, n)
			}
		}
	}
}

// TestDivisionAfterLostDomain guards against pools that shift in the other domains when one fails.
func TestDivisionAfterLostDomain(t *testing.T) {
	list := engines(60)
	var left []Engine
	for _, e := range list {
		if e.Domain != "d0" {
			left = append(left, e)
		}
	}
	before, after := divide(list, 6), divide(left, 6)
	for _, e := range left {
		if before.Pool(e.Domain, e.Hash) != after.Pool(e.Domain, e.Hash) {
			t.Fatalf("engine %x of domain %s changed its pool when domain d0 failed", e.Hash, e.Domain)
		}
	}
}

// TestDivisionIsReused guards against a sort for each snapshot while nothing has changed, and against a
// division that is kept when engines are replaced.
func TestDivisionIsReused(t *testing.T) {
	d, list := divide(engines(140), 6), engines(141)
	if n := testing.AllocsPerRun(10, func() { d.Update(list[:140], 6) }); n > 0 {
		t.Errorf("%v allocations for an unchanged list, want 0", n)
	}
	before := d.fingerprint
	if d.Update(list[1:], 6); d.fingerprint == before {
		t.Error("the division was kept although an engine was replaced")
	}
}

// TestDivisionFollowsDomains guards against a division that is kept when engines are listed in other
// failure domains: a domain that it does not know would have no decode pool.
func TestDivisionFollowsDomains(t *testing.T) {
	list := engines(60)
	d := divide(list, 6)
	for i := range list {
		list[i].Domain += "-new"
	}
	d.Update(list, 6)
	decode := map[ids.FailureDomain]int{}
	for _, e := range list {
		if d.Pool(e.Domain, e.Hash) == routing.DecodePool {
			decode[e.Domain]++
		}
	}
	for i := range 3 {
		if domain := list[i].Domain; decode[domain] != 8 {
			t.Errorf("%d of 20 engines of domain %s are in the decode pool, want 8", decode[domain], domain)
		}
	}
}
