// Package dispatch runs prompts on targets. It chooses a target, sends the prompt,
// relays the response, and after a failure retries, resumes or continues, within the
// retry budget and the request's deadline.
//
// A prompt may run twice, since it changes nothing outside the engine, but the
// caller must not get any output twice. After a failure:
//
//   - if nothing was delivered, the dispatcher tries another target;
//   - otherwise it asks the same incarnation of the same target to resume after the
//     last delivered event. The connection of a target that is only silent is kept until
//     the rest has begun to arrive (standby);
//   - if the target can't resume, and the template allows it, another target of the
//     same software version continues from the delivered text;
//   - otherwise the stream ends with an error event, never as if complete.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// Sink writes the response to the caller. A Sink is used by one goroutine at a time. An
// error of any method means that the caller has disconnected or stopped reading.
type Sink interface {
	// Start is called once, before the first event, with the target that sends it.
	Start(t ids.Target)
	// Event adds the data of one event. It may buffer the event until Flush.
	Event(data []byte) error
	// Flush sends the events that are buffered.
	Flush() error
	// Response sends a response that is not streamed.
	Response(t ids.Target, body []byte) error
}

// Limits on attempts and resumes.
const (
	maxAttempts = 4 // of a request
	maxResumes  = 2 // of an attempt
)

// Dispatcher runs prompts. It is safe for concurrent use.
type Dispatcher struct {
	Fleet  *fleet.Fleet
	Engine *engine.Client
	Events *timeline.Log
	Budget *retry.Budget
	// Gate admits requests. If nil, every request is admitted.
	Gate Gate
	// Guard quarantines prompts that crash targets. If nil, no prompt is quarantined.
	Guard       *quarantine.Guard
	VM          ids.VM
	Domain      ids.FailureDomain // of the VM
	IdleTimeout time.Duration     // longest time between two events of a target
	Stats       *Stats
}

// Gate refuses a request that would wait too long. Package admission implements it.
type Gate interface {
	// Check returns a refusal, or nil if the request may proceed. tokens is the
	// estimated length of the prompt, predicted the time to first token.
	Check(ws ids.Workspace, priority int, tokens int32, predicted time.Duration) *outcome.Error
}

// run is the state of one request.
type run struct {
	d              *Dispatcher
	p              *Prompt
	sink           Sink
	tried          []ids.Target
	attempts       int
	reserved       atomic.Bool         // the retry of the next attempt has been taken out of the budget
	started        bool                // the sink has received a part of the response
	software       ids.SoftwareVersion // of the current attempt's target; a response that has started goes on there only
	mayHaveRun     bool                // an attempt had an outcome other than not-run
	guard          quarantine.Call
	closedByTarget bool // the target of the current attempt closed the connection
	text           deliveredText
	prior          cacheview.Prior // of the current attempt's target
}

// Run runs a prompt and delivers the response to sink. It returns nil if the complete
// response was delivered, and an *outcome.Error otherwise.
func (d *Dispatcher) Run(ctx context.Context, p *Prompt, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, p.Template.Deadline.D())
	defer cancel()
	d.Budget.Deposit()
	r := &run{d: d, p: p, sink: sink}
	r.guard = d.Guard.Call(p.Request, quarantine.Request{Workspace: p.Workspace, Method: http.MethodPost, URI: p.Path, Body: [][]byte{p.body}})
	for {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		if !r.mayRetry(ctx, err) {
			return r.finalError(ctx, err)
		}
	}
}

// mayRetry reports whether another target may be tried after a failed attempt. If so,
// it has taken the retry out of the retry budget.
func (r *run) mayRetry(ctx context.Context, err error) bool {
	e := outcome.Of(err)
	var caller *engine.StatusError
	switch {
	case ctx.Err() != nil, r.attempts >= maxAttempts:
		return false
	case e.Code == outcome.CodeNoTarget, e.Code == outcome.CodeOverloaded, e.Step == quarantine.Step:
		return false
	case r.guard.Refusal(false) != nil:
		return false // the crash of this attempt may have quarantined the request
	case errors.As(err, &caller) && e.Outcome == outcome.Ran:
		return false
	case r.started && !r.p.Template.Continue:
		return false
	case !r.reserved.Swap(false) && !r.d.Budget.Withdraw():
		r.d.Stats.BudgetEmpty.Add(1)
		return false
	}
	r.d.Stats.Retries.Add(1)
	r.d.Events.Record(timeline.Event{Kind: timeline.KindAttempt, Request: r.p.Request, Peer: e.Peer, Text: "retry after " + e.Step + ": " + e.Message}, nil)
	return true
}

// reserve takes the retry at another target out of the budget, if there may be one and a target would take it. It is safe
// for concurrent use while an attempt waits for its target. started says that the caller has a part of the response.
func (r *run) reserve(from ids.Target, started bool) bool {
	if r.reserved.Load() {
		return true
	}
	if r.attempts >= maxAttempts || started && !r.p.Template.Continue || !r.mayMove(from, started) || !r.d.Budget.Withdraw() {
		return false
	}
	r.reserved.Store(true)
	return true
}

// mayMove reports whether another target that is no less healthy would take the prompt.
func (r *run) mayMove(from ids.Target, started bool) bool {
	sc := r.d.Fleet.Acquire()
	defer r.d.Fleet.Release(sc)
	req := r.routingRequest(started)
	return r.d.Fleet.MayMove(&req, from, r.tried, sc)
}

// finalError returns the error of a failed request. err is that of its last attempt.
func (r *run) finalError(ctx context.Context, err error) error {
	e := outcome.Of(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e = outcome.Wrap(err, e.Outcome, outcome.CodeDeadline, e.Step, e.Peer, "the request's deadline has passed")
	}
	if e.Outcome == outcome.NotRun && r.mayHaveRun {
		// The last attempt did not run; an earlier one may have.
		e = outcome.Wrap(err, outcome.Unknown, e.Code, e.Step, e.Peer, e.Message).After(e.RetryAfter)
	}
	if e.Outcome == outcome.NotRun && e.RetryAfter == 0 && e.Code != outcome.CodeQuarantined {
		e.RetryAfter = noTargetRetryAfter
	}
	if r.started {
		e = outcome.Wrap(err, outcome.Unknown, outcome.CodeStreamBroken, e.Step, e.Peer, "the response ended before it was complete")
	}
	return e
}

// attempt chooses a target, sends the prompt there and relays the response.
func (r *run) attempt(ctx context.Context) error {
	if refusal := r.guard.Refusal(r.attempts == 0); refusal != nil {
		return refusal
	}
	choice, err := r.decide()
	if err != nil {
		return err
	}
	if refusal := r.guard.RefusalAtSend(r.attempts == 0); refusal != nil {
		return refusal
	}
	r.attempts++
	r.tried = append(r.tried, choice.target.ID)
	r.software = choice.target.Software
	call := &engine.Call{
		Attempt: ids.NewAttempt(), Target: choice.target.ID, Addr: choice.target.Addr,
		Path: r.p.Path, Body: r.p.targetBody(r.text.String()),
	}
	r.d.Fleet.Members.Trying(choice.target.ID, clock.Now())
	r.prior = r.d.Fleet.Cache.Expect(choice.target.ID, r.p.Levels, r.p.Tokens-choice.cached)
	work := r.d.Fleet.Load.Sent(choice.target.ID, r.p.Tokens-choice.cached, clock.Now())
	defer work.End()
	r.d.Events.Record(timeline.Event{Kind: timeline.KindAttempt, Request: r.p.Request, Attempt: call.Attempt, Peer: string(call.Target), Text: "begin"}, nil)
	r.d.Stats.Attempts.Add(1)
	sent := clock.Now()
	r.closedByTarget = false
	err = r.send(ctx, call, choice, work)
	r.reportToGuard(ctx, choice, sent, err)
	r.mayHaveRun = r.mayHaveRun || err != nil && outcome.Of(err).Outcome != outcome.NotRun
	r.recordResult(ctx, call, err)
	return err
}

// reportToGuard reports the end of an attempt to the quarantine: the target answered and is live,
// or it closed the connection and may have crashed on the request.
func (r *run) reportToGuard(ctx context.Context, c choice, sent time.Time, err error) {
	var caller *engine.StatusError
	switch {
	case err == nil:
		r.guard.Answered(http.StatusOK)
	case errors.As(err, &caller):
		r.guard.Answered(caller.Status)
	case r.closedByTarget && ctx.Err() == nil && !errors.Is(err, errCallerGone) && r.d.Fleet.Members.State(c.target.ID, clock.Now()) != routing.Leaving:
		r.guard.ReportBroken(quarantine.Send{
			Target: c.target.ID, Addr: c.target.Addr, Incarnation: c.target.Incarnation, Sent: sent, Broke: clock.Now(),
		}, false)
	}
}

// choice is the target of an attempt.
type choice struct {
	target routing.Target
	cached int32 // estimated number of the prompt's tokens in the target's cache
}

// routingRequest returns the prompt as the routing policy sees it.
func (r *run) routingRequest(started bool) routing.Request {
	req := routing.Request{
		Model: r.p.Model, FailureDomain: r.d.Domain, Levels: r.p.Levels, Tokens: r.p.Tokens,
		RecomputeWeight: float32(*r.p.Template.RecomputeWeight), Seed: r.d.Fleet.Seed(),
	}
	if started {
		req.Software = &routing.SoftwareChoice{Version: r.software}
	}
	return req
}

func (r *run) decide() (choice, error) {
	sc := r.d.Fleet.Acquire()
	defer r.d.Fleet.Release(sc)
	req := r.routingRequest(r.started)
	snap, dec := r.d.Fleet.Decide(&req, r.tried, sc)
	rec := routing.NewRecord(r.d.Fleet.PolicyName(), &req, &snap.View, sc.Inputs, &sc.Routing, dec)
	r.d.Events.Record(timeline.Event{Kind: timeline.KindDecision, Request: r.p.Request, Peer: string(rec.Chosen)}, rec)
	if dec.Index < 0 {
		return choice{}, r.noTargetError(&req, snap, sc)
	}
	if r.attempts == 0 && r.d.Gate != nil {
		predicted := time.Duration(float64(dec.PredictedTTFT) * float64(time.Second))
		if refusal := r.d.Gate.Check(r.p.Workspace, r.p.Template.Priority, r.p.Tokens, predicted); refusal != nil {
			return choice{}, refusal
		}
	}
	return choice{target: snap.View.Targets[dec.Index], cached: dec.Cached}, nil
}

// noTargetRetryAfter is the shortest time after which a caller may retry if no target
// can take the request. It is also the default for other requests that did not run,
// except quarantined ones.
const noTargetRetryAfter = 2 * time.Second

func (r *run) noTargetError(req *routing.Request, snap *fleet.Snapshot, sc *fleet.Scratch) error {
	if sc.Routing.Filtered[routing.WrongModel] == len(sc.Inputs) {
		return outcome.New(outcome.NotRun, outcome.CodeUnknownModel, "route", "", "no target serves model "+string(r.p.Model))
	}
	return outcome.New(outcome.NotRun, outcome.CodeNoTarget, "route", "", "no target can take the request now").After(r.d.Fleet.RetryAfter(req, snap, sc, noTargetRetryAfter))
}

// recordResult records the end of an attempt in membership and the timeline.
func (r *run) recordResult(ctx context.Context, call *engine.Call, err error) {
	ev := timeline.Event{Kind: timeline.KindAttemptEnd, Request: r.p.Request, Attempt: call.Attempt, Peer: string(call.Target), Text: "whole"}
	defer func() { r.d.Events.Record(ev, nil) }()
	if err == nil {
		r.d.Fleet.Members.Succeeded(call.Target)
		return
	}
	e := outcome.Of(err)
	ev.Text = e.Outcome.String() + " at " + e.Step + ": " + e.Message
	var refusal *engine.Refusal
	var caller *engine.StatusError
	switch {
	case errors.As(err, &refusal):
		r.d.Fleet.ApplySignals(call.Target, refusal.Incarnation, refusal.Signals(), clock.Now())
	case errors.As(err, &caller) && e.Outcome == outcome.Ran:
		r.d.Fleet.Members.Succeeded(call.Target)
	case ctx.Err() == context.Canceled:
		// The caller has disconnected, so this does not count against the target.
	default:
		r.d.Fleet.Members.Failed(call.Target, clock.Now())
		r.d.Fleet.MarkDirty()
	}
}

// observeUsage updates the cache view, the load view and the statistics with the usage
// of a response. It does not update the cache view if the attempt may be a
// continuation, whose prompt also holds the delivered text.
func (r *run) observeUsage(call *engine.Call, a *engine.Response, u engine.Usage) {
	generation := cacheview.GenerationOf(a.Incarnation, a.Weights)
	if r.text.Len() == 0 || r.attempts == 1 {
		r.d.Fleet.Cache.ApplyResponse(call.Target, generation, r.p.Levels, r.prior, u.Details.CachedTokens)
	}
	r.d.Fleet.Load.ObserveResponse(u.PromptTokens, u.Details.CachedTokens)
	r.d.Stats.PromptTokens.Add(int64(u.PromptTokens))
	r.d.Stats.CachedTokens.Add(int64(u.Details.CachedTokens))
	r.d.Stats.OutputTokens.Add(int64(u.CompletionTokens))
}
