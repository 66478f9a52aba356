package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/tunnel"
	"github.com/threadwall/threadwall/internal/upstream"
)

// Causes of attempts that this VM ended, as opposed to the replica.
var (
	errCallerGone = errors.New("the caller has disconnected or stopped reading")
	errStalled    = errors.New("the replica has sent nothing within the timeout")
	errOvertaken  = errors.New("another replica has answered the call first")
	errOldWeights = errors.New("the replica's weights have become too old to start the call on")
)

// maxSends bounds the sends of one call, including those that did not run.
const maxSends = 4

// minAttemptTime is the remaining time below which another attempt can't succeed.
const minAttemptTime = 15 * time.Millisecond

// serve runs attempts until the call is answered.
func (r *run) serve(ctx context.Context) {
	if refusal := r.findOrigin(ctx); refusal != nil {
		r.refuse(refusal)
		return
	}
	r.startGuard()
	r.f.Budgets.Of(r.service).Deposit()
	defer r.endAttempts(ctx)
	for {
		err := r.start(ctx)
		if err == nil {
			err = r.follow(ctx)
		}
		if err == nil {
			r.f.Late.counts[r.lateCause()].Add(1)
			r.countEnd()
			r.f.durations.observe(r.route.Name, clock.Since(r.received), clock.Now())
			r.logEnd(r.status, nil)
			return
		}
		if errors.Is(err, errCallerGone) || r.req.Context().Err() != nil {
			r.abandon(err)
			return
		}
		if r.stopped = r.mayRetry(ctx, err); r.stopped != "" {
			r.fail(ctx, err)
			return
		}
	}
}

// abandon ends a call whose caller has closed the connection.
func (r *run) abandon(err *outcome.Error) {
	r.logEnd(statusClientClosedRequest, err)
	panic(http.ErrAbortHandler)
}

// statusClientClosedRequest is the usual status in logs for a caller that has closed the
// connection; net/http defines no name for it.
const statusClientClosedRequest = 499

// fail ends a call that failed and is not retried.
func (r *run) fail(ctx context.Context, err *outcome.Error) {
	e := r.finalError(ctx, err)
	if r.begun || r.gaveUp.target != "" || errors.Is(err, errDrainEnded) {
		r.recordCut(err, e)
	}
	if !r.begun {
		r.refuse(e)
		return
	}
	r.f.Stats.Broken.Add(1)
	r.f.Refusals.add(e)
	r.logEnd(r.status, e)
	panic(http.ErrAbortHandler) // cuts the connection, so that the caller does not take the response for complete
}

// finalError returns the error of a failed call, given that of its last attempt.
func (r *run) finalError(ctx context.Context, err *outcome.Error) *outcome.Error {
	e := err
	if e.Outcome == outcome.NotRun && r.mayHaveRun {
		// The last attempt did not run; an earlier one may have.
		e = outcome.Wrap(err, outcome.Unknown, e.Code, e.Step, e.Peer, e.Message)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || clock.Until(r.ends) <= 0 {
		e = outcome.Wrap(err, e.Outcome, outcome.CodeDeadline, e.Step, e.Peer, "the call's deadline has passed")
	}
	if e.Outcome == outcome.NotRun && e.RetryAfter == 0 && e.Code != outcome.CodeQuarantined {
		e.RetryAfter = noTargetRetryAfter
	}
	return e
}

// start picks a replica and sends the call there.
func (r *run) start(ctx context.Context) *outcome.Error {
	if refusal := r.guard.Refusal(r.sends == 0); refusal != nil {
		return refusal
	}
	c, refusal := r.decide()
	if refusal != nil {
		return refusal
	}
	if refusal := r.guard.RefusalAtSend(r.sends == 0); refusal != nil { // after decide, so that a trial is not used up when no replica can take the call
		r.giveBack(&c)
		return refusal
	}
	r.launch(ctx, &c)
	return nil
}

// giveBack undoes what a decision took, when nothing is sent.
func (r *run) giveBack(c *choice) {
	r.f.Fleet.GiveBack(c.target.ID)
	c.admission.Release()
}

// firstOutput records the replica's first event, or its response. It shows that the replica is
// live, and its delay is compared with the predicted one.
func (t *attempt) firstOutput() {
	if t.responded {
		return
	}
	t.responded = true
	t.stopWeightsWatch()
	t.recordStart()
	t.r.progress.sent, t.r.progress.work = t.sent, seconds(float32(t.c.work)/max(t.c.rate, 1))
	now := clock.Now()
	t.work.FirstToken()
	if t.r.superseded(t.c) {
		return
	}
	t.r.f.Fleet.Members.MarkSeen(t.c.target.ID, now)
	t.r.f.Demand.FirstEvent(t.r.class(), t.r.workOf(t.c), t.c.assumed.wait, now.Sub(t.sent))
	if t.r.call.Prompt != nil && t.r.route.Prompts {
		t.r.f.Fleet.Load.ObserveTTFT(t.c.target.ID, t.c.wait, now.Sub(t.sent), now)
		t.r.f.Fleet.Load.ObserveWait(now.Sub(t.sent)-seconds(float32(t.r.workOf(t.c)))-loadview.MinTTFT, now)
		t.r.f.Fleet.Load.ObservePace(t.c.target.ID, t.r.service, t.c.unscaled, now.Sub(t.sent), now)
		t.r.f.Prediction.Observe(t.r.route.Name, t.c.age, t.c.wait, now.Sub(t.sent))
	} else {
		t.r.f.Fleet.Load.ObservePlain(t.c.target.ID, t.r.service, t.r.route.Name, now.Sub(t.sent), now)
	}
}

// endComputing records, once, that the replica no longer computes the prompt's shared parts.
// held reports whether the replica holds them now.
func (t *attempt) endComputing(held bool) {
	if t.computing {
		t.computing = false
		t.r.f.KV.sendEnded(t.c, held)
	}
}

func (t *attempt) countTransfers() {
	if t.c.fetch != "" {
		t.r.f.Stats.Fetches.Add(1)
	}
	if t.c.save != "" {
		t.r.f.Stats.Saves.Add(1)
	}
}

// classify returns an attempt's error as an outcome.Error. If this VM cancelled the attempt, the
// error names the cause.
func (t *attempt) classify(err error) *outcome.Error {
	e := outcome.Of(err)
	switch {
	case t.r.req.Context().Err() != nil:
		return outcome.Wrap(errors.Join(errCallerGone, err), e.Outcome, outcome.CodeStreamBroken, e.Step, e.Peer, "the caller has closed the connection")
	case errors.Is(context.Cause(t.ctx), errOldWeights):
		return outcome.Wrap(errors.Join(errOldWeights, err), e.Outcome, outcome.CodeUpstream, e.Step, e.Peer, "withdrawn: the replica's weights have become too old to start the call on")
	}
	return e
}

// checkHead returns an error if the head of a response shows a refusal or a failure.
func (t *attempt) checkHead(a *upstream.Response, reply Reply) *outcome.Error {
	peer := string(t.c.target.ID)
	switch {
	case reply.Mismatch:
		return outcome.Wrap(&Refusal{Mismatch: true, Replica: reply.Replica}, outcome.NotRun, outcome.CodeUpstream, "refused", peer,
			"the replica has another identity or other weights than requested")
	case reply.NotRun:
		return outcome.Wrap(&Refusal{Status: a.Status, Replica: reply.Replica}, outcome.NotRun, outcome.CodeOverloaded, "refused", peer,
			"the replica refused the call").After(noTargetRetryAfter)
	case a.Status < http.StatusMultipleChoices && !reply.Signed:
		return outcome.New(outcome.Unknown, outcome.CodeUpstream, "judge", peer, "the response lacks the replica's signature")
	case a.Status >= http.StatusInternalServerError && (t.r.repeatable() || len(t.r.live) > 1):
		return outcome.Wrap(&Refusal{Status: a.Status}, outcome.Unknown, outcome.CodeUpstream, "judge", peer, "the replica failed the call")
	case impliesNotRun(a.Status):
		// The replica does not state that the call did not run, so this VM may not state it either.
		return outcome.Wrap(&Refusal{Status: a.Status}, outcome.Unknown, outcome.CodeUpstream, "judge", peer, "the replica refused the call without stating that it did not run")
	}
	return nil
}

// impliesNotRun reports whether a status tells callers that the call did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Refusal is the cause of the error of an attempt that the replica refused or failed.
type Refusal struct {
	Status   int        // HTTP status of the response; zero after a mismatch
	Mismatch bool       // the replica has other weights, or another identity, than requested
	Replica  ids.Target // the replica that answered; empty: not given
}

// Error implements error.
func (e *Refusal) Error() string {
	if e.Mismatch {
		return "identity or weights mismatch, answered by " + string(e.Replica)
	}
	return "status " + http.StatusText(e.Status)
}

// recordOutcome updates the state of the call and of the replica after an attempt.
func (r *run) recordOutcome(ctx context.Context, t *attempt, err *outcome.Error) {
	now, c := clock.Now(), t.c
	members := r.f.Fleet.Members
	if err == nil {
		if t.framed {
			r.guard.Answered(r.status)
		} else {
			r.answeredUnframed(t)
		}
		switch {
		case r.superseded(c):
		case r.status >= http.StatusInternalServerError:
			// A target whose failed calls are not retried would otherwise look idle and healthy.
			members.FailedCall(c.target.ID, now)
		default:
			members.Succeeded(c.target.ID)
		}
		return
	}
	r.checkForCrash(ctx, t, err)
	r.noteGivenUp(t, err)
	if nothingSent(err) {
		r.f.Fleet.GiveBack(c.target.ID)
	}
	if err.Outcome == outcome.NotRun {
		r.attempts--
	} else {
		r.mayHaveRun = true
	}
	if r.superseded(c) {
		r.logFailed(c, err)
		return
	}
	var refusal *Refusal
	isRefusal := errors.As(err, &refusal)
	switch {
	case errors.Is(err, errCallerGone), ctx.Err() != nil && !t.overtaken:
		return // does not count against the replica
	case errors.Is(err, errNotAllowed):
		// Nothing was sent, so this does not count against the replica.
	case errors.Is(err, errStalled), errors.Is(err, errOvertaken):
		// onStall has recorded the timeout, which opens the breaker only of a replica that is silent
		// for all calls. A second count here would open it for a replica that is merely slow.
	case errors.Is(err, errOldWeights):
		// The call waited in the replica's queue, which this VM knows already; no failure is
		// counted.
	case t.brokeOffUnread(err):
		// The caller did not read, so this does not count against the replica.
	case errors.Is(err, tunnel.ErrBroken), r.f.Upstream.Links.Lost(c.target.ID):
		// The link or a peer failed, so this does not count against the replica.
	case isRefusal && refusal.Mismatch && refusal.Replica != "" && refusal.Replica != c.target.ID:
		members.MarkLeaving(c.target.ID, c.target.Incarnation)
		r.f.Upstream.Drop(c.target.ID)
	case isRefusal && err.Outcome == outcome.NotRun:
		members.Busy(c.target.ID, now.Add(busyPause))
		r.f.Fleet.Refused(c.target.ID, now)
	default:
		members.Failed(c.target.ID, now)
	}
	r.f.Fleet.MarkDirty()
	r.logFailed(c, err)
}

func (r *run) logFailed(c *choice, err *outcome.Error) {
	r.f.Log.Request("attempt-failed", string(r.call.ID)).Str("target", string(c.target.ID)).
		Uint64("incarnation", uint64(c.target.Incarnation)).Bool("restarted", r.superseded(c)).Str("outcome", err.Outcome.String()).
		Str("step", err.Step).Str("fingerprint", r.logFingerprint(err)).Str("error", err.Error()).Send()
}

// superseded reports whether the replica of an attempt has restarted since it was chosen. The
// outcome of the attempt says nothing about the present incarnation then.
func (r *run) superseded(c *choice) bool {
	return r.f.Fleet.Members.Incarnation(c.target.ID) > c.target.Incarnation
}

// busyPause is how long this VM sends nothing to a replica that refused a call. An order in
// progress keeps a replica busy for about a second, a full queue for less.
const busyPause = 250 * time.Millisecond
