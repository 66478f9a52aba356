package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
)

// statusOf returns the HTTP status for a call that failed. 503 and 429 guarantee that the call
// did not run and will not; 502 and 504 guarantee nothing.
func statusOf(e *outcome.Error) int {
	if e.Outcome != outcome.NotRun {
		if e.Code == outcome.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Code {
	case outcome.CodeInvalidKey:
		return http.StatusUnauthorized
	case outcome.CodeUnknownService:
		return http.StatusNotFound
	case outcome.CodeBadRequest, outcome.CodeQuarantined:
		// A retry would fail in the same way, and 503 would invite one.
		return http.StatusBadRequest
	case outcome.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.CodeRateLimited:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes the response of a call that failed before any part of a response was passed on.
func (r *run) refuse(e *outcome.Error) {
	status := statusOf(e)
	if e.Outcome == outcome.NotRun {
		r.f.Stats.Refused.Add(1)
	} else {
		r.f.Stats.Failed.Add(1)
	}
	r.f.Refusals.add(e)
	h := r.w.Header()
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(max(e.RetryAfter, minRetryAfter).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	r.closeIfDraining()
	r.w.WriteHeader(status)
	_, _ = r.w.Write([]byte(e.Message + " (" + e.Outcome.String() + ")\n"))
	r.logEnd(status, e)
}

// minRetryAfter is the shortest Retry-After, so that a caller does not retry while the fault still
// lasts.
const minRetryAfter = 20 * time.Millisecond

// logEnd logs the end of a call and records its latency.
func (r *run) logEnd(status int, e *outcome.Error) {
	took := clock.Since(r.received)
	r.f.Latency.Observe(took)
	line := r.f.Log.Request("end", string(r.call.ID)).Int("status", status).
		Int64("ms", took.Milliseconds()).Int("attempts", r.attempts)
	if r.route != nil {
		line = line.Str("route", r.route.Name).Str("kind", r.route.Kind.String())
	}
	if r.catalog != nil {
		line = line.Uint64("catalog", r.catalog.Version).Int64("proof_age_ms", r.proofAge.Milliseconds())
	}
	if r.via != "" {
		line = line.Str("via", string(r.via))
	}
	if p := r.guard.FingerprintText(); p != "" {
		line = line.Str("fingerprint", p)
	}
	if p := &r.progress; !p.first.IsZero() {
		line = line.Int64("first_ms", p.first.Sub(r.received).Milliseconds()).Int64("sent_ms", p.sent.Sub(r.received).Milliseconds()).
			Int64("pause_ms", p.maxGap.Milliseconds()).Str("late", r.lateCause().String())
	}
	if e == nil {
		line.Str("outcome", outcome.Ran.String()).Send()
		return
	}
	line.Str("outcome", e.Outcome.String()).Str("code", string(e.Code)).Str("step", e.Step).Str("peer", e.Peer).
		Str("error", e.Error()).Send()
}
