// Package engine speaks to model engines: the OpenAI-compatible protocol, and
// the headers and calls that docs/TARGETS.md lists.
//
// Every failure is typed by outcome here, where it is known how far the call
// got. A call is NotRun only if the connection was never made or the target
// itself said so; anything else that fails is Unknown.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/retry"
)

// Headers between threadwall and targets.
const (
	HeaderRequestID   = "X-Request-Id"       // the attempt; the answer's id is made from it
	HeaderAttempt     = "X-Attempt"          // echoed by the target
	HeaderIncarnation = "X-Incarnation"      // of the target
	HeaderWeights     = "X-Weights-Version"  // of the target
	HeaderOutcome     = "X-Outcome"          // "not-run" when the target refused the call
	HeaderLeaving     = "X-Leaving"          // "true" when it refused because it is leaving
	HeaderDeadline    = "X-Deadline-Ms"      // what is left of the request's time
	ResponseIDPrefix  = "chatcmpl-"          // of an answer's id, before the attempt
	PathResume        = "/v1/resume"         // POST {attempt, after}
	PathLoad          = "/load"              // GET
	PathEvents        = "/cache/events"      // GET ?after=&wait=
	headerNotRun      = "not-run"            // value of HeaderOutcome
	maxWholeAnswer    = 8 << 20              // bytes of an answer that is not streamed
	maxErrorBody      = 4 << 10              // bytes of an error answer kept
	contentTypeJSON   = "application/json"   // of requests
	contentTypeEvents = "text/event-stream"  // of streamed answers
	errorPeerRefused  = "the target refused" // message
	errorPeerFailed   = "the target failed"  // message
	errorPeerAway     = "no connection to the target"
)

// Call is one attempt.
type Call struct {
	Attempt ids.Attempt
	Target  ids.Target
	Addr    string
	Path    string // e.g. "/v1/chat/completions"
	Body    []byte
}

// Client speaks to engines. Safe for concurrent use.
type Client struct{ http *http.Client }

// Limits of connections to one engine.
const (
	idleConnsPerEngine = 64
	idleConnTimeout    = 90 * time.Second
)

// NewClient returns a client whose dials are bounded by dialTimeout.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnsPerEngine,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Response is the start of a target's answer. Body must be closed.
type Response struct {
	Incarnation ids.Incarnation
	Weights     ids.WeightsVersion
	Body        io.ReadCloser
}

// Refusal is a target's word that it did not run a call.
type Refusal struct {
	Leaving     bool
	Rest        time.Duration // it wants nothing from this VM for so long; zero: it does not say
	Incarnation ids.Incarnation
	Status      int
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("refused with status %d", r.Status) }

// CallerError is a target's word that the caller's request is at fault; another
// target would say the same.
type CallerError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *CallerError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Start sends a call and returns the answer's start.
func (c *Client) Start(ctx context.Context, call *Call) (*Response, error) {
	return c.post(ctx, call, call.Path, call.Body)
}

// Resume asks the target for the events of an attempt after a number.
func (c *Client) Resume(ctx context.Context, call *Call, after uint64) (*Response, error) {
	body, err := json.Marshal(struct {
		Attempt ids.Attempt `json:"attempt"`
		After   uint64      `json:"after"`
	}{call.Attempt, after})
	if err != nil {
		return nil, eris.Wrap(err, "encode resume")
	}
	return c.post(ctx, call, PathResume, body)
}

func (c *Client) post(ctx context.Context, call *Call, path string, body []byte) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeUpstream, "build", string(call.Target), errorPeerAway)
	}
	req.GetBody = nil // no retry behind our back
	req.Header.Set("Content-Type", contentTypeJSON)
	req.Header.Set(HeaderRequestID, string(call.Attempt))
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, SendError(err, call.Target)
	}
	return readAnswer(resp, call)
}

// SendError types a failure to send a call: NotRun if the connection was never
// made, Unknown otherwise.
func SendError(err error, t ids.Target) *outcome.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.Wrap(err, outcome.NotRun, outcome.CodeUpstream, "dial", string(t), errorPeerAway)
	}
	return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "send", string(t), errorPeerFailed)
}

func readAnswer(resp *http.Response, call *Call) (*Response, error) {
	a := &Response{
		Incarnation: incarnationOf(resp.Header),
		Weights:     ids.WeightsVersion(resp.Header.Get(HeaderWeights)),
		Body:        resp.Body,
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, statusError(resp, a, call)
	}
	if echo := resp.Header.Get(HeaderAttempt); echo != "" && echo != string(call.Attempt) {
		_ = resp.Body.Close()
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "answer", string(call.Target), "the target sent the answer of another request")
	}
	return a, nil
}

func statusError(resp *http.Response, a *Response, call *Call) error {
	peer := string(call.Target)
	if resp.Header.Get(HeaderOutcome) == headerNotRun {
		cause := ReadRefusal(resp)
		return outcome.Wrap(cause, outcome.NotRun, outcome.CodeUpstream, "answer", peer, errorPeerRefused)
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	cause := &CallerError{Status: resp.StatusCode, Body: body}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return outcome.Wrap(cause, outcome.Ran, outcome.CodeBadRequest, "answer", peer, "the target says that the request is at fault")
	}
	return outcome.Wrap(cause, outcome.Unknown, outcome.CodeUpstream, "answer", peer, errorPeerFailed)
}

// Signals are what the target says of itself. Leaving holds for one incarnation, so it counts
// only where the target names its own.
func (r *Refusal) Signals() membership.Signals {
	return membership.Signals{Leaving: r.Leaving && r.Incarnation != 0, Rest: r.Rest}
}

// ReadRefusal reads what an answer says of its target that says that the call did not run.
func ReadRefusal(resp *http.Response) *Refusal {
	return &Refusal{
		Leaving: resp.Header.Get(HeaderLeaving) == "true", Rest: retry.After(resp.Header),
		Incarnation: incarnationOf(resp.Header), Status: resp.StatusCode,
	}
}

func incarnationOf(h http.Header) ids.Incarnation {
	n, _ := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	return ids.Incarnation(n)
}

// ReadFull reads an answer that is not streamed. A body that ends early, or one
// of another attempt, is an error.
func ReadFull(a *Response, call *Call) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWholeAnswer+1))
	if err == nil && len(body) > maxWholeAnswer {
		err = eris.New("the answer is too large")
	}
	if err == nil && !json.Valid(body) {
		err = eris.New("the answer is cut off or no JSON")
	}
	if err == nil && !bytes.Contains(body, []byte(call.Attempt)) {
		err = eris.New("the answer is that of another request")
	}
	if err == nil && !bytes.Contains(body, []byte(`"finish_reason"`)) {
		err = eris.New("the answer has no finish reason")
	}
	if err != nil {
		return nil, outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", string(call.Target), "the target's answer is not whole")
	}
	return body, nil
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int32 `json:"prompt_tokens"`
	CompletionTokens int32 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int32 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// UsageOf returns the usage in a chunk or whole answer, if there is one.
func UsageOf(data []byte) (Usage, bool) {
	if !bytes.Contains(data, []byte(`"usage":{`)) {
		return Usage{}, false
	}
	var body struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &body) != nil || body.Usage == nil {
		return Usage{}, false
	}
	return *body.Usage, true
}
