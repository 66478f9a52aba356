package gateway

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/timeline"
)

// errorBody is an error of the OpenAI-compatible API, with the request's id and outcome
// added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string       `json:"message"`
	Type      string       `json:"type"`
	Code      outcome.Code `json:"code"`
	Param     *string      `json:"param"`
	Outcome   string       `json:"outcome"`
	RequestID ids.Request  `json:"request_id"`
}

// statuses maps codes to HTTP statuses. A status implies no outcome: HeaderOutcome and
// the error body state it.
var statuses = map[outcome.Code]int{
	outcome.CodeInvalidKey:      http.StatusUnauthorized,
	outcome.CodeBadRequest:      http.StatusBadRequest,
	outcome.CodeUnknownModel:    http.StatusNotFound,
	outcome.CodeUnknownTemplate: http.StatusNotFound,
	outcome.CodeUnknownService:  http.StatusNotFound,
	outcome.CodeParameter:       http.StatusBadRequest,
	outcome.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	outcome.CodeNoTarget:        http.StatusServiceUnavailable,
	outcome.CodeOverloaded:      http.StatusServiceUnavailable,
	outcome.CodeRateLimited:     http.StatusTooManyRequests,
	outcome.CodeDeadline:        http.StatusGatewayTimeout,
	outcome.CodeUpstream:        http.StatusBadGateway,
	outcome.CodeStreamBroken:    http.StatusBadGateway,
	outcome.CodeStoreDown:       http.StatusServiceUnavailable,
	outcome.CodeKeyReused:       http.StatusUnprocessableEntity,
	outcome.CodeKeyRequired:     http.StatusBadRequest,
	outcome.CodeKeyExpired:      http.StatusUnprocessableEntity,
	outcome.CodeInProgress:      http.StatusConflict,
	outcome.CodeOutcomeUnknown:  http.StatusConflict,
	outcome.CodeNotReady:        http.StatusServiceUnavailable,
	outcome.CodeQuarantined:     http.StatusUnprocessableEntity, // clients do not retry this status
}

func (g *Gateway) setHeaders(c *gin.Context, req ids.Request, o outcome.Outcome) {
	h := c.Writer.Header()
	h.Set(HeaderRequestID, string(req))
	h.Set(HeaderOutcome, o.String())
	h.Set(HeaderVM, string(g.VM))
	g.closeIfDraining(c)
}

// fail responds with an error and aborts the request. If the head of a response was
// already written, it only records the error.
func (g *Gateway) fail(c *gin.Context, req ids.Request, e *outcome.Error) {
	g.recordRefusal(req, e)
	c.Abort()
	if c.Writer.Written() {
		return
	}
	g.setHeaders(c, req, e.Outcome)
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		c.Header("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	c.JSON(statusOf(e), errorBodyOf(req, e))
}

func statusOf(e *outcome.Error) int {
	if status, ok := statuses[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func errorBodyOf(req ids.Request, e *outcome.Error) errorBody {
	kind := "invalid_request_error"
	if statusOf(e) >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorBody{Error: errorDetail{
		Message: e.Message + targetDetail(e), Type: kind, Code: e.Code, Outcome: e.Outcome.String(), RequestID: req,
	}}
}

// targetDetail returns what a target reported about an invalid request.
func targetDetail(e *outcome.Error) string {
	var ce *engine.StatusError
	if e.Outcome != outcome.Ran || !errors.As(e, &ce) {
		return ""
	}
	var body errorBody
	if json.Unmarshal(ce.Body, &body) == nil && body.Error.Message != "" {
		return ": " + body.Error.Message
	}
	return ": " + string(ce.Body)
}

func (g *Gateway) recordRefusal(req ids.Request, e *outcome.Error) {
	g.Refused.Add(1)
	g.Log.Info().Str("request", string(req)).Str("step", e.Step).Str("peer", e.Peer).
		Str("code", string(e.Code)).Str("outcome", e.Outcome.String()).Err(e.Unwrap()).Msg(e.Message)
	g.Events.Record(timeline.Event{
		Kind: timeline.KindRefusal, Request: req, Peer: e.Peer,
		Text: string(e.Code) + " " + e.Outcome.String() + " at " + e.Step + ": " + e.Message,
	}, nil)
}

// sink writes a model's response to the caller.
type sink struct {
	g       *Gateway
	c       *gin.Context
	ctl     *http.ResponseController
	request ids.Request
	started bool
	number  uint64 // of the last event, zero if there was none
	buf     []byte // events not yet flushed

	deadlineSet time.Time // when the write deadline was last extended
}

// writeTimeout bounds a write to a caller that does not read. Flush extends the write
// deadline only if a quarter of this time has passed since it last did, so a write gets
// 45 to 60 s.
const writeTimeout = 60 * time.Second

// complete sets the trailer of a complete stream.
func (s *sink) complete() {
	if s.number > 0 {
		s.c.Writer.Header().Set(HeaderOutcome, outcome.Ran.String())
	}
}

// Start implements dispatch.Sink.
func (s *sink) Start(t ids.Target) {
	s.started = true
	h := s.c.Writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderTarget, string(t))
	// The outcome is known only at the end, so it is sent as a trailer and, if the
	// stream fails, in its last event.
	h.Set("Trailer", HeaderOutcome)
	h.Set(HeaderRequestID, string(s.request))
	h.Set(HeaderVM, string(s.g.VM))
	s.g.closeIfDraining(s.c)
	s.c.Writer.WriteHeader(http.StatusOK)
}

// Event implements dispatch.Sink. Events are numbered from 1.
func (s *sink) Event(data []byte) error {
	s.number++
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendUint(s.buf, s.number, 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\n"...)
	return nil
}

// Flush implements dispatch.Sink.
func (s *sink) Flush() error {
	if len(s.buf) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(s.deadlineSet) > writeTimeout/4 {
		s.deadlineSet = now
		_ = s.ctl.SetWriteDeadline(now.Add(writeTimeout))
	}
	_, err := s.c.Writer.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return s.ctl.Flush()
}

// Response implements dispatch.Sink.
func (s *sink) Response(t ids.Target, body []byte) error {
	s.started = true
	s.g.setHeaders(s.c, s.request, outcome.Ran)
	s.c.Header(HeaderTarget, string(t))
	s.c.Data(http.StatusOK, "application/json", body)
	return nil
}

// fail ends the response with an error: with a status if nothing was sent, with an
// error event if the stream had begun. In the second case fail sends no [DONE] and panics with
// http.ErrAbortHandler, which closes the connection, so that no reader takes the stream
// for complete.
func (s *sink) fail(e *outcome.Error) {
	if !s.started {
		s.g.fail(s.c, s.request, e)
		return
	}
	s.g.Broken.Add(1)
	s.g.recordRefusal(s.request, e)
	_ = s.Flush()
	s.c.Writer.Header().Set(HeaderOutcome, e.Outcome.String())
	body, _ := json.Marshal(errorBodyOf(s.request, e))
	s.buf = append(s.buf, "event: error\ndata: "...)
	s.buf = append(s.buf, body...)
	s.buf = append(s.buf, "\n\n"...)
	_, _ = s.c.Writer.Write(s.buf)
	_ = s.ctl.Flush()
	panic(http.ErrAbortHandler)
}
