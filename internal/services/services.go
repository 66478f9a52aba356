// Package services runs calls of plain services, that is, services other than model
// engines. A call that must not run twice is claimed (see package claims) before its
// first byte is sent, and is sent again only after an attempt that certainly did not run.
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
	"github.com/threadwall/threadwall/internal/httphead"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/intake"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/upstream"
)

// HeaderIdempotencyKey carries the caller's idempotency key. It is forwarded to targets.
const HeaderIdempotencyKey = "Idempotency-Key"

const (
	maxAttempts        = 3
	maxResponseBody    = 512 << 10 // bytes; leaves room for the rest of a claim in one stored object
	maxHeaders         = 32 << 10  // bytes, of a response
	settleTimeout      = 3 * time.Second
	noTargetRetryAfter = time.Second // shortest time after which a caller may retry
)

// Call is one call of a plain service.
type Call struct {
	Request     ids.Request
	Workspace   ids.Workspace
	Template    config.Service
	Method      string
	Path        string // the part after the service's name, with the query
	ContentType string
	Body        []byte
	Key         string // idempotency key; may be empty if Template.Repeatable is set

	guard quarantine.Call
}

// Runner runs service calls. It is safe for concurrent use after Init.
type Runner struct {
	Fleet  *fleet.Fleet
	Ledger *claims.Ledger
	Events *timeline.Log
	Budget *retry.Budget
	// Guard quarantines calls that crash targets. If nil, no call is quarantined.
	Guard  *quarantine.Guard
	Domain ids.FailureDomain
	// Memory is what the responses that are read at a time may hold together; nil: they have no common bound.
	Memory *intake.Account
	http   *http.Client
}

// Init creates the HTTP client. Every call gets a new connection: the target may close a
// pooled one while a call is written to it, and net/http then resends a request that
// carries an Idempotency-Key by itself.
func (r *Runner) Init(dialTimeout time.Duration) {
	r.http = &http.Client{
		Transport: httphead.Transport(&http.Transport{
			DialContext:            sockets.ClientDial((&net.Dialer{Timeout: dialTimeout}).DialContext),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaders,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run runs a call and returns its response, or the recorded response if the call ran
// before. The error is an *outcome.Error with the outcome of the whole call, not of the
// last attempt alone. A claimed call continues up to its deadline even if ctx is
// cancelled.
func (r *Runner) Run(ctx context.Context, c *Call) (*claims.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Template.Deadline.D())
	defer cancel()
	r.Budget.Deposit()
	c.guard = r.Guard.Call(c.Request, quarantine.Request{Workspace: c.Workspace, Method: c.Method, URI: c.Template.Service + c.Path, Body: [][]byte{c.Body}})
	if refusal := c.guard.Refusal(true); refusal != nil {
		return nil, refusal // before the claim, since the call will not run
	}
	if c.Template.Repeatable {
		return r.runRepeatable(ctx, c)
	}
	return r.runOnce(ctx, c)
}

// runRepeatable runs a call that may run more than once. It tries up to maxAttempts
// targets until one responds.
func (r *Runner) runRepeatable(ctx context.Context, c *Call) (*claims.Response, error) {
	var tried []ids.Target
	mayHaveRun := false
	for {
		a, target, err := r.try(ctx, c, ids.NewAttempt(), tried)
		tried = append(tried, target)
		if err == nil {
			return a, nil
		}
		e := outcome.Of(err)
		if mayHaveRun = mayHaveRun || e.Outcome != outcome.NotRun; mayHaveRun && e.Outcome == outcome.NotRun {
			// The last attempt did not run; an earlier one may have.
			e = outcome.Wrap(err, outcome.Unknown, e.Code, e.Step, e.Peer, e.Message).After(e.RetryAfter)
		}
		if len(tried) >= maxAttempts || target == "" || ctx.Err() != nil || c.guard.Refusal(false) != nil || !r.Budget.Withdraw() {
			return nil, e
		}
	}
}

// runOnce claims the call, sends it and settles the claim. If the call ran before,
// runOnce returns the recorded response.
func (r *Runner) runOnce(ctx context.Context, c *Call) (*claims.Response, error) {
	keyTime := claims.KeyTime(c.Key)
	if claims.Expired(keyTime, time.Now(), c.Template.ClaimRetention.D()) {
		return nil, outcome.New(outcome.NotRun, outcome.CodeKeyExpired, "claim", "", "the idempotency key's time is in the future or beyond the claim retention of its template")
	}
	deadline, _ := ctx.Deadline()
	held, err := r.Ledger.Claim(ctx, claims.Call{
		Workspace: c.Workspace, Key: c.Key, Deadline: deadline, KeyTime: keyTime,
		BodyHash: claims.HashCall(c.Method, c.Template.Service+c.Path, c.Body),
	})
	var ran *claims.AlreadyRan
	if errors.As(err, &ran) {
		r.recordClaim(c, "", "claim", "ran before; returning the recorded response")
		return &ran.Response, nil
	}
	if err != nil {
		r.recordClaim(c, "", "claim", err.Error())
		return nil, err
	}
	r.recordClaim(c, held.Attempt, "claim", "held")
	// From here on the call continues even if its caller disconnects: a caller that has
	// lost the connection will retry, and the response must then be on record.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	a, err := r.sendHeld(ctx, c, held)
	r.settle(ctx, c, held, a, err)
	return a, err
}

// sendHeld sends a claimed call. It tries another target only if the last one certainly
// did not run the call. It then uses the same attempt id, under which nothing has run.
func (r *Runner) sendHeld(ctx context.Context, c *Call, held *claims.Held) (*claims.Response, error) {
	var tried []ids.Target
	for {
		a, target, err := r.try(ctx, c, held.Attempt, tried)
		tried = append(tried, target)
		if err == nil {
			return a, nil
		}
		e := outcome.Of(err)
		if e.Outcome != outcome.NotRun || len(tried) >= maxAttempts || target == "" || ctx.Err() != nil || c.guard.Refusal(false) != nil || !r.Budget.Withdraw() {
			return nil, e
		}
	}
}

// settle records in the claim how the call ended, with the target's response if the call
// ran. It records the body only if the template says so.
func (r *Runner) settle(ctx context.Context, c *Call, held *claims.Held, a *claims.Response, err error) {
	o := outcome.Ran
	if err != nil {
		o = outcome.Of(err).Outcome
	}
	var recorded *claims.Response
	if o == outcome.Ran && a != nil {
		recorded = &claims.Response{Status: a.Status, ContentType: a.ContentType}
		if c.Template.KeepAnswer {
			recorded.Kept, recorded.Body = true, a.Body
		}
	}
	// The claim must be settled even if the call's deadline has passed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	r.Ledger.Settle(ctx, held, o, recorded)
	r.recordClaim(c, held.Attempt, "settle", o.String())
}

func (r *Runner) recordClaim(c *Call, a ids.Attempt, step, text string) {
	r.Events.Record(timeline.Event{Kind: timeline.KindClaim, Request: c.Request, Attempt: a, Text: step + ": " + text}, nil)
}

// try sends the call to one target. The returned target is empty if none was available
// or the call is quarantined.
func (r *Runner) try(ctx context.Context, c *Call, attempt ids.Attempt, tried []ids.Target) (*claims.Response, ids.Target, error) {
	target, err := r.pick(c, tried)
	if err != nil {
		return nil, "", err
	}
	if refusal := c.guard.RefusalAtSend(len(tried) == 0); refusal != nil {
		return nil, "", refusal
	}
	r.Fleet.Members.Trying(target.ID, clock.Now())
	work := r.Fleet.Load.Sent(target.ID, 0, clock.Now())
	defer work.End()
	r.Events.Record(timeline.Event{Kind: timeline.KindAttempt, Request: c.Request, Attempt: attempt, Peer: string(target.ID), Text: "begin"}, nil)
	sent := clock.Now()
	a, err := r.send(ctx, c, attempt, target)
	r.reportToGuard(ctx, c, target, sent, a, err)
	r.recordResult(ctx, c, attempt, target.ID, err)
	return a, target.ID, err
}

// reportToGuard reports the end of an attempt to the quarantine: the target answered and is live,
// or it closed the connection and may have crashed on the call.
func (r *Runner) reportToGuard(ctx context.Context, c *Call, t routing.Target, sent time.Time, a *claims.Response, err error) {
	switch {
	case err == nil:
		c.guard.Answered(a.Status)
	case upstream.ClosedByReplica(err) && ctx.Err() == nil && r.Fleet.Members.State(t.ID, clock.Now()) != routing.Leaving:
		c.guard.ReportBroken(quarantine.Send{Target: t.ID, Addr: t.Addr, Incarnation: t.Incarnation, Sent: sent, Broke: clock.Now()}, false)
	}
}

func (r *Runner) pick(c *Call, tried []ids.Target) (routing.Target, error) {
	sc := r.Fleet.Acquire()
	defer r.Fleet.Release(sc)
	req := routing.Request{Service: c.Template.Service, FailureDomain: r.Domain, Seed: r.Fleet.Seed()}
	snap, d := r.Fleet.Decide(&req, tried, sc)
	if d.Index < 0 {
		return routing.Target{}, outcome.New(outcome.NotRun, outcome.CodeNoTarget, "route", "", "no replica of the service can take the call now").After(r.Fleet.RetryAfter(&req, snap, sc, noTargetRetryAfter))
	}
	return snap.View.Targets[d.Index], nil
}

func (r *Runner) send(ctx context.Context, c *Call, attempt ids.Attempt, t routing.Target) (*claims.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+t.Addr+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "build", string(t.ID), "the call's path is not valid")
	}
	req.GetBody = nil // so that net/http can't resend the body by itself
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
	share := r.Memory.Share(cancel)
	defer func() { _ = share.Set(0) }() // fails only if the share was evicted
	body := &intake.CountedReader{From: resp.Body, Share: share, Factor: engine.WholeFactor}
	return readResponse(resp, body, attempt, t.ID)
}

func readResponse(resp *http.Response, from io.Reader, attempt ids.Attempt, t ids.Target) (*claims.Response, error) {
	if resp.Header.Get(engine.HeaderOutcome) == outcome.NotRun.String() {
		return nil, outcome.Wrap(engine.ReadRefusal(resp), outcome.NotRun, outcome.CodeUpstream, "answer", string(t), "the target refused the call")
	}
	if echo := resp.Header.Get(engine.HeaderAttempt); echo != "" && echo != string(attempt) {
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "answer", string(t), "the target sent the response to another request")
	}
	body, err := io.ReadAll(io.LimitReader(from, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		err = eris.New("the response is larger than 512 KiB")
	}
	if err != nil {
		return nil, outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", string(t), "the target's response is incomplete or invalid")
	}
	// A 5xx status without an outcome header does not show whether the call ran.
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "answer", string(t), "the target failed with status "+strconv.Itoa(resp.StatusCode))
	}
	return &claims.Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, Kept: true}, nil
}

func (r *Runner) recordResult(ctx context.Context, c *Call, attempt ids.Attempt, t ids.Target, err error) {
	ev := timeline.Event{Kind: timeline.KindAttemptEnd, Request: c.Request, Attempt: attempt, Peer: string(t), Text: "whole"}
	var refusal *engine.Refusal
	switch {
	case err == nil:
		r.Fleet.Members.Succeeded(t)
	case errors.As(err, &refusal) && (refusal.Leaving || refusal.Rest > 0):
		r.Fleet.ApplySignals(t, refusal.Incarnation, refusal.Signals(), clock.Now())
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has disconnected, so this does not count against the target.
	default: // also if the call's deadline passed during the attempt
		r.Fleet.Members.Failed(t, clock.Now())
		r.Fleet.MarkDirty()
	}
	if err != nil {
		e := outcome.Of(err)
		ev.Text = e.Outcome.String() + " at " + e.Step + ": " + e.Message
	}
	r.Events.Record(ev, nil)
}
