package forward

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/upstream"
)

// plainDialect is a Dialect with short header names.
type plainDialect struct{}

func (plainDialect) ReadCall(h http.Header) (Call, error) {
	c := Call{ID: ids.Request(h.Get("Id")), Key: h.Get("Key"), LastEvent: h.Get("After")}
	if v := h.Get("Deadline"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return c, err
		}
		c.Deadline = d
	}
	if m := h.Get("Model"); m != "" {
		c.Prompt = &Prompt{Model: ids.Model(m), Tokens: 1000, Parts: []kvcache.Part{{ID: "p1", Tokens: 800}, {ID: "own", Tokens: 200}}}
	}
	return c, nil
}

func (plainDialect) WriteSend(h http.Header, s *Send) {
	for _, name := range []string{"Key", "Deadline", "After", "Workspace", "Salt"} {
		h.Del(name)
	}
	h.Set("Deadline", s.Remaining.String())
	h.Set("Replica", string(s.Replica))
	h.Set("Workspace", string(s.Workspace))
	h.Set("Salt", s.Salt)
	if s.LastEvent != "" {
		h.Set("After", s.LastEvent)
	}
}

func (plainDialect) WriteRemaining(h http.Header, remaining time.Duration) {
	h.Set("Deadline", remaining.String())
}

func (plainDialect) ReadReply(status int, h http.Header) Reply {
	rest, _ := time.ParseDuration(h.Get("Rest")) // zero if the header is missing
	return Reply{
		Signals: membership.Signals{Rest: rest, Leaving: h.Get("Leaving") != ""},
		Request: ids.Request(h.Get("Id")), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Mismatch: status == http.StatusMisdirectedRequest, Replica: ids.Target(h.Get("By")),
	}
}

// fakeReplica is a replica whose responses are scripted.
type fakeReplica struct {
	id   ids.Target
	addr string
	// respond is called for each request; it returns false to close the connection. Set it
	// before the first request.
	respond  func(c net.Conn, r *http.Request) bool
	stop     func() // closes the listener
	mu       sync.Mutex
	received []*http.Request
	digests  []string // of the bodies
}

func (s *fakeReplica) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

// newFakeReplica starts a replica that calls respond for each request. respond returns false to
// close the connection.
func newFakeReplica(t *testing.T, id ids.Target, respond func(c net.Conn, r *http.Request) bool) *fakeReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeReplica{id: id, addr: l.Addr().String(), respond: respond, stop: func() { _ = l.Close() }}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *fakeReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		digest := sha256.New()
		_, _ = io.Copy(digest, r.Body)
		s.mu.Lock()
		s.received = append(s.received, r)
		s.digests = append(s.digests, hex.EncodeToString(digest.Sum(nil)))
		s.mu.Unlock()
		if !s.respond(c, r) {
			return
		}
	}
}

// ok responds with a signed success.
func ok(body string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
		return true
	}
}

func status(code int, headers ...string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", code, r.Header.Get("Id"), strings.Join(headers, ""))
		return true
	}
}

// respondHead responds with a head that starts with the given text and has no body.
func respondHead(head string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "%sId: %s\r\nContent-Length: 0\r\n\r\n", head, r.Header.Get("Id"))
		return true
	}
}

// hangUp reads the request and closes the connection.
func hangUp(net.Conn, *http.Request) bool { return false }

const signed, notRun = "Signed: yes\r\n", "Not-Run: yes\r\n"

type noWeights struct{}

func (noWeights) Wanted(ids.Model, time.Time) (ids.WeightsVersion, time.Duration, []routing.WeightsBound) {
	return "", 0, nil
}

func (noWeights) Left(ids.Model, ids.WeightsVersion, time.Time) (time.Duration, bool) {
	return 0, false
}

// testFleet is a forwarder and the URL of its test server.
type testFleet struct {
	f   *Forwarder
	url string
}

// route returns a route of the given kind to the service "svc".
func route(kind catalog.Kind, attempts int) catalog.Route {
	return catalog.Route{
		Name: "r", Host: "h.example", PathPrefix: "/", Kind: kind, Attempts: attempts, Timeout: 2 * time.Second,
		Objective: 200 * time.Millisecond, MaxEventGap: 100 * time.Millisecond,
		Split: []catalog.Share{{Service: "svc", Weight: 1}}, Resumable: kind == catalog.Stream && attempts > 1, Public: true,
	}
}

// records returns the platform's list of the replicas.
func records(replicas ...*fakeReplica) (out []platform.Record) {
	for _, s := range replicas {
		out = append(out, platform.Record{ID: string(s.id), Role: platform.RoleService, Service: "svc", Addr: s.addr, Incarnation: 1})
	}
	return out
}

func newFleet(t *testing.T, r catalog.Route, replicas ...*fakeReplica) *testFleet {
	t.Helper()
	tuning := membership.DefaultTuning
	tuning.Grace = time.Hour
	fl := fleet.New(membership.New("vm", tuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), nil)
	fl.Members.ApplyPlatform(records(replicas...), time.Now())
	fl.Refresh()
	budgets := retry.NewServiceBudgets("vm", 1, 100, time.Second, 0, nil)
	budgets.EntryCreated(1)
	budgets.SetList(retry.List{VMs: []ids.VM{"vm"}, Revision: 1, Sent: time.Now(), OwnEntry: 1})
	f := &Forwarder{
		Catalog: &catalog.Current{}, Fleet: fl, Upstream: upstream.NewClient(2 * time.Second), Dialect: plainDialect{},
		Budgets: budgets, KV: &Planner{Cache: fl.Cache}, Weights: noWeights{},
		ObserveWeights: func(ids.Target, ids.WeightsVersion) {}, Tuning: Tuning{MaxInFlight: 100},
	}
	f.Bodies.SetLimit(1 << 20)
	f.Catalog.Adopt(catalog.New(catalog.Declaration{Version: 1, Routes: []catalog.Route{r}}))
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return &testFleet{f: f, url: srv.URL}
}

var callNumber atomic.Int64

// ask makes one call and returns its response with the body. The error is not nil only if the
// connection fails.
func (tf *testFleet) ask(t *testing.T, headers ...string) (*http.Response, string, error) {
	t.Helper()
	resp, err := tf.begin(t, headers...)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// begin makes one call and returns its response as soon as the head has arrived.
func (tf *testFleet) begin(t *testing.T, headers ...string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tf.url+"/x?q=1", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Id", fmt.Sprint("c", callNumber.Add(1)))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultTransport.RoundTrip(req)
}
