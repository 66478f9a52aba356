package platformlab

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Fatal says which requests crash a replica, and how.
type Fatal struct {
	Body string // requests whose bodies begin so; empty: none
	// Workspace is whose requests these are; empty: anybody's.
	Workspace string
	Work      time.Duration // until the crash
	Part      bool          // the head of the answer and a part of it come first
	// Crashed is called when the replica has ended.
	Crashed func(r *Replica)
}

func (f *Fatal) hits(workspace, body string) bool {
	return f != nil && f.Body != "" && strings.HasPrefix(body, f.Body) && (f.Workspace == "" || f.Workspace == workspace)
}

// crashUnder ends the replica while it runs a request, and all else that runs there.
func (r *Replica) crashUnder(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	if r.Fatal.Part {
		_, _ = fmt.Fprintf(w, "id: 1\ndata: piece 1 of %s\n\n", req.Header.Get("X-Request-Id")) // it ends anyway
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(r.Fatal.Work)
	r.Crash()
	if !r.ended.Swap(true) && r.Fatal.Crashed != nil {
		r.Fatal.Crashed(r)
	}
	panic(http.ErrAbortHandler)
}
