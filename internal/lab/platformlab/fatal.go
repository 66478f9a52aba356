package platformlab

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// CrashRule says which requests crash a replica, and how.
type CrashRule struct {
	Body string // requests whose bodies begin so; empty: none
	// Workspace is whose requests these are; empty: anybody's.
	Workspace       string
	Delay           time.Duration // until the crash
	PartialResponse bool          // the head of the answer and a part of it come first
	// OnCrash is called when the replica has ended.
	OnCrash func(r *Replica)
}

func (f *CrashRule) hits(workspace, body string) bool {
	return f != nil && f.Body != "" && strings.HasPrefix(body, f.Body) && (f.Workspace == "" || f.Workspace == workspace)
}

// crashUnder ends the replica while it runs a request, and all else that runs there.
func (r *Replica) crashUnder(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	if r.CrashOn.PartialResponse {
		_, _ = fmt.Fprintf(w, "id: 1\ndata: piece 1 of %s\n\n", req.Header.Get("X-Request-Id")) // it ends anyway
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(r.CrashOn.Delay)
	r.Crash()
	if !r.ended.Swap(true) && r.CrashOn.OnCrash != nil {
		r.CrashOn.OnCrash(r)
	}
	panic(http.ErrAbortHandler)
}
