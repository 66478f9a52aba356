package platformlab

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// CrashRule selects the requests that crash a replica and sets how the crash happens.
type CrashRule struct {
	Body string // prefix of the bodies that crash the replica; empty: none
	// Parts are parts of prompts, by their ids, of which each crashes the replica. The last part of a prompt does not count.
	Parts []string
	// Workspace limits the rule to the requests of one workspace; empty: all workspaces.
	Workspace       string
	Delay           time.Duration // from the request's arrival to the crash
	PartialResponse bool          // send the response header and one event before the crash
	Piece           bool          // send the response header and a piece of an event before the crash
	// OnCrash, if set, is called once, after a request has crashed the replica.
	OnCrash func(r *Replica)
}

func (f *CrashRule) matches(workspace, prompt, body string) bool {
	if f == nil || f.Workspace != "" && f.Workspace != workspace {
		return false
	}
	return f.Body != "" && strings.HasPrefix(body, f.Body) || f.matchesPart(prompt)
}

// matchesPart reports whether a prompt, in the form ID:TOKENS,..., holds one of the parts.
func (f *CrashRule) matchesPart(prompt string) bool {
	parts := strings.Split(prompt, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); slices.Contains(f.Parts, id) {
			return true
		}
	}
	return false
}

// crashDuring crashes the replica while it runs req. The crash also ends all other requests
// that the replica is running.
func (r *Replica) crashDuring(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	if r.CrashOn.PartialResponse {
		_, _ = fmt.Fprintf(w, "id: 1\ndata: piece 1 of %s\n\n", req.Header.Get("X-Request-Id")) // a write error does not matter before a crash
		_ = http.NewResponseController(w).Flush()
	}
	if r.CrashOn.Piece {
		_, _ = fmt.Fprint(w, "id: 1\nda")
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(r.CrashOn.Delay)
	r.Crash()
	if !r.ended.Swap(true) && r.CrashOn.OnCrash != nil {
		r.CrashOn.OnCrash(r)
	}
	panic(http.ErrAbortHandler)
}
