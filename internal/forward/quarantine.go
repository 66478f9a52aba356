package forward

import (
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
)

// print returns the call's fingerprint, which its repeats share.
func (r *run) print() quarantine.Fingerprint {
	if r.fingerprint == nil {
		request := quarantine.Request{Method: r.req.Method, Host: r.req.Host, URI: r.req.RequestURI, Body: r.body}
		if r.workspace != nil {
			request.Workspace = r.workspace.Name
		}
		p := request.Fingerprint()
		r.fingerprint = &p
	}
	return *r.fingerprint
}

// suspect names the request in the log of an attempt that may have run; empty for others.
func (r *run) suspect(err *outcome.Error) string {
	if err.Outcome == outcome.NotRun {
		return ""
	}
	return r.print().String()
}
