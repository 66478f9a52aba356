package forward

import (
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
)

// stepAllowance is the step of a refusal of a workspace that is over its allowance.
const stepAllowance = "allowance"

// charge is the share of its workspace's allowance that a call has used.
type charge struct {
	call allowance.Call
	at   time.Time // zero: nothing was charged
}

// chargeAllowance deducts the call's cost from its workspace's allowance, or refuses the call.
// It runs once the key is known and before the call waits or is sent.
func (r *run) chargeAllowance() *outcome.Error {
	if r.f.Allowances == nil || r.workspace == nil {
		return nil
	}
	call := allowance.Call{Workspace: r.workspace.Name, Cost: r.workspace.Allowance.Cost(r.call.Tokens)}
	decision := r.f.Allowances.Take(call)
	if decision.Admitted {
		r.charge = charge{call, clock.Now()}
		return nil
	}
	r.f.Log.Request("over-allowance", string(r.call.ID)).Str("workspace", string(call.Workspace)).Float64("cost", call.Cost).
		Float64("rate", decision.Limit.Rate).Float64("burst", decision.Limit.Burst).Float64("left", decision.Level).
		Float64("demand", decision.Demand).Float64("reserved", decision.Reserved).Int64("age_ms", decision.Age.Milliseconds()).
		Int64("come_back_ms", decision.RetryAfter.Milliseconds()).Send()
	return outcome.New(outcome.NotRun, outcome.CodeRateLimited, stepAllowance, "", "the workspace is over its allowance").After(decision.RetryAfter)
}

// refundUnused returns the charge of a call that ran on no target.
func (r *run) refundUnused() {
	if !r.charge.at.IsZero() && r.attempts == 0 {
		r.f.Allowances.Return(r.charge.call, r.charge.at)
	}
}
