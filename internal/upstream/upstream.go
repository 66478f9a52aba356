// Package upstream sends opaque requests to replicas over persistent HTTP/1.1 connections and
// reports the outcome of each.
//
// It replaces net/http's client because that client retries some requests by itself and does
// not report whether a failed request was written:
//
//   - A request is written once and never replayed here; the caller decides whether to send it
//     again.
//   - A failure is NotRun only if no byte of the request was written. If a persistent connection
//     breaks after the write, the outcome is Unknown.
//   - Connections are pooled by target ID. The caller must call Drop when an incarnation of the
//     target has ended, so that no request is sent over a connection to that incarnation.
//   - What all responses hold comes out of one account (Client.Memory).
//   - The head of a response is at most maxHeadBytes long. Of all that a replica sends, in any form, at most
//     intake.MaxUnused bytes are read of which the caller uses none (Response.Used).
//   - A response that does not belong to the request (late or extra) is discarded, and the next
//     response on the connection is read.
//   - After an exchange, a connection returns to the pool only if the request was written
//     completely, the response was read completely, and no further bytes follow.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/httphead"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/intake"
	"github.com/threadwall/threadwall/internal/links"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Replica is a target and the address of its current incarnation.
type Replica struct {
	ID   ids.Target
	Addr string // ip:port
}

// Request is an outgoing request. It must not change after Send is called: a goroutine may still
// be writing Body when Send returns, until BodyRead is called.
type Request struct {
	Method string
	URI    string // path and query, exactly as the caller sent them
	Host   string
	Header http.Header
	Body   [][]byte // in pieces of any size
	// BodyRead, if set, is called once, when Body is not read any more.
	BodyRead func()
	// Matches reports whether a response belongs to this request. It must be set.
	Matches func(status int, h http.Header) bool
	// BeforeWrite is called right before the first byte is written, since the permission for
	// the request may have expired while the connection was established. If it returns an
	// error, nothing is written. A nil function allows the request.
	BeforeWrite func() *outcome.Error
}

// Client holds the connections to all replicas. Safe for concurrent use.
type Client struct {
	// Links connects to replicas. It must be set before the first Send.
	Links *links.Table
	// Meter counts the bytes of calls; nil disables counting. It must be set before the first
	// Send.
	Meter *traffic.Meter
	// Memory is what all that replicas send may hold together until it is used; nil: it has no bound. It must be set before
	// the first Send.
	Memory *intake.Account
	// Buffers bounds what the kernel may receive for connections with a large buffer; nil: all have one. It must be set before the
	// first Send.
	Buffers *sockets.Buffers

	mu    sync.Mutex
	pools map[ids.Target]*pool

	// Counts of the dials and of the reused connections of Send, of stray responses, those that belong to
	// another request than the one in progress, and of requests sent through peers.
	Dials, Reuses, Strays, Tunneled atomic.Int64
}

// NewClient returns a client without connections that uses this VM's own links only.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{Links: &links.Table{DialTimeout: dialTimeout}, pools: map[ids.Target]*pool{}}
}

// Drop closes the idle connections to a replica whose incarnation has ended. Connections in use
// are closed when their responses end.
func (c *Client) Drop(id ids.Target) {
	c.mu.Lock()
	p := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// pool returns the pool of a replica, and creates it if needed.
func (c *Client) pool(id ids.Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	if p == nil {
		p = &pool{reusable: func(cn *conn) bool { return c.Links.Usable(id, cn.via != "", cn.heard) }}
		c.pools[id] = p
	}
	return p
}

// DropIdle closes the idle connections to all replicas. Connections in use are closed when their
// responses end.
func (c *Client) DropIdle() {
	c.mu.Lock()
	pools := c.pools
	c.pools = map[ids.Target]*pool{}
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Trim closes the connections that have reached their idle time limit: maxIdle, or less if the
// replica announced a shorter idle timeout. now must come from clock.Now.
func (c *Client) Trim(now time.Time) {
	c.mu.Lock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.trim(now)
	}
}

// Send writes a request to a replica and reads the head of its response. The error is an
// *outcome.Error. When ctx ends, the connection is closed, even while the body of the response
// is read, which signals to the replica that the call is cancelled. The head counts as held until then.
func (c *Client) Send(ctx context.Context, to Replica, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, to)
	if err != nil {
		r.bodyRead()
		return nil, err
	}
	if r.BeforeWrite != nil {
		if refusal := r.BeforeWrite(); refusal != nil {
			cn.pool.put(cn, clock.Now())
			r.bodyRead()
			return nil, refusal
		}
	}
	if cn.via != "" {
		c.Tunneled.Add(1)
	}
	first := !cn.used
	resp, err := cn.exchange(ctx, to, r, &c.Strays)
	if err != nil {
		cn.close()
		cn.in.Close()
		if first && cn.via == "" && ClosedByReplica(err) {
			c.Links.Broken(links.Target{ID: to.ID, Addr: to.Addr}, cn.heard)
		}
		return nil, err
	}
	cn.heard = clock.Now()
	if cn.via == "" {
		c.Links.Heard(to.ID)
	}
	return resp, nil
}

// connect reuses an idle connection or dials a new one.
func (c *Client) connect(ctx context.Context, to Replica) (*conn, error) {
	p := c.pool(to.ID)
	if cn := p.take(clock.Now()); cn != nil {
		c.Reuses.Add(1)
		return cn, nil
	}
	c.Dials.Add(1)
	nc, err := c.Links.Connect(ctx, links.Target{ID: to.ID, Addr: to.Addr})
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeUpstream, "dial", string(to.ID), "could not connect to the replica")
	}
	cn := &conn{pool: p, heard: clock.Now(), memory: c.Memory, bufferClosed: func() {}}
	switch raw := nc.(type) {
	case *net.TCPConn:
		cn.bufferClosed = c.Buffers.Limit(raw)
	case tunneled:
		cn.tunnel, cn.via = raw, raw.Via()
	}
	cn.nc = c.Meter.Conn(sockets.ShareErrors(nc), traffic.Requests, traffic.Responses)
	cn.in = intake.NewReader(cn.nc)
	cn.in.Count(c.Memory.Share(cn.close))
	cn.br = bufio.NewReaderSize(cn.in, readBufferSize)
	return cn, nil
}

// tunneled is a connection through a peer.
type tunneled interface {
	Via() ids.VM
	// Alive reports whether the idle connection may carry another request.
	Alive() bool
}

// readBufferSize is the size of the buffered reader of a connection, in bytes. It holds a response
// head and some events; a few hundred connections take a few MB.
const readBufferSize = 8 << 10

// maxHeadBytes bounds the head of a response, in bytes.
const maxHeadBytes = 64 << 10

// conn is one connection to a replica.
type conn struct {
	nc           net.Conn
	br           *bufio.Reader // reads from in
	in           *intake.Reader
	pool         *pool
	tunnel       tunneled  // nil: the connection uses this VM's own link
	via          ids.VM    // of tunnel; empty: none
	heard        time.Time // when the connection was established, or last brought the head of a response
	used         bool      // has carried a request
	idleSince    time.Time
	idleTimeout  time.Duration // announced by the replica; zero: unspecified
	closed       atomic.Bool
	memory       *intake.Account
	bufferClosed func() // gives the room for its receive buffer back
}

// close closes the connection once; further calls do nothing.
func (cn *conn) close() {
	if cn.closed.CompareAndSwap(false, true) {
		_ = cn.nc.Close()
		cn.bufferClosed()
	}
}

// maxStrays is the number of stray responses that are discarded before an exchange fails.
const maxStrays = 2

// maxStrayBytes bounds the body of a response that is discarded.
const maxStrayBytes = 256 << 10

// maxInterim is the number of interim responses (1xx) before an exchange fails: each costs processor time.
const maxInterim = 256

// exchange writes the request and reads responses until one belongs to it.
func (cn *conn) exchange(ctx context.Context, to Replica, r *Request, strays *atomic.Int64) (*Response, error) {
	stop := context.AfterFunc(ctx, cn.close)
	w := cn.write(r)
	reused := cn.used
	cn.used = true
	cn.in.Renew()
	interim := 0
	for stray := 0; ; stray++ {
		cn.in.BeginHead(maxHeadBytes)
		resp, err := httphead.Read(cn.br, r.Method)
		cn.in.EndHead()
		if err == nil && resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				stop()
				return nil, w.failure(ctx, intake.ErrUseless, to)
			}
			stray--
			continue // an interim response (1xx) does not count
		}
		if err != nil {
			stop()
			return nil, w.failure(ctx, err, to)
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			head := cn.memory.Share(cn.close)
			if err := head.Set(headBytes(resp.Header)); err != nil {
				stop()
				return nil, w.failure(ctx, err, to)
			}
			if head.Counted() {
				context.AfterFunc(ctx, func() { _ = head.Set(0) }) // fails only if the share was evicted
			}
			body := &body{conn: cn, resp: resp, write: w, stop: stop}
			return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Reused: reused, Via: cn.via, conn: cn, head: head}, nil
		}
		strays.Add(1)
		n, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes)
		if stray >= maxStrays || !errors.Is(err, io.EOF) || n == maxStrayBytes || resp.Close {
			stop()
			return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "read", string(to.ID), "the replica responded to another request")
		}
	}
}

// headBytes returns what a head holds, in bytes.
func headBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += intake.FieldBytes + len(name) + len(v)
		}
	}
	return int64(n)
}

// requestWrite is the write of one request, in progress or done.
type requestWrite struct {
	done    chan struct{}
	written atomic.Int64 // bytes
	err     error        // valid once done is closed
}

// write sends the request. A long body is sent in a goroutine of its own, since a replica may
// respond before it has read all of it.
func (cn *conn) write(r *Request) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	head := r.head()
	if r.length() <= maxInlineBody {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
		r.bodyRead()
		w.send(cn.nc, head)
		return w
	}
	go func() {
		defer r.bodyRead()
		w.send(cn.nc, append([][]byte{head}, r.Body...)...)
	}()
	return w
}

// length returns the length of the body, in bytes.
func (r *Request) length() int {
	n := 0
	for _, piece := range r.Body {
		n += len(piece)
	}
	return n
}

func (r *Request) bodyRead() {
	if r.BodyRead != nil {
		r.BodyRead()
	}
}

// maxInlineBody is the longest body that is written without a goroutine, in bytes. It fits a
// socket's send buffer, so the write does not block on the replica.
const maxInlineBody = 16 << 10

func (w *requestWrite) send(to io.Writer, parts ...[]byte) {
	defer close(w.done)
	for _, p := range parts {
		n, err := to.Write(p)
		w.written.Add(int64(n))
		if err != nil {
			w.err = err
			return
		}
	}
}

// complete reports whether the whole request was written.
func (w *requestWrite) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// failure returns the error of an exchange that ended without a response.
func (w *requestWrite) failure(ctx context.Context, err error, to Replica) error {
	select {
	case <-w.done:
		if w.err != nil && w.written.Load() == 0 {
			return outcome.Wrap(w.err, outcome.NotRun, outcome.CodeUpstream, "write", string(to.ID), "could not write to the replica")
		}
	default:
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", string(to.ID), "no response from the replica")
}

// head renders the request line and the headers.
func (r *Request) head() []byte {
	b := make([]byte, 0, headCapacity+len(r.URI))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, lineBreaks.Replace(v)...)
			b = append(b, "\r\n"...)
		}
	}
	length := r.length()
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// headCapacity is the usual size of a request head, in bytes.
const headCapacity = 1 << 10

// lineBreaks replaces line breaks in header values, which would otherwise start a new header.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")
