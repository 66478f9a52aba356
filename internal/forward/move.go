package forward

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/links"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/tally"
)

// silenceDivisor bounds the silence of a replica to which a stalled call moves, as a fraction of the
// silence of the one that it leaves. Otherwise two silent replicas would exchange their calls.
const silenceDivisor = 2

// stallCheckInterval is the interval between checks of whether a call whose replica sends nothing
// can be sent to another one.
const stallCheckInterval = 50 * time.Millisecond

// MoveCounts counts sends of calls to another replica while their own was silent, by what came of them. Safe for concurrent
// use.
type MoveCounts struct{ tally.Counts }

// reportStall is the function of the stall timer. It must not block.
func (t *attempt) reportStall(time.Duration) time.Duration {
	select {
	case t.r.stalls <- t:
	default: // the call has another one to look at, and this one reports again
	}
	return stallCheckInterval
}

// onStall runs when a replica has sent nothing within the timeout, and again while that goes on. The timeout counts against
// the replica in later decisions. The replica keeps the call, which may be sent to another one as well.
func (r *run) onStall(ctx context.Context, t *attempt) {
	silence := t.silence()
	if t.ended || silence < t.timeout {
		return // it has sent something since
	}
	if !t.timedOut && !r.superseded(t.c) {
		r.f.Fleet.Members.TimedOut(t.c.target.ID, t.sent, clock.Now())
		r.f.Fleet.MarkDirty()
		r.f.Upstream.Links.Suspect(links.Target{ID: t.c.target.ID, Addr: t.c.target.Addr})
	}
	t.timedOut = true
	if t != r.live[len(r.live)-1] {
		return // a later attempt may still answer in time
	}
	r.maxSilence = silence / silenceDivisor
	if stop := r.move(ctx, t, silence); stop != r.kept {
		r.kept = stop
		r.logStay(t, silence)
	}
}

// move sends a call whose replica is silent to another one as well. All that the send needs is taken before it is made, and
// what can't be used is given back. move returns why it sent nothing; empty: it did.
func (r *run) move(ctx context.Context, from *attempt, silence time.Duration) stopReason {
	if stop := r.stopMove(ctx); stop != "" {
		return stop
	}
	budget := r.f.Budgets.Of(r.service)
	if !r.prepaid && budget.Remaining() < 1 {
		return stopBudget
	}
	if r.guard.Refusal(false) != nil || r.guard.Suspected() {
		return stopQuarantine
	}
	if !r.mayMove(from.c.target.ID) {
		return stopNoTarget
	}
	c, refusal := r.decide()
	if refusal != nil {
		return stopNoTarget
	}
	if r.guard.RefusalAtSend(false) != nil {
		r.giveBack(&c)
		return stopQuarantine
	}
	paidFrom := "an earlier send of which no byte was sent"
	if !r.prepaid {
		a := budget.Spend()
		if !a.Allowed() {
			r.giveBack(&c)
			return stopBudget
		}
		paidFrom = string(a.Source)
		r.paidFrom = append(r.paidFrom, paidFrom)
	}
	r.prepaid = false
	r.f.Stats.Retries.Add(1)
	r.f.Log.Request("move", string(r.call.ID)).Str("from", string(from.c.target.ID)).Str("to", string(c.target.ID)).
		Int64("silent_ms", silence.Milliseconds()).Bool("begun", r.begun).Str("service", r.service).Str("paid_from", paidFrom).Send()
	t := r.launch(ctx, &c)
	t.paid = true
	return ""
}

// stopMove returns what speaks against another send while a replica has the call, apart from the retry budget, quarantine and
// the choice of a replica.
func (r *run) stopMove(ctx context.Context) stopReason {
	switch {
	case ctx.Err() != nil, clock.Until(r.ends) < minAttemptTime:
		return stopDeadline
	case !r.route.Repeatable():
		return stopNotAgain
	case r.bodySent, !r.repeatable():
		return stopAttempts
	case r.sends >= maxSends:
		return stopSends
	}
	if refusal := r.recheckAdmission(); refusal != nil {
		if refusal.Code == outcome.CodeDeadline {
			return stopDeadline
		}
		return stopUnproven
	}
	return ""
}

// logStay logs that a call stays at a silent replica, when the reason is a new one.
func (r *run) logStay(t *attempt, silence time.Duration) {
	if r.kept == "" {
		return
	}
	r.f.Moves.Add("none: " + string(r.kept))
	r.f.Log.Request("no-move", string(r.call.ID)).Str("target", string(t.c.target.ID)).Int64("silent_ms", silence.Milliseconds()).
		Str("service", r.service).Str("reason", string(r.kept)).Int("sends", r.sends).Int("attempts", r.attempts).Send()
}

// logMove logs which of several replicas answered a call first.
func (r *run) logMove(first *attempt) {
	result := "stayed"
	if first != r.live[0] {
		result = "moved"
	}
	r.f.Moves.Add(result)
	others := make([]string, 0, len(r.live)-1)
	silent := int64(0)
	for _, t := range r.live {
		if t != first {
			others = append(others, string(t.c.target.ID))
			silent = max(silent, t.silence().Milliseconds())
		}
	}
	r.f.Log.Request("move-ended", string(r.call.ID)).Str("result", result).Str("target", string(first.c.target.ID)).Strs("ended", others).
		Int64("silent_ms", silent).Int64("after_ms", clock.Since(first.sent).Milliseconds()).Str("service", r.service).Send()
}
