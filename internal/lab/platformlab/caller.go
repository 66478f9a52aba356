package platformlab

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Call is one request as the platform's callers send it.
type Call struct {
	ID       string
	Host     string
	Path     string
	Key      string // empty: none
	Body     string
	Deadline time.Duration
	Model    string // set: it has a prompt of Parts, ID:TOKENS each
	Tokens   int
	Parts    []string
}

// mostOutput is how many tokens a prompt's answer may have, at most.
const mostOutput = 50

// Request renders the call for the VM at base, such as http://127.0.0.1:7001.
func (c Call) Request(ctx context.Context, base string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // nothing may send it again behind the caller's back
	req.Host = c.Host
	req.Header.Set("X-Request-Id", c.ID)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.Key != "" {
		req.Header.Set("Api-Key", c.Key)
	}
	if c.Model != "" {
		req.Header.Set("X-Model", c.Model)
		req.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", c.Tokens, mostOutput))
		req.Header.Set("X-Prompt-Prefix", strings.Join(c.Parts, ","))
	}
	return req, nil
}

// Signed tells whether an answer bears a replica's signature.
func Signed(resp *http.Response) bool { return resp.Header.Get("X-Response-Signature") != "" }

// Fail answers a request with a failure, signed as a replica does.
func Fail(w http.ResponseWriter) {
	w.Header().Set("X-Response-Signature", "failed")
	w.WriteHeader(http.StatusInternalServerError)
}
