package forward

import (
	"math/rand/v2"
	"sync"

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

// workOf returns the work of a call that is sent to a choice, as for demand.RouteSums.
func (r *run) workOf(c *choice) float64 {
	if r.call.Prompt == nil || !r.route.Prompts {
		return 1
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
	if r.call.Prompt == nil || !r.route.Prompts || r.mayHaveRun || r.begun {
		return nil
	}
	a := verdict.Arrival{
		Objective: r.route.Objective, Urgent: priority(r.route, r.workspace) == 0, Jitter: rand.Float64(),
		Usual: r.f.usual.observe(r.route.Name, (c.wait-c.queue).Seconds()*float64(c.rate)),
	}
	refusal, late := verdict.Late(a, verdict.Best{Queue: c.queue, Rate: float64(c.rate)})
	if !late {
		return nil
	}
	r.f.Stats.Shed.Add(1)
	return outcome.New(outcome.NotRun, outcome.CodeOverloaded, stepShed, string(c.target.ID),
		"no engine can answer in time: predicted "+refusal.Predicted.String()+" until the first event at the best one").After(refusal.RetryAfter)
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
