package forward

import (
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
)

// stepAllowance is the step at which a workspace is over its allowance.
const stepAllowance = "allowance"

// taken is what a call took of its workspace's allowance.
type taken struct {
	call allowance.Call
	at   time.Time // zero: nothing was taken
}

// allow takes what the call costs out of its workspace's allowance, or refuses it: once its
// key is known, and before anything waits or is sent for it.
func (r *run) allow() *outcome.Error {
	if r.f.Allowances == nil || r.workspace == nil {
		return nil
	}
	call := allowance.Call{Workspace: r.workspace.Name, Cost: r.workspace.Allowance.Cost(r.call.Tokens)}
	judged := r.f.Allowances.Take(call)
	if judged.Admitted {
		r.taken = taken{call, clock.Now()}
		return nil
	}
	r.f.Log.Request("over-allowance", string(r.call.ID)).Str("workspace", string(call.Workspace)).Float64("cost", call.Cost).
		Float64("rate", judged.Limit.Rate).Float64("burst", judged.Limit.Burst).Float64("left", judged.Level).
		Float64("demand", judged.Demand).Float64("reserved", judged.Reserved).Int64("age_ms", judged.Age.Milliseconds()).
		Int64("come_back_ms", judged.RetryAfter.Milliseconds()).Send()
	return outcome.New(outcome.NotRun, outcome.CodeRateLimited, stepAllowance, "", "the workspace is over its allowance").After(judged.RetryAfter)
}

// settle gives back what a call took that has run nowhere.
func (r *run) settle() {
	if !r.taken.at.IsZero() && r.attempts == 0 {
		r.f.Allowances.Return(r.taken.call, r.taken.at)
	}
}
