package forward

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/upstream"
)

// hopHeaders concern one connection only and are not passed on (RFC 9110, 7.6.1).
// The body's length is stated anew on each side.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopHeaders removes the headers of one connection, those that it names itself
// included.
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

// lowestPriority is the least urgent rank that replicas know.
const lowestPriority = 9

// priority is the call's rank: its workspace's, or else its route's.
func priority(route *catalog.Route, ws *catalog.Workspace) int {
	p := route.Priority
	if ws != nil && ws.Priority != nil {
		p = *ws.Priority
	}
	return min(max(p, 0), lowestPriority)
}

// request renders the call as it goes to the replica.
func (t *try) request() *upstream.Request {
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
	return &upstream.Request{
		Method: r.req.Method, URI: r.req.RequestURI, Host: r.req.Host, Header: h, Body: r.body, Mine: r.isOwnAnswer, Before: t.recheckSend,
	}
}

// isOwnAnswer tells whether an answer belongs to the call. A refusal may come without
// naming the request; a success must name it.
func (r *run) isOwnAnswer(status int, h http.Header) bool {
	reply := r.f.Dialect.ReadReply(status, h)
	if reply.Request == "" {
		return status >= http.StatusMultipleChoices
	}
	return reply.Request == r.call.ID
}

// writeHead passes an answer's head on. length is that of its body; negative: not
// known.
func (r *run) writeHead(a *upstream.Answer, length int) {
	r.begun, r.status = true, a.Status
	out := r.w.Header()
	in := maps.Clone(a.Header)
	removeHopHeaders(in)
	maps.Copy(out, in)
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // none is to be guessed
	}
	if _, ok := out["Date"]; !ok {
		out["Date"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	r.closeIfDraining()
	r.w.WriteHeader(a.Status)
}
