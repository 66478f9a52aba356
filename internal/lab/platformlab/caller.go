package platformlab

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request in the form in which the platform's callers send it.
type Call struct {
	ID       string
	Host     string
	Path     string
	Key      string // API key; empty: none
	Body     string
	Deadline time.Duration // from now, sent in whole milliseconds
	Model    string        // if set, the call carries a prompt for this model
	Tokens   int           // of the prompt
	Parts    []string      // prefix of the prompt, ID:TOKENS each
	// Resumes is the id of the call that brought the first event of the stream that this call takes up after
	// LastEvent. Empty: it begins a stream.
	Resumes   string
	LastEvent int
}

// maxOutputTokens is the output limit that a call with a prompt declares.
const maxOutputTokens = 50

// Request returns the call as an HTTP request to the VM at the base URL, such as
// http://127.0.0.1:7001. The transport cannot retry it.
func (c Call) Request(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // stops the transport from retrying the request on another connection
	req.Host = c.Host
	req.Header.Set("X-Request-Id", c.ID)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.Key != "" {
		req.Header.Set("Api-Key", c.Key)
	}
	if c.Resumes != "" {
		req.Header.Set("Resumes", c.Resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.LastEvent))
	}
	if c.Model != "" {
		req.Header.Set("X-Model", c.Model)
		req.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", c.Tokens, maxOutputTokens))
		req.Header.Set("X-Prompt-Prefix", strings.Join(c.Parts, ","))
	}
	return req, nil
}

// Fields returns the call's fields as lines of a head, for clients that write heads themselves.
func (c Call) Fields() []string {
	return []string{"X-Request-Id: " + c.ID, fmt.Sprintf("X-Request-Deadline: %d", c.Deadline.Milliseconds()), "Api-Key: " + c.Key}
}

// Signed reports whether a response carries a replica's signature.
func Signed(resp *http.Response) bool { return resp.Header.Get("X-Response-Signature") != "" }

// Fail responds with status 500 and a signature, as a failing replica does.
func Fail(w http.ResponseWriter) {
	w.Header().Set("X-Response-Signature", "failed")
	w.WriteHeader(http.StatusInternalServerError)
}
