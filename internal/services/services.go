// Package services runs calls of plain services. A call that may not be repeated
// is claimed before its first byte goes out and is sent at most once; only an
// attempt that certainly did not run is followed by another.
package services

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/claims"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/upstream"
)

// HeaderIdempotencyKey is the caller's name for a call, passed on to targets.
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	maxAttempts   = 3
	maxAnswerBody = 512 << 10 // leaves room for a claim in one stored object
	maxHeaders    = 32 << 10
	settleTimeout = 3 * time.Second
	retryNoTarget = time.Second
)

// Call is one call of a plain service.
type Call struct {
	Request     ids.Request
	Workspace   ids.Workspace
	Template    config.Service
	Method      string
	Path        string // behind the service's name, with query
	ContentType string
	Body        []byte
	Key         string

	guarded quarantine.Call
}

// Runner runs service calls. Safe for concurrent use.
type Runner struct {
	Fleet  *fleet.Fleet
	Ledger *claims.Ledger
	Events *timeline.Log
	Budget *retry.Budget
	// Guard keeps calls that crash targets from further ones. Nil: none are.
	Guard  *quarantine.Guard
	Domain ids.FailureDomain
	http   *http.Client
}

// Init makes the runner's client. Every call gets a connection of its own: a
// pooled one may be closing just as a call is written to it, and net/http then
// sends a request that carries an Idempotency-Key again by itself.
func (r *Runner) Init(dialTimeout time.Duration) {
	r.http = &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaders,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run runs a call and returns its answer. The error is an *outcome.Error whose
// outcome is that of the call, not of the last attempt alone.
func (r *Runner) Run(ctx context.Context, c *Call) (*claims.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Template.Deadline.D())
	defer cancel()
	r.Budget.Deposit()
	c.guarded = r.Guard.Call(c.Request, quarantine.Request{Workspace: c.Workspace, Method: c.Method, URI: c.Template.Service + c.Path, Body: c.Body})
	if refusal := c.guarded.Refusal(true); refusal != nil {
		return nil, refusal // before it is claimed: it will not run
	}
	if c.Template.Repeatable {
		return r.repeatable(ctx, c)
	}
	return r.once(ctx, c)
}

// repeatable tries targets until one answers.
func (r *Runner) repeatable(ctx context.Context, c *Call) (*claims.Response, error) {
	var tried []ids.Target
	mayRan := false
	for {
		a, target, err := r.try(ctx, c, ids.NewAttempt(), tried)
		tried = append(tried, target)
		if err == nil {
			return a, nil
		}
		e := outcome.Of(err)
		if mayRan = mayRan || e.Outcome != outcome.NotRun; mayRan && e.Outcome == outcome.NotRun {
			// The last attempt did not run; an earlier one may have.
			e = outcome.Wrap(err, outcome.Unknown, e.Code, e.Step, e.Peer, e.Message).After(e.RetryAfter)
		}
		if len(tried) >= maxAttempts || target == "" || ctx.Err() != nil || c.guarded.Refusal(false) != nil || !r.Budget.Withdraw() {
			return nil, e
		}
	}
}

// once claims the call and sends it at most once per attempt that is not known
// to have been refused.
func (r *Runner) once(ctx context.Context, c *Call) (*claims.Response, error) {
	keyTime := claims.KeyTime(c.Key)
	if claims.Expired(keyTime, time.Now(), c.Template.ClaimRetention.D()) {
		return nil, outcome.New(outcome.NotRun, outcome.CodeKeyExpired, "claim", "", "this idempotency key is older than its template allows, or from the future")
	}
	deadline, _ := ctx.Deadline()
	held, err := r.Ledger.Claim(ctx, claims.Call{
		Workspace: c.Workspace, Key: c.Key, Deadline: deadline, KeyTime: keyTime,
		BodyHash: claims.HashCall(c.Method, c.Template.Service+c.Path, c.Body),
	})
	var ran *claims.AlreadyRan
	if errors.As(err, &ran) {
		r.record(c, "", "claim", "ran before; the recorded answer is given")
		return &ran.Response, nil
	}
	if err != nil {
		r.record(c, "", "claim", err.Error())
		return nil, err
	}
	r.record(c, held.Attempt, "claim", "held")
	// From here on the call goes on without its caller, who may have lost the
	// connection and will ask again: the answer must be there to be given.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	a, err := r.sendHeld(ctx, c, held)
	r.settle(ctx, c, held, a, err)
	return a, err
}

// sendHeld sends a held attempt. Only a target that certainly did not run the
// call is followed by another, under the same attempt: it is still unused.
func (r *Runner) sendHeld(ctx context.Context, c *Call, held *claims.Held) (*claims.Response, error) {
	var tried []ids.Target
	for {
		a, target, err := r.try(ctx, c, held.Attempt, tried)
		tried = append(tried, target)
		if err == nil {
			return a, nil
		}
		e := outcome.Of(err)
		if e.Outcome != outcome.NotRun || len(tried) >= maxAttempts || target == "" || ctx.Err() != nil || c.guarded.Refusal(false) != nil || !r.Budget.Withdraw() {
			return nil, e
		}
	}
}

func (r *Runner) settle(ctx context.Context, c *Call, held *claims.Held, a *claims.Response, err error) {
	o := outcome.Ran
	if err != nil {
		o = outcome.Of(err).Outcome
	}
	var keep *claims.Response
	if o == outcome.Ran && a != nil {
		keep = &claims.Response{Status: a.Status, ContentType: a.ContentType}
		if c.Template.KeepAnswer {
			keep.Kept, keep.Body = true, a.Body
		}
	}
	// The caller may be gone; the record must be written all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	r.Ledger.Settle(ctx, held, o, keep)
	r.record(c, held.Attempt, "settle", o.String())
}

func (r *Runner) record(c *Call, a ids.Attempt, step, text string) {
	r.Events.Record(timeline.Event{Kind: timeline.KindClaim, Request: c.Request, Attempt: a, Text: step + ": " + text}, nil)
}

// try makes one attempt on one target. The target is empty when none could take
// the call.
func (r *Runner) try(ctx context.Context, c *Call, attempt ids.Attempt, tried []ids.Target) (*claims.Response, ids.Target, error) {
	target, err := r.pick(c, tried)
	if err != nil {
		return nil, "", err
	}
	if refusal := c.guarded.RefusalAtSend(len(tried) == 0); refusal != nil {
		return nil, "", refusal
	}
	r.Fleet.Members.Trying(target.ID, clock.Now())
	work := r.Fleet.Load.Sent(target.ID, 0, clock.Now())
	defer work.End()
	r.Events.Record(timeline.Event{Kind: timeline.KindAttempt, Request: c.Request, Attempt: attempt, Peer: string(target.ID), Text: "begin"}, nil)
	sent := clock.Now()
	a, err := r.send(ctx, c, attempt, target)
	r.guard(ctx, c, target, sent, a, err)
	r.learn(ctx, c, attempt, target.ID, err)
	return a, target.ID, err
}

// guard tells what an attempt says of the request: that a target answered it and lives, or
// that one hung up on it and may have ended.
func (r *Runner) guard(ctx context.Context, c *Call, t routing.Target, sent time.Time, a *claims.Response, err error) {
	switch {
	case err == nil:
		c.guarded.Answered(a.Status)
	case upstream.ClosedByReplica(err) && ctx.Err() == nil && r.Fleet.Members.State(t.ID, clock.Now()) != routing.Leaving:
		c.guarded.ReportBroken(quarantine.Send{Target: t.ID, Addr: t.Addr, Incarnation: t.Incarnation, Sent: sent, Broke: clock.Now()}, false)
	}
}

func (r *Runner) pick(c *Call, tried []ids.Target) (routing.Target, error) {
	sc := r.Fleet.Acquire()
	defer r.Fleet.Release(sc)
	req := routing.Request{Service: c.Template.Service, FailureDomain: r.Domain, Seed: r.Fleet.Seed()}
	snap, d := r.Fleet.Decide(&req, tried, sc)
	if d.Index < 0 {
		return routing.Target{}, outcome.New(outcome.NotRun, outcome.CodeNoTarget, "route", "", "no replica of the service can take the call now").After(r.Fleet.RetryAfter(&req, snap, sc, retryNoTarget))
	}
	return snap.View.Targets[d.Index], nil
}

func (r *Runner) send(ctx context.Context, c *Call, attempt ids.Attempt, t routing.Target) (*claims.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+t.Addr+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "build", string(t.ID), "the call's path is not valid")
	}
	req.GetBody = nil
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	req.Header.Set(engine.HeaderRequestID, string(attempt))
	if c.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, c.Key)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(engine.HeaderDeadline, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, engine.SendError(err, t.ID)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp, attempt, t.ID)
}

func readAnswer(resp *http.Response, attempt ids.Attempt, t ids.Target) (*claims.Response, error) {
	if resp.Header.Get(engine.HeaderOutcome) == outcome.NotRun.String() {
		return nil, outcome.Wrap(engine.ReadRefusal(resp), outcome.NotRun, outcome.CodeUpstream, "answer", string(t), "the target refused the call")
	}
	if echo := resp.Header.Get(engine.HeaderAttempt); echo != "" && echo != string(attempt) {
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "answer", string(t), "the target sent the answer of another call")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBody+1))
	if err == nil && len(body) > maxAnswerBody {
		err = eris.New("the answer is too large")
	}
	if err != nil {
		return nil, outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", string(t), "the target's answer is not whole")
	}
	// A 5xx without the target's word says nothing about whether the call ran.
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "answer", string(t), "the target failed with status "+strconv.Itoa(resp.StatusCode))
	}
	return &claims.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Kept: true}, nil
}

func (r *Runner) learn(ctx context.Context, c *Call, attempt ids.Attempt, t ids.Target, err error) {
	ev := timeline.Event{Kind: timeline.KindAttemptEnd, Request: c.Request, Attempt: attempt, Peer: string(t), Text: "whole"}
	var refusal *engine.Refusal
	switch {
	case err == nil:
		r.Fleet.Members.Succeeded(t)
	case errors.As(err, &refusal) && (refusal.Leaving || refusal.Rest > 0):
		r.Fleet.ApplySignals(t, refusal.Incarnation, refusal.Signals(), clock.Now())
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller left; this says nothing about the target.
	default: // also when the call's time ran out on it
		r.Fleet.Members.Failed(t, clock.Now())
		r.Fleet.MarkDirty()
	}
	if err != nil {
		e := outcome.Of(err)
		ev.Text = e.Outcome.String() + " at " + e.Step + ": " + e.Message
	}
	r.Events.Record(ev, nil)
}
