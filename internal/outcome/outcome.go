// Package outcome types what became of an attempt or a request.
//
// The three outcomes are kept apart from HTTP statuses on purpose: a status can
// be produced by a target that ran the call, by one that refused it, and by a
// broken connection in between. Only code that knows which of these happened
// may choose an Outcome:
//
//   - NotRun: no byte of the call can have reached a target, or the target
//     itself said that it did not run it. Safe to run elsewhere.
//   - Ran: the target answered the call.
//   - Unknown: the call may have run. A call that may not be repeated is never
//     run again after Unknown.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is the fate of an attempt or request.
type Outcome uint8

// The outcomes. The zero value is Unknown: code that forgets to decide never
// claims more than is known.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the form used in answers, logs and the time line.
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

// Code is a stable, machine-readable reason that callers see.
type Code string

// Codes that callers can meet. README and docs/OPERATIONS.md list them.
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
	CodeQuarantined     Code = "quarantined" // targets crashed while they ran the same request
)

// Error is a failed request or attempt. It carries the step and the peer at
// which the failure arose and what became of the call.
type Error struct {
	Outcome    Outcome
	Code       Code
	Step       string        // e.g. "admit", "claim", "dial", "relay"
	Peer       string        // target, VM or store; empty if the VM itself
	Message    string        // for the caller, one sentence
	RetryAfter time.Duration // zero: no advice
	cause      error
}

// New returns an Error with a stack of its origin.
func New(o Outcome, code Code, step, peer, message string) *Error {
	return &Error{Outcome: o, Code: code, Step: step, Peer: peer, Message: message}
}

// Wrap returns an Error that keeps cause for logs.
func Wrap(cause error, o Outcome, code Code, step, peer, message string) *Error {
	e := New(o, code, step, peer, message)
	e.cause = eris.Wrapf(cause, "%s at %s", step, peer)
	return e
}

// After sets when the caller should come back and returns e.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns err as *Error. An error of another type is reported as Unknown,
// the only outcome that is always true.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Unknown, CodeOutcomeUnknown, "unclassified", "", "the request failed in an unexpected way")
}
