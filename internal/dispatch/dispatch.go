// Package dispatch runs a prompt on targets: decide, send, relay, and on a
// failure retry, resume or continue, within budgets and the request's deadline.
//
// A prompt may run twice, since it changes nothing outside the engine; what the
// caller gets may not. So after a failure:
//
//   - before anything was delivered, another target is tried;
//   - later, the same life of the same target is asked to resume behind the last
//     event delivered;
//   - if it can't, and the template allows it, another target continues from the
//     delivered text;
//   - otherwise the stream ends with an error event, never as if complete.
package dispatch

import (
	"context"
	"errors"
	"net/http"
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

// Sink takes the answer on the caller's side.
type Sink interface {
	// Start is called once, before the first event, with the target that answers.
	Start(t ids.Target)
	// Event passes on one event's data. An error means that the caller is gone.
	Event(data []byte) error
	// Flush sends what Event has gathered.
	Flush() error
	// Response passes on an answer that is not streamed.
	Response(t ids.Target, body []byte) error
}

// Limits bound a request's attempts.
const (
	maxAttempts = 4
	maxResumes  = 2
)

// Dispatcher runs prompts. Safe for concurrent use.
type Dispatcher struct {
	Fleet  *fleet.Fleet
	Engine *engine.Client
	Events *timeline.Log
	Budget *retry.Budget
	Gate   Gate
	// Guard keeps prompts that crash targets from further ones. Nil: none are.
	Guard       *quarantine.Guard
	VM          ids.VM
	Domain      ids.FailureDomain
	IdleTimeout time.Duration // longest silence of a target within an answer
	Stats       *Stats
}

// Gate refuses a request that would wait too long. Implemented by package
// admission.
type Gate interface {
	// Check returns a refusal, or nil when the request may go on with this
	// predicted wait.
	Check(ws ids.Workspace, priority int, tokens int32, predicted time.Duration) *outcome.Error
}

// run is the state of one request.
type run struct {
	d        *Dispatcher
	p        *Prompt
	sink     Sink
	tried    []ids.Target
	attempts int
	started  bool // something was delivered
	mayRan   bool // an attempt ended in another way than not-run
	guarded  quarantine.Call
	hungUp   bool // the current attempt's target ended its connection
	text     deliveredText
	prior    cacheview.Prior // of the current attempt's target
}

// Run runs a prompt and delivers its answer to sink. A nil error means that the
// whole answer was delivered. The error is an *outcome.Error otherwise.
func (d *Dispatcher) Run(ctx context.Context, p *Prompt, sink Sink) error {
	ctx, cancel := context.WithTimeout(ctx, p.Template.Deadline.D())
	defer cancel()
	d.Budget.Deposit()
	r := &run{d: d, p: p, sink: sink}
	r.guarded = d.Guard.Call(p.Request, quarantine.Request{Workspace: p.Workspace, Method: http.MethodPost, URI: p.Path, Body: p.body})
	for {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		if !r.mayRetry(ctx, err) {
			return r.final(ctx, err)
		}
	}
}

// mayRetry decides whether another target is tried after a failed attempt.
func (r *run) mayRetry(ctx context.Context, err error) bool {
	e := outcome.Of(err)
	var caller *engine.CallerError
	switch {
	case ctx.Err() != nil, r.attempts >= maxAttempts:
		return false
	case e.Code == outcome.CodeNoTarget, e.Code == outcome.CodeOverloaded, e.Step == quarantine.Step:
		return false
	case r.guarded.Refusal(false) != nil:
		return false // this attempt's crash may have been the last that it took
	case errors.As(err, &caller) && e.Outcome == outcome.Ran:
		return false
	case r.started && !r.p.Template.Continue:
		return false
	case !r.d.Budget.Withdraw():
		r.d.Stats.BudgetEmpty.Add(1)
		return false
	}
	r.d.Stats.Retries.Add(1)
	r.d.Events.Record(timeline.Event{Kind: timeline.KindAttempt, Request: r.p.Request, Peer: e.Peer, Text: "retry after " + e.Step + ": " + e.Message}, nil)
	return true
}

// final types the end of a request that failed.
func (r *run) final(ctx context.Context, err error) error {
	e := outcome.Of(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e = outcome.Wrap(err, e.Outcome, outcome.CodeDeadline, e.Step, e.Peer, "the request's time is over")
	}
	if e.Outcome == outcome.NotRun && r.mayRan {
		// The last attempt did not run; an earlier one may have.
		e = outcome.Wrap(err, outcome.Unknown, e.Code, e.Step, e.Peer, e.Message).After(e.RetryAfter)
	}
	if e.Outcome == outcome.NotRun && e.RetryAfter == 0 && e.Code != outcome.CodeQuarantined {
		e.RetryAfter = retryNoTarget
	}
	if r.started {
		e = outcome.Wrap(err, outcome.Unknown, outcome.CodeStreamBroken, e.Step, e.Peer, "the answer broke off and is not whole")
	}
	return e
}

// attempt is one try: decide, send, relay.
func (r *run) attempt(ctx context.Context) error {
	if refusal := r.guarded.Refusal(r.attempts == 0); refusal != nil {
		return refusal
	}
	choice, err := r.decide()
	if err != nil {
		return err
	}
	if refusal := r.guarded.RefusalAtSend(r.attempts == 0); refusal != nil {
		return refusal
	}
	r.attempts++
	r.tried = append(r.tried, choice.target.ID)
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
	r.hungUp = false
	err = r.send(ctx, call, choice, work)
	r.guard(ctx, choice, sent, err)
	r.mayRan = r.mayRan || err != nil && outcome.Of(err).Outcome != outcome.NotRun
	r.learn(ctx, call, err)
	return err
}

// guard tells what an attempt says of the request: that a target answered it and lives, or
// that one hung up on it and may have ended.
func (r *run) guard(ctx context.Context, c choice, sent time.Time, err error) {
	var caller *engine.CallerError
	switch {
	case err == nil:
		r.guarded.Answered(http.StatusOK)
	case errors.As(err, &caller):
		r.guarded.Answered(caller.Status)
	case r.hungUp && ctx.Err() == nil && !errors.Is(err, errCallerGone) && r.d.Fleet.Members.State(c.target.ID, clock.Now()) != routing.Leaving:
		r.guarded.ReportBroken(quarantine.Send{
			Target: c.target.ID, Addr: c.target.Addr, Incarnation: c.target.Incarnation, Sent: sent, Broke: clock.Now(),
		}, false)
	}
}

// choice is a decided target.
type choice struct {
	target routing.Target
	cached int32
}

func (r *run) decide() (choice, error) {
	sc := r.d.Fleet.Acquire()
	defer r.d.Fleet.Release(sc)
	req := routing.Request{
		Model: r.p.Model, FailureDomain: r.d.Domain, Levels: r.p.Levels, Tokens: r.p.Tokens,
		RecomputeWeight: float32(*r.p.Template.RecomputeWeight), Seed: r.d.Fleet.Seed(),
	}
	snap, dec := r.d.Fleet.Decide(&req, r.tried, sc)
	rec := routing.NewRecord(r.d.Fleet.PolicyName(), &req, &snap.View, sc.Inputs, &sc.Routing, dec)
	r.d.Events.Record(timeline.Event{Kind: timeline.KindDecision, Request: r.p.Request, Peer: string(rec.Chosen)}, rec)
	if dec.Index < 0 {
		return choice{}, r.noTarget(&req, snap, sc)
	}
	if r.attempts == 0 && r.d.Gate != nil {
		predicted := time.Duration(float64(dec.PredictedTTFT) * float64(time.Second))
		if refusal := r.d.Gate.Check(r.p.Workspace, r.p.Template.Priority, r.p.Tokens, predicted); refusal != nil {
			return choice{}, refusal
		}
	}
	return choice{target: snap.View.Targets[dec.Index], cached: dec.Cached}, nil
}

// retryNoTarget is when a caller should come back when no target serves.
const retryNoTarget = 2 * time.Second

func (r *run) noTarget(req *routing.Request, snap *fleet.Snapshot, sc *fleet.Scratch) error {
	if sc.Routing.Filtered[routing.WrongModel] == len(sc.Inputs) {
		return outcome.New(outcome.NotRun, outcome.CodeUnknownModel, "route", "", "no target serves model "+string(r.p.Model))
	}
	return outcome.New(outcome.NotRun, outcome.CodeNoTarget, "route", "", "no target can take the request now").After(r.d.Fleet.RetryAfter(req, snap, sc, retryNoTarget))
}

// learn feeds the end of an attempt back into membership and the time line.
func (r *run) learn(ctx context.Context, call *engine.Call, err error) {
	ev := timeline.Event{Kind: timeline.KindAttemptEnd, Request: r.p.Request, Attempt: call.Attempt, Peer: string(call.Target), Text: "whole"}
	defer func() { r.d.Events.Record(ev, nil) }()
	if err == nil {
		r.d.Fleet.Members.Succeeded(call.Target)
		return
	}
	e := outcome.Of(err)
	ev.Text = e.Outcome.String() + " at " + e.Step + ": " + e.Message
	var refusal *engine.Refusal
	var caller *engine.CallerError
	switch {
	case errors.As(err, &refusal):
		r.d.Fleet.ApplySignals(call.Target, refusal.Incarnation, refusal.Signals(), clock.Now())
	case errors.As(err, &caller) && e.Outcome == outcome.Ran:
		r.d.Fleet.Members.Succeeded(call.Target)
	case ctx.Err() == context.Canceled:
		// The caller left; this says nothing about the target.
	default:
		r.d.Fleet.Members.Failed(call.Target, clock.Now())
		r.d.Fleet.MarkDirty()
	}
}

// answered corrects the cache picture by an answer's usage.
func (r *run) answered(call *engine.Call, a *engine.Response, u engine.Usage) {
	life := cacheview.GenerationOf(a.Incarnation, a.Weights)
	if r.text.Len() == 0 || r.attempts == 1 {
		r.d.Fleet.Cache.ApplyResponse(call.Target, life, r.p.Levels, r.prior, u.Details.CachedTokens)
	}
	r.d.Fleet.Load.ObserveResponse(u.PromptTokens, u.Details.CachedTokens)
	r.d.Stats.PromptTokens.Add(int64(u.PromptTokens))
	r.d.Stats.CachedTokens.Add(int64(u.Details.CachedTokens))
	r.d.Stats.OutputTokens.Add(int64(u.CompletionTokens))
}
