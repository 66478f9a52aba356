// Package engine is the HTTP client for model engines. It implements the
// OpenAI-compatible protocol and the headers and endpoints that docs/TARGETS.md
// lists.
//
// The package assigns an outcome to every failure, since it knows how far a call
// got. A call is NotRun only if the client never connected or the target itself
// reported that it did not run the call. It is Ran if the target rejected the request
// as invalid (4xx). Any other failure is Unknown.
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

	"github.com/threadwall/threadwall/internal/httphead"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/intake"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/sockets"
)

// Headers, paths and limits of the protocol between threadwall and targets, and texts of errors
// that callers see.
const (
	HeaderRequestID   = "X-Request-Id"      // id of the attempt; the response id is derived from it
	HeaderAttempt     = "X-Attempt"         // echoed by the target
	HeaderIncarnation = "X-Incarnation"     // of the target
	HeaderWeights     = "X-Weights-Version" // of the target
	HeaderOutcome     = "X-Outcome"         // "not-run" if the target refused the call
	HeaderLeaving     = "X-Leaving"         // "true" if the target refused because it is leaving
	HeaderDeadline    = "X-Deadline-Ms"     // time left for the request
	ResponseIDPrefix  = "chatcmpl-"         // precedes the attempt in a response id
	PathResume        = "/v1/resume"        // POST {attempt, after}
	PathLoad          = "/load"             // GET
	PathEvents        = "/cache/events"     // GET ?after=&wait=
	outcomeNotRun     = "not-run"           // value of HeaderOutcome
	maxFullResponse   = 8 << 20             // bytes of a response that is not streamed
	maxErrorBody      = 4 << 10             // bytes kept of an error response
	contentTypeJSON   = "application/json"  // of requests
	contentTypeEvents = "text/event-stream" // of streamed responses
	errorRefused      = "the target refused"
	errorFailed       = "the target failed"
	errorNoConnection = "no connection to the target"
)

// Call is one attempt of a request at one target.
type Call struct {
	Attempt ids.Attempt
	Target  ids.Target
	Addr    string
	Path    string // e.g. "/v1/chat/completions"
	Body    []byte
}

// Client sends calls to engines. Safe for concurrent use.
type Client struct {
	// Memory is what the responses under way may hold together until they are used; nil: they have no common bound. It must be set before the
	// first call.
	Memory *intake.Account

	http *http.Client
}

// WholeFactor is what a byte of a response that is read whole costs, in bytes: the body is copied for the caller.
const WholeFactor = 2

// Limits of idle connections to one engine.
const (
	idleConnsPerEngine = 64
	idleConnTimeout    = 90 * time.Second
)

// maxHeadBytes bounds the head of an engine's response, in bytes.
const maxHeadBytes = 64 << 10

// NewClient returns a client that gives up dialing after dialTimeout. It follows no
// redirects.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{http: &http.Client{
		Transport: httphead.Transport(&http.Transport{
			DialContext:            sockets.ClientDial((&net.Dialer{Timeout: dialTimeout}).DialContext),
			MaxIdleConnsPerHost:    idleConnsPerEngine,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Response is a response whose headers have arrived. The caller must close Body.
type Response struct {
	Incarnation ids.Incarnation
	Weights     ids.WeightsVersion
	Body        io.ReadCloser
	in          *intake.Reader // below Body
	whole       *intake.Share  // what is read whole
}

// NewResponse returns a response with the given body, of which a bounded part is read without a use.
func NewResponse(body io.ReadCloser) *Response {
	return newCountedResponse(body, nil, func() {})
}

// newCountedResponse returns a response whose body comes out of an account. cancel ends the call.
func newCountedResponse(body io.ReadCloser, memory *intake.Account, cancel func()) *Response {
	in, whole := intake.NewReader(body), memory.Share(cancel)
	in.Count(memory.Share(cancel))
	return &Response{Body: &countedBody{Reader: in, body: body, in: in, whole: whole, cancel: cancel}, in: in, whole: whole}
}

// countedBody is a body that gives its memory back when it is closed.
type countedBody struct {
	io.Reader
	body   io.Closer
	in     *intake.Reader
	whole  *intake.Share
	cancel func()
}

// Close implements io.Closer.
func (c *countedBody) Close() error {
	err := c.body.Close()
	c.cancel()
	c.in.Close()
	_ = c.whole.Set(0) // fails only if the share was evicted
	return err
}

// Pin states that what was read is being passed on, so that ending the call does not free its memory.
func (r *Response) Pin() { r.in.Pin() }

// Used reports that bytes of the body were used, so that more may be read.
func (r *Response) Used(bytes int) { r.in.Used(bytes) }

// Refusal is the error for a call that the target reported it did not run.
type Refusal struct {
	Leaving     bool
	Rest        time.Duration // backoff that the target asks of this VM; zero if it asks for none
	Incarnation ids.Incarnation
	Status      int
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("refused with status %d", r.Status) }

// StatusError is the error for a response that is neither a success nor a refusal. With
// a 4xx status the caller's request is invalid, and another target would reject it too.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Start sends a call and returns the response once its headers have arrived. Errors are
// of type *outcome.Error.
func (c *Client) Start(ctx context.Context, call *Call) (*Response, error) {
	return c.post(ctx, call, call.Path, call.Body)
}

// Resume asks the target for the events of an attempt that follow event number after.
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

func (c *Client) post(ctx context.Context, call *Call, path string, body []byte) (response *Response, failure error) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		if failure != nil {
			cancel()
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeUpstream, "build", string(call.Target), errorNoConnection)
	}
	req.GetBody = nil // keeps the HTTP transport from retrying the call by itself
	req.Header.Set("Content-Type", contentTypeJSON)
	req.Header.Set(HeaderRequestID, string(call.Attempt))
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, SendError(err, call.Target)
	}
	return readResponse(resp, newCountedResponse(resp.Body, c.Memory, cancel), call)
}

// SendError assigns an outcome to a failure to send a call: NotRun if the client never
// connected, Unknown otherwise.
func SendError(err error, t ids.Target) *outcome.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.Wrap(err, outcome.NotRun, outcome.CodeUpstream, "dial", string(t), errorNoConnection)
	}
	return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "send", string(t), errorFailed)
}

func readResponse(resp *http.Response, r *Response, call *Call) (*Response, error) {
	r.Incarnation = incarnationOf(resp.Header)
	r.Weights = ids.WeightsVersion(resp.Header.Get(HeaderWeights))
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, statusError(resp, r, call)
	}
	if echo := resp.Header.Get(HeaderAttempt); echo != "" && echo != string(call.Attempt) {
		_ = resp.Body.Close()
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "answer", string(call.Target), "the target sent the response to another request")
	}
	return r, nil
}

func statusError(resp *http.Response, r *Response, call *Call) error {
	peer := string(call.Target)
	if resp.Header.Get(HeaderOutcome) == outcomeNotRun {
		cause := ReadRefusal(resp)
		return outcome.Wrap(cause, outcome.NotRun, outcome.CodeUpstream, "answer", peer, errorRefused)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", peer, errorFailed)
	}
	cause := &StatusError{Status: resp.StatusCode, Body: body}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return outcome.Wrap(cause, outcome.Ran, outcome.CodeBadRequest, "answer", peer, "the target rejected the request as invalid")
	}
	return outcome.Wrap(cause, outcome.Unknown, outcome.CodeUpstream, "answer", peer, errorFailed)
}

// Signals returns the state that the target reports about itself. Leaving applies to one
// incarnation, so it counts only if the target names its incarnation.
func (r *Refusal) Signals() membership.Signals {
	return membership.Signals{Leaving: r.Leaving && r.Incarnation != 0, Rest: r.Rest}
}

// ReadRefusal reads the headers of a response to a call that the target did not run.
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

// ReadFull reads the body of a response that is not streamed. A truncated body, or one
// that belongs to another attempt, is an error.
func ReadFull(r *Response, call *Call) ([]byte, error) {
	from := &intake.CountedReader{From: intake.UsedReader{From: r.Body, Used: r.Used}, Share: r.whole, Factor: WholeFactor}
	body, err := io.ReadAll(io.LimitReader(from, maxFullResponse+1))
	r.whole.Pin()
	if err == nil && len(body) > maxFullResponse {
		err = eris.New("the response is larger than 8 MiB")
	}
	if err == nil && !json.Valid(body) {
		err = eris.Errorf("the response is truncated or not JSON: got %d bytes", len(body))
	}
	if err == nil && !bytes.Contains(body, []byte(call.Attempt)) {
		err = eris.Errorf("the response does not contain the attempt's id %s", call.Attempt)
	}
	if err == nil && !bytes.Contains(body, []byte(`"finish_reason"`)) {
		err = eris.New("the response has no finish reason")
	}
	if err != nil {
		return nil, outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", string(call.Target), "the target's response is incomplete or invalid")
	}
	return body, nil
}

// Usage holds the token counts of a response.
type Usage struct {
	PromptTokens     int32 `json:"prompt_tokens"`
	CompletionTokens int32 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int32 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// UsageOf returns the usage in a stream chunk or a full response body; false if there is
// none.
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
