package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/verdict"
)

// stepShed is the step of a refusal of a call that would be late.
const stepShed = "shed"

// class returns the class under which the call is counted.
func (r *run) class() demand.Class {
	c := demand.Class{Service: r.service, Route: r.route.Name}
	if r.workspace != nil {
		c.Workspace = r.workspace.Name
	}
	return c
}

// workOf returns the work of a call that is sent to a choice, as for demand.RouteSums. A call that does not describe
// its prompt counts as a usual one of its route: as one second of prefill, 10 such calls/s would count as the work
// that ten engines begin.
func (r *run) workOf(c *choice) float64 {
	switch {
	case !r.route.Prompts:
		return 1
	case r.call.Prompt == nil:
		return r.f.Fleet.PrefillSeconds(int32(r.f.usual.of(r.route.Name)))
	}
	return r.f.Fleet.PrefillSeconds(c.work)
}

// countDecision counts the first decision of a call.
func (r *run) countDecision(c *choice, refusal *outcome.Error) {
	if r.sends == 0 {
		r.f.Demand.Decided(r.class(), r.workOf(c), refusal == nil)
	}
}

// shed refuses a call that would be late (package verdict), or returns nil.
func (r *run) shed(c *choice) *outcome.Error {
	if r.call.Prompt == nil || !r.route.Prompts || r.mayHaveRun || r.begun || len(r.live) > 0 {
		return nil
	}
	a := verdict.Arrival{
		Objective: r.route.Objective, Urgent: priority(r.route, r.workspace) == 0, Jitter: rand.Float64(),
		Usual: r.f.usual.observe(r.route.Name, (c.wait-c.queue).Seconds()*float64(c.rate)),
	}
	if r.f.FairShares && r.f.Demand != nil {
		if load := verdict.Measure(r.f.Demand.Picture(r.service)); load.Short(a.Objective, c.assumed.mean) {
			return r.rule(c, a, &load)
		}
	}
	refusal, late := verdict.Late(a, verdict.Best{Queue: c.queue, Rate: float64(c.rate)})
	if !late {
		return nil
	}
	return r.refuseLate(c, refusal.Predicted, refusal.RetryAfter)
}

// rule decides on a call while capacity is short.
func (r *run) rule(c *choice, a verdict.Arrival, load *verdict.Contention) *outcome.Error {
	class := r.class()
	call := verdict.Call{
		Arrival: a, Workspace: demand.HashOf(string(class.Workspace)), Sample: r.f.draws.next(class),
		Mean: c.assumed.mean, Left: clock.Until(r.ends),
	}
	ruling := verdict.Rule(call, c.assumed.best, load)
	if ruling.Cause == verdict.Admitted {
		return nil
	}
	r.f.Log.Request("shed", string(r.call.ID)).Str("cause", string(ruling.Cause)).
		Str("service", r.service).Str("workspace", string(class.Workspace)).Str("target", string(c.target.ID)).
		Int64("assumed_ms", c.assumed.wait.Milliseconds()).Float64("ratio", load.Ratio).
		Int64("queue_ms", ruling.Queue.Milliseconds()).Int64("predicted_ms", ruling.Predicted.Milliseconds()).
		Int64("bound_ms", ruling.Bound.Milliseconds()).Int64("mean_queue_ms", ruling.Mean.Milliseconds()).
		Int64("fleet_wait_ms", load.Wait.Milliseconds()).
		Float64("capacity", load.Capacity).Float64("fleet_offered", load.Offered).
		Float64("offered", ruling.Offered).Float64("share", ruling.Share).
		Float64("probability", ruling.Probability).Float64("sample", call.Sample).
		Int64("age_ms", load.Age.Milliseconds()).Int("vms", load.VMs).
		Int64("come_back_ms", ruling.RetryAfter.Milliseconds()).Send()
	if ruling.Cause == verdict.OverShare {
		r.f.Stats.Shed.Add(1)
		return outcome.New(outcome.NotRun, outcome.CodeOverloaded, stepShed, string(c.target.ID),
			"the engines are busy and the workspace is above its share").After(ruling.RetryAfter)
	}
	return r.refuseLate(c, ruling.Predicted, ruling.RetryAfter)
}

// refuseLate returns the refusal of a call that would be late even at the best engine.
func (r *run) refuseLate(c *choice, predicted, retryAfter time.Duration) *outcome.Error {
	r.f.Stats.Shed.Add(1)
	return outcome.New(outcome.NotRun, outcome.CodeOverloaded, stepShed, string(c.target.ID),
		"no engine can answer in time: predicted "+predicted.String()+" until the first event at the best one").After(retryAfter)
}

// draws gives each class of calls numbers in [0, 1) that are evenly spread over any few consecutive
// calls, so that VMs with about one call a second admit the same part of them. Safe for concurrent use.
type draws struct {
	mu   sync.Mutex
	last map[demand.Class]uint64
}

const (
	// goldenStep is 2^64 divided by the golden ratio; the multiples modulo 2^64 are evenly spread.
	goldenStep = 0x9E3779B97F4A7C15
	// maxDraws is the number of classes at which all sequences start again.
	maxDraws = 4096
)

// next returns the next number of a class.
func (d *draws) next(c demand.Class) float64 {
	c.Route = ""
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || len(d.last) >= maxDraws {
		d.last = map[demand.Class]uint64{}
	}
	v, known := d.last[c]
	if !known {
		v = rand.Uint64() // so that VMs do not admit in step
	}
	v += goldenStep
	d.last[c] = v
	return float64(v>>11) / (1 << 53)
}

// usualWork keeps a moving average of the tokens that an engine computes for a prompt, by route
// name. Safe for concurrent use.
type usualWork struct {
	mu     sync.Mutex
	tokens map[string]float64
}

const (
	// usualGain is the weight of one call in the moving average.
	usualGain = 0.05
	// maxUsualRoutes is the number of routes at which all averages are dropped.
	maxUsualRoutes = 4096
)

// of returns the average of a route; zero: none of its calls described its prompt.
func (u *usualWork) of(route string) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tokens[route]
}

// observe records the tokens of one call and returns the average of its route.
func (u *usualWork) observe(route string, own float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tokens == nil || len(u.tokens) >= maxUsualRoutes {
		u.tokens = map[string]float64{}
	}
	usual, known := u.tokens[route]
	if !known {
		usual = own
	}
	usual += usualGain * (own - usual)
	u.tokens[route] = usual
	return usual
}
