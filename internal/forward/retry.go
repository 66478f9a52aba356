package forward

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
)

// stopReason is why a call gets no further attempt.
type stopReason string

// Reasons to make no further attempt. The empty one says that there may be one.
const (
	stopDeadline   stopReason = "deadline"
	stopSends      stopReason = "sends used up"
	stopAttempts   stopReason = "attempts used up"
	stopNotAgain   stopReason = "may not run again"
	stopNoResume   stopReason = "may not be resumed"
	stopBudget     stopReason = "retry budget used up"
	stopNoTarget   stopReason = "no target"
	stopUnproven   stopReason = "configuration not proven"
	stopShed       stopReason = "would be late"
	stopQuarantine stopReason = "quarantined or suspected"
	stopDrain      stopReason = "this VM shuts down"
)

// mayRetry returns why the call may not be sent again after a failed send; empty: it may. In that case it takes the retry
// out of the service's retry budget, unless the failed send ended before any byte was sent.
func (r *run) mayRetry(ctx context.Context, err *outcome.Error) stopReason {
	if stop := r.stopAfter(ctx, err); stop != "" {
		return stop
	}
	if !r.withdraw(ctx, err) {
		return stopBudget
	}
	r.f.Stats.Retries.Add(1)
	return ""
}

// stopAfter returns what speaks against another send after a failed one, apart from the retry budget.
func (r *run) stopAfter(ctx context.Context, err *outcome.Error) stopReason {
	switch {
	case ctx.Err() != nil, clock.Until(r.ends) < minAttemptTime:
		return stopDeadline
	case r.sends >= maxSends:
		return stopSends
	case r.bodySent:
		return stopAttempts
	case err.Code == outcome.CodeNoTarget:
		return stopNoTarget
	case err.Code == outcome.CodeStoreDown:
		return stopUnproven
	case err.Step == stepDrain:
		return stopDrain
	case err.Step == stepShed:
		return stopShed
	case err.Step == quarantine.Step:
		return stopQuarantine
	case err.Outcome != outcome.NotRun && !r.route.Repeatable():
		return stopNotAgain
	case err.Outcome != outcome.NotRun && !r.repeatable():
		return stopAttempts
	case r.begun && !r.route.Resumable:
		return stopNoResume
	case r.guard.Refusal(false) != nil:
		return stopQuarantine // the crash of this attempt may have quarantined the request
	case err.Outcome != outcome.NotRun && r.guard.Suspected():
		return stopQuarantine // it may have crashed the replica, and would crash the next one
	}
	return ""
}

// withdraw takes a retry out of the service's retry budget, unless the failed send ended before any byte was
// sent, and logs what pays for it. It returns false if the budget is used up and no other VM lends a retry.
func (r *run) withdraw(ctx context.Context, err *outcome.Error) bool {
	if nothingSent(err) || r.prepaid {
		r.prepaid = false
		r.f.Log.Request("retry", string(r.call.ID)).Str("service", r.service).Str("paid_from", "nothing: no byte was sent").Send()
		return true
	}
	a := r.f.Budgets.SpendOrBorrow(ctx, r.service)
	var line *zerolog.Event
	if a.Allowed() {
		r.paidFrom = append(r.paidFrom, string(a.Source))
		line = r.f.Log.Request("retry", string(r.call.ID)).Str("paid_from", string(a.Source))
	} else {
		r.f.Stats.BudgetEmpty.Add(1)
		line = r.f.Log.Request("no-retry", string(r.call.ID)).Str("reason", "the retry budget is used up")
	}
	line.Str("service", r.service).Int("window_requests", a.Requests).Float64("window_retries", a.Retries).
		Float64("burst", a.Burst).Float64("borrowed", a.Borrowed).Strs("lenders", lenders(a.Lenders)).Int("vms", a.VMs).Str("waits", a.Wait.Reason).Send()
	return a.Allowed()
}

// lenders returns VMs as strings.
func lenders(vms []ids.VM) (out []string) {
	for _, vm := range vms {
		out = append(out, string(vm))
	}
	return out
}

// repeatable reports whether the call may run again after an attempt that may have run.
func (r *run) repeatable() bool { return r.route.Repeatable() && r.attempts < r.route.Attempts }

// stepDial is the step of failed connects, before anything has reached the replica.
const stepDial = "dial"

// nothingSent reports whether an attempt ended before any byte reached the replica. Such an
// attempt counts neither as a retry nor against the replica's rate limit.
func nothingSent(err *outcome.Error) bool {
	return err.Step == stepDial || errors.Is(err, errNotAllowed)
}
