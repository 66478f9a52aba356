package forward

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/upstream"
)

// hopHeaders are hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1). Each
// side sets its own Content-Length.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopHeaders removes hop-by-hop headers, including those that the Connection header lists.
func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// lowestPriority is the least urgent priority that replicas accept.
const lowestPriority = 9

// priority returns the priority of the workspace, or that of the route if the workspace has none.
func priority(route *catalog.Route, ws *catalog.Workspace) int {
	p := route.Priority
	if ws != nil && ws.Priority != nil {
		p = *ws.Priority
	}
	return min(max(p, 0), lowestPriority)
}

// request builds the request to the replica.
func (t *attempt) request() *upstream.Request {
	r := t.r
	h := maps.Clone(r.req.Header)
	removeHopHeaders(h)
	s := Send{
		Call: &r.call, Replica: t.c.target.ID, Remaining: max(clock.Until(r.ends), time.Millisecond),
		Priority: priority(r.route, r.workspace), LastEvent: r.stream.resumeFrom(&r.call),
		Weights: t.c.target.Weights, Salt: t.c.salt, Fetch: t.c.fetch, Save: t.c.save,
	}
	if r.workspace != nil {
		s.Workspace = r.workspace.Name
	}
	r.f.Dialect.WriteSend(h, &s)
	body := r.body
	body.Hold()
	return &upstream.Request{
		Method: r.req.Method, URI: r.req.RequestURI, Host: r.req.Host, Header: h, Body: body.Segments(), BodyRead: body.Release, Matches: r.isOwnResponse,
		BeforeWrite: func() *outcome.Error {
			r.f.Dialect.WriteRemaining(h, max(clock.Until(r.ends), time.Millisecond)) // connecting may have taken long
			return t.recheckSend()
		},
	}
}

// isOwnResponse reports whether a response belongs to the call. A success must name the request; a
// refusal may omit it.
func (r *run) isOwnResponse(status int, h http.Header) bool {
	reply := r.f.Dialect.ReadReply(status, h)
	if reply.Request == "" {
		return status >= http.StatusMultipleChoices
	}
	return reply.Request == r.call.ID
}

// writeHead sends the head of a response to the caller. length is the body's length in bytes;
// negative means unknown.
func (r *run) writeHead(a *upstream.Response, length int) {
	r.begun, r.status = true, a.Status
	a.PinHead()
	out := r.w.Header()
	in := maps.Clone(a.Header)
	removeHopHeaders(in)
	maps.Copy(out, in)
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // nil keeps net/http from guessing one
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	r.closeIfDraining()
	r.w.WriteHeader(a.Status)
	r.releaseSentBody()
}
