package forward

import (
	"math/rand/v2"
	"sync"

	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/verdict"
)

// stepShed is the step of such a refusal.
const stepShed = "shed"

// shed refuses a call that would be late (package verdict), or returns nil.
func (r *run) shed(c *choice) *outcome.Error {
	if r.call.Prompt == nil || !r.route.Prompts || r.mayRan || r.begun {
		return nil
	}
	a := verdict.Arrival{
		Objective: r.route.Objective, Urgent: priority(r.route, r.workspace) == 0, Draw: rand.Float64(),
		Usual: r.f.usual.observe(r.route.Name, (c.wait-c.queue).Seconds()*float64(c.rate)),
	}
	refusal, late := verdict.Late(a, verdict.Best{Queue: c.queue, Rate: float64(c.rate)})
	if !late {
		return nil
	}
	r.f.Stats.Shed.Add(1)
	return outcome.New(outcome.NotRun, outcome.CodeOverloaded, stepShed, string(c.target.ID),
		"the engines are too busy to answer in time: "+refusal.Predicted.String()+" even at the best one").After(refusal.ComeBack)
}

// usualWork keeps what prompts of a route usually make an engine do, by the route's
// name, in tokens computed. Safe for concurrent use.
type usualWork struct {
	mu     sync.Mutex
	tokens map[string]float64
}

const (
	// usualGain is the weight of one call.
	usualGain = 0.05
	// maxUsualRoutes bounds the routes that are remembered; beyond, all are forgotten.
	maxUsualRoutes = 4096
)

// observe takes one call in and returns the usual work.
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
