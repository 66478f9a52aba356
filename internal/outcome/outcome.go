// Package outcome defines the outcomes and errors of requests and of their attempts.
//
// Outcomes are separate from HTTP statuses: the same status can come from a target that ran
// the call, from a target that refused it, or from a connection that broke in between. Only
// code that knows which of these happened may choose an Outcome:
//
//   - NotRun: no byte of the call can have reached a target, or the target reported that it did
//     not run the call. It is safe to run the call elsewhere.
//   - Ran: the target answered the call.
//   - Unknown: the call may have run. After Unknown, a call that must not be repeated is never
//     sent again.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome states whether an attempt or a request ran at a target.
type Outcome uint8

// The outcomes. The zero value is Unknown, so that code which sets no outcome claims nothing.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the form used in responses, logs and the timeline.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Code is a stable, machine-readable reason of a failure, sent to callers.
type Code string

// Codes sent to callers. README and docs/OPERATIONS.md list them.
const (
	CodeInvalidKey      Code = "invalid_api_key"
	CodeBadRequest      Code = "invalid_request"
	CodeUnknownModel    Code = "model_not_found"
	CodeUnknownTemplate Code = "template_not_found"
	CodeUnknownService  Code = "service_not_found"
	CodeParameter       Code = "invalid_parameter"
	CodeTooLarge        Code = "request_too_large"
	CodeNoTarget        Code = "no_target"
	CodeOverloaded      Code = "overloaded"
	CodeRateLimited     Code = "rate_limited"
	CodeDeadline        Code = "deadline_exceeded"
	CodeUpstream        Code = "target_failed"
	CodeStreamBroken    Code = "stream_broken"
	CodeStoreDown       Code = "store_unavailable"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeKeyRequired     Code = "idempotency_key_required"
	CodeKeyExpired      Code = "idempotency_key_expired"
	CodeInProgress      Code = "request_in_progress"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeNotReady        Code = "not_ready"
	CodeQuarantined     Code = "quarantined" // targets crashed while running the same request
)

// Error describes a failed request or attempt: the outcome, and the step and the peer at which
// the failure occurred.
type Error struct {
	Outcome    Outcome
	Code       Code
	Step       string        // for example "admit", "claim", "dial", "relay"
	Peer       string        // target, VM or store; empty: this VM
	Message    string        // one sentence for the caller
	RetryAfter time.Duration // delay before a retry; zero: unspecified
	cause      error
}

// New returns an Error without a cause.
func New(o Outcome, code Code, step, peer, message string) *Error {
	return &Error{Outcome: o, Code: code, Step: step, Peer: peer, Message: message}
}

// Wrap returns an Error that keeps cause, with a stack trace, for logs.
func Wrap(cause error, o Outcome, code Code, step, peer, message string) *Error {
	e := New(o, code, step, peer, message)
	e.cause = eris.Wrapf(cause, "%s at %s", step, peer)
	return e
}

// After sets the delay before a retry and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s [%s] step=%s", e.Message, e.Outcome, e.Step)
	if e.Peer != "" {
		s += " peer=" + e.Peer
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the *Error in err's chain. It wraps an error without one as Unknown, the only
// outcome that never claims too much.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Unknown, CodeOutcomeUnknown, "unclassified", "", "the request failed in an unexpected way")
}
