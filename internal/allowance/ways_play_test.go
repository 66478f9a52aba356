package allowance

import (
	"math"
	"strings"
	"sync"
	"testing"
	"time"
)

// A workspace of a large fleet: its usual demand is 0.55 of its limit, and a call costs 9,200
// tokens on average.
const (
	rate           = 190_000.0
	prompt         = 9_200.0
	usualDemand    = 0.55 * rate
	hotDemand      = 7.5 * usualDemand
	hotFrom        = 8 * time.Second
	hotTill        = 14500 * time.Millisecond
	scenarioLength = 18 * time.Second
)

func constant(l Limit) func(time.Duration) Limit { return func(time.Duration) Limit { return l } }

// spreadDemand spreads a demand over n VMs, as unevenly as a load balancer's hash does.
func spreadDemand(n int, total func(t time.Duration) float64) func(int, time.Duration) float64 {
	sum, weight := 0.0, make([]float64, n)
	for i := range weight {
		weight[i] = 0.4 + float64((i*37)%13)/10
		sum += weight[i]
	}
	return func(vm int, t time.Duration) float64 { return total(t) * weight[vm] / sum }
}

// hotPeriodDemand returns hotDemand from hotFrom to hotTill, and usualDemand otherwise.
func hotPeriodDemand(t time.Duration) float64 {
	if t >= hotFrom && t < hotTill {
		return hotDemand
	}
	return usualDemand
}

func between(from, till time.Duration) func(time.Duration) bool {
	return func(t time.Duration) bool { return t >= from && t < till }
}

// baseScenario is a workspace on 90 VMs whose demand rises to 4.1 times its limit.
func baseScenario() scenario {
	return scenario{
		vms: 90, length: scenarioLength, limit: constant(Limit{rate, rate}), demand: spreadDemand(90, hotPeriodDemand), loss: 0.03, meanCost: prompt,
	}
}

// scenarios returns the scenarios of the limiter by name.
func scenarios() map[string]scenario {
	out := map[string]scenario{}
	add := func(name string, change func(p *scenario)) {
		p := baseScenario()
		change(&p)
		out[name] = p
	}
	add("hot", func(*scenario) {})
	add("usual", func(p *scenario) { p.demand = spreadDemand(90, func(time.Duration) float64 { return usualDemand }) })
	add("at the limit", func(p *scenario) { p.demand = spreadDemand(90, func(time.Duration) float64 { return rate }) })
	add("hot for long", func(p *scenario) {
		p.demand = spreadDemand(90, func(t time.Duration) float64 {
			return map[bool]float64{true: hotDemand, false: usualDemand}[t >= hotFrom]
		})
	})
	add("hot, messages lost", func(p *scenario) { p.loss = 0.25 })
	add("hot, small workspace", func(p *scenario) {
		p.limit = constant(Limit{29_000, 29_000})
		p.demand = spreadDemand(90, scaled(29_000/rate))
	})
	add("prompts beyond the burst", func(p *scenario) {
		p.limit = constant(Limit{29_000, 5_000})
		p.demand = spreadDemand(90, scaled(29_000/rate))
	})
	add("hot at one VM", func(p *scenario) {
		p.demand = func(vm int, t time.Duration) float64 {
			if vm == 7 {
				return hotPeriodDemand(t)
			}
			return 0
		}
	})
	add("hot, 8 VMs", func(p *scenario) { p.vms = 8; p.demand = spreadDemand(8, hotPeriodDemand) })
	add("hot, 380 VMs", func(p *scenario) { p.vms, p.tree = 380, true; p.demand = spreadDemand(380, hotPeriodDemand) })
	add("hot, 380 VMs, a quarter partitioned", func(p *scenario) {
		p.vms, p.tree, p.demand, p.partition = 380, true, spreadDemand(380, hotPeriodDemand), partitionAt(hotFrom-2500*time.Millisecond, 4)
	})
	for _, c := range []struct {
		name string
		at   time.Duration
	}{{"3 s before the rise in demand", -3 * time.Second}, {"1 s before the rise in demand", -time.Second}, {"as demand rises", 0}, {"3 s after the rise in demand", 3 * time.Second}} {
		add("halves partitioned "+c.name, func(p *scenario) { p.partition = partitionAt(hotFrom+c.at, 2) })
	}
	add("a quarter partitioned as demand rises", func(p *scenario) { p.partition = partitionAt(hotFrom, 4) })
	add("usual, a quarter partitioned", func(p *scenario) {
		p.demand, p.partition = spreadDemand(90, func(time.Duration) float64 { return usualDemand }), partitionAt(hotFrom, 4)
	})
	add("usual, half killed for 2 s", func(p *scenario) {
		down := between(hotFrom, hotFrom+2*time.Second)
		p.down = func(vm int, t time.Duration) bool { return vm%2 == 0 && down(t) }
		even := spreadDemand(90, func(time.Duration) float64 { return usualDemand })
		p.demand = func(vm int, t time.Duration) float64 {
			if !down(t) {
				return even(vm, t)
			}
			return usualDemand / 45 // callers use the remaining VMs
		}
	})
	add("hot, all killed", func(p *scenario) {
		down := between(hotFrom+2*time.Second, hotFrom+3*time.Second)
		p.down = func(_ int, t time.Duration) bool { return down(t) }
	})
	add(killedTwice, func(p *scenario) {
		once, again := between(hotFrom+time.Second, hotFrom+1500*time.Millisecond), between(hotFrom+4*time.Second, hotFrom+4500*time.Millisecond)
		p.down = func(_ int, t time.Duration) bool { return once(t) || again(t) }
		p.partition = partitionAt(hotFrom, 4)
	})
	add("ten times the limit at 4 VMs, all killed", func(p *scenario) {
		p.vms = 4
		p.demand = spreadDemand(4, func(t time.Duration) float64 {
			return map[bool]float64{true: 10 * rate, false: usualDemand}[t >= hotFrom]
		})
		once, again := between(hotFrom+500*time.Millisecond, hotFrom+800*time.Millisecond), between(hotFrom+2*time.Second, hotFrom+2300*time.Millisecond)
		p.down = func(_ int, t time.Duration) bool { return once(t) || again(t) }
	})
	add("hot, restarted in turn", func(p *scenario) {
		p.down = func(vm int, t time.Duration) bool {
			from := hotFrom + time.Duration(vm)*70*time.Millisecond
			return between(from, from+400*time.Millisecond)(t)
		}
	})
	add("hot, VMs join", func(p *scenario) {
		p.vms, p.demand = 102, spreadDemand(102, hotPeriodDemand)
		p.listed = func(vm int, t time.Duration) bool { return vm < 90 || t >= hotFrom+2*time.Second }
	})
	add("limit lowered while hot", func(p *scenario) {
		p.limit = func(t time.Duration) Limit {
			if t >= hotFrom+3*time.Second {
				return Limit{0.3 * rate, 0.3 * rate}
			}
			return Limit{rate, rate}
		}
	})
	add("limit raised while hot", func(p *scenario) {
		p.limit = func(t time.Duration) Limit {
			if t >= hotFrom+3*time.Second {
				return Limit{3 * rate, 3 * rate}
			}
			return Limit{rate, rate}
		}
	})
	return out
}

func scaled(by float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 { return hotPeriodDemand(t) * by }
}

// partitionAt separates each parts-th VM from the others, for 5.5 s from the time from.
func partitionAt(from time.Duration, parts int) func(int, time.Duration) int {
	partitioned := between(from, from+5500*time.Millisecond)
	return func(vm int, t time.Duration) int {
		if partitioned(t) && vm%parts == 0 {
			return 1
		}
		return 0
	}
}

// meanAndError returns the mean of xs and its standard error.
func meanAndError(xs []float64) (mean, se float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		se += (x - mean) * (x - mean)
	}
	n := float64(len(xs))
	return mean, math.Sqrt(se / max(n-1, 1) / n)
}

// killedTwice is the scenario that only TestKilledTwiceAndCutOff runs.
const killedTwice = "hot, all killed twice, a quarter partitioned"

// checkScenario simulates one scenario with the limiter. In no window may the workspace use more
// than operators tolerate. It must get at least four fifths of what one bucket for all VMs would
// admit, and 19 of 20 units if its demand is at most its limit. checkScenario returns the admitted
// fraction of long prompts over that of all calls.
func checkScenario(t *testing.T, name string) (long float64) {
	t.Helper()
	f := simulate(scenarios()[name], 1, newLimiterAlgorithm)
	t.Logf("overuse %.2f shortfall %.3f long %.2f messages %d", f.overuse, f.shortfall, f.longRatio, f.messages)
	maxShortfall := 0.2
	if strings.HasPrefix(name, "usual") || name == "at the limit" {
		maxShortfall = 0.05
	}
	if f.overuse > 1 || f.shortfall > maxShortfall {
		t.Errorf("use beyond the limit is %.2f of the tolerance, want at most 1; %.3f of what one bucket admits was refused, want at most 0.2, or 0.05 if demand is within the limit", f.overuse, f.shortfall)
	}
	return f.longRatio
}

// TestScenarios simulates each scenario. Long prompts must be admitted as often as short ones.
func TestScenarios(t *testing.T) {
	var mu sync.Mutex
	var long []float64
	t.Run("all", func(t *testing.T) {
		for name := range scenarios() {
			if name == killedTwice {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				l := checkScenario(t, name)
				mu.Lock()
				defer mu.Unlock()
				long = append(long, l)
			})
		}
	})
	if mean, se := meanAndError(long); mean < 0.95 {
		t.Errorf("long prompts were admitted %.2f (s.e. %.2f) times as often as all calls, want at least 0.95", mean, se)
	}
}

// TestKilledTwiceAndCutOff kills all VMs twice while a quarter of them is partitioned. In four of
// ten seeds the workspace got a little less than four fifths of what one bucket would admit, for
// a reason that is not yet known.
func TestKilledTwiceAndCutOff(t *testing.T) { checkScenario(t, killedTwice) }

// algorithms are the algorithms that were compared.
var algorithms = []struct {
	name  string
	build func(vm int, now func() time.Time) algorithm
}{
	{"bucket with debt, probabilistic", newLimiterAlgorithm},
	{"bucket with debt, threshold", newThresholdAlgorithm},
	{"shares by demand", newSharesAlgorithm},
	{"one VM grants", newOwnerAlgorithm},
}

// TestAlgorithms compares the algorithms in the scenarios in which they differ. Only the first one,
// which is in use, has to keep to the bound.
func TestAlgorithms(t *testing.T) {
	for _, name := range []string{"hot", "hot at one VM"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, w := range algorithms {
				f := simulate(scenarios()[name], 1, w.build)
				t.Logf("%-32s overuse %5.2f, shortfall %.3f, long %.2f", w.name, f.overuse, f.shortfall, f.longRatio)
				if w.name == algorithms[0].name && f.overuse > 1 {
					t.Errorf("%s: overuse is %.2f of the tolerance, want at most 1", w.name, f.overuse)
				}
			}
		})
	}
}
