// Package upstream sends opaque requests to replicas over kept HTTP/1.1
// connections, and says of each send what is known of its fate.
//
// It exists beside net/http's client for what that client does not tell or does
// by itself:
//
//   - A request is written once. Nothing is ever replayed here: who may send
//     again is the caller's decision.
//   - A failure is NotRun only if no byte of the request was written. A kept
//     connection that breaks after the write leaves the outcome Unknown.
//   - A connection belongs to one incarnation of a replica and is dropped with
//     it.
//   - An answer that is not the request's (late, or extra) is read off and thrown
//     away; the next one on the connection is looked at.
//   - A connection goes back to the pool only if the request was written whole,
//     the answer was read whole, and nothing lies behind it.
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

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/traffic"
)

// Replica is one incarnation of a target and where it listens.
type Replica struct {
	ID   ids.Target
	Addr string // ip:port
}

// Request is one request as it goes out. It must not change while it is sent.
type Request struct {
	Method string
	URI    string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer belongs to this request.
	Matches func(status int, h http.Header) bool
	// BeforeWrite is asked right before the first byte is written: what allowed the request may
	// have run out while the connection was made. An error: nothing is written. Nil: it is
	// allowed.
	BeforeWrite func() *outcome.Error
}

// Response is the head of an answer and its body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Reused bool // the connection had served requests before
	conn   *conn
}

// Client holds the connections to all replicas. Safe for concurrent use.
type Client struct {
	// DialTimeout bounds connecting. It is set before the first send.
	DialTimeout time.Duration
	// Meter counts the bytes of calls. Nil: nothing does. It is set before the first send.
	Meter *traffic.Meter

	mu    sync.Mutex
	pools map[ids.Target]*pool

	Dials, Reuses, Strays atomic.Int64
}

// NewClient returns a client without connections.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{DialTimeout: dialTimeout, pools: map[ids.Target]*pool{}}
}

// Drop closes the idle connections of a replica that is gone; those in use are
// closed when their answers end.
func (c *Client) Drop(id ids.Target) {
	c.mu.Lock()
	p := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

func (c *Client) pool(id ids.Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[id]
	if p == nil {
		p = &pool{}
		c.pools[id] = p
	}
	return p
}

// DropIdle closes all idle connections.
func (c *Client) DropIdle() {
	c.mu.Lock()
	pools := c.pools
	c.pools = map[ids.Target]*pool{}
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Trim closes connections that have been idle for too long.
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

// Send writes a request to a replica and reads the head of its answer. The
// error is an *outcome.Error. When ctx ends, the connection is closed, also
// while the answer's body is read: that is how a replica learns that nobody
// waits any more.
func (c *Client) Send(ctx context.Context, to Replica, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	if r.BeforeWrite != nil {
		if refusal := r.BeforeWrite(); refusal != nil {
			cn.pool.put(cn, clock.Now())
			return nil, refusal
		}
	}
	a, err := cn.exchange(ctx, to, r, &c.Strays)
	if err != nil {
		cn.kill()
		return nil, err
	}
	return a, nil
}

// connect takes an idle connection or makes one.
func (c *Client) connect(ctx context.Context, to Replica) (*conn, error) {
	p := c.pool(to.ID)
	if cn := p.take(clock.Now()); cn != nil {
		c.Reuses.Add(1)
		return cn, nil
	}
	c.Dials.Add(1)
	d := sockets.Dialer(c.DialTimeout)
	nc, err := d.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.CodeUpstream, "dial", string(to.ID), "the replica can't be reached")
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // without it the kernel's own bound holds
	}
	nc = c.Meter.Conn(nc, traffic.Requests, traffic.Responses)
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBuffer), pool: p}, nil
}

// readBuffer is the size of a connection's reader, in bytes: a head and some
// events. With a few hundred connections it stays within some MB.
const readBuffer = 8 << 10

// receiveBuffer is the kernel's read buffer of a connection, in bytes: what a replica sends while
// the caller does not read counts as the VM's memory.
const receiveBuffer = 128 << 10

// conn is one connection to a replica.
type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	pool    *pool
	used    bool
	since   time.Time     // idle since
	idleFor time.Duration // the replica keeps it open for so long; zero: it did not say
	dead    atomic.Bool
}

func (cn *conn) kill() {
	if cn.dead.CompareAndSwap(false, true) {
		_ = cn.nc.Close()
	}
}

// maxStrays bounds the answers of other requests that are read off before one's
// own is given up.
const maxStrays = 2

// maxStrayBytes bounds the body of an answer that is thrown away.
const maxStrayBytes = 256 << 10

// exchange writes the request and reads answers until one is its own.
func (cn *conn) exchange(ctx context.Context, to Replica, r *Request, strays *atomic.Int64) (*Response, error) {
	stop := context.AfterFunc(ctx, cn.kill)
	w := cn.write(r)
	reused := cn.used
	cn.used = true
	for stray := 0; ; stray++ {
		resp, err := http.ReadResponse(cn.br, &http.Request{Method: r.Method})
		if err == nil && resp.StatusCode < http.StatusOK {
			stray--
			continue // an interim answer says nothing
		}
		if err != nil {
			stop()
			return nil, w.failure(ctx, err, to)
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			body := &body{conn: cn, resp: resp, write: w, stop: stop}
			return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Reused: reused, conn: cn}, nil
		}
		strays.Add(1)
		n, err := io.CopyN(io.Discard, resp.Body, maxStrayBytes)
		if stray >= maxStrays || !errors.Is(err, io.EOF) || n == maxStrayBytes || resp.Close {
			stop()
			return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "read", string(to.ID), "the replica answered another request")
		}
	}
}

// writing is a request on its way out.
type writing struct {
	done    chan struct{}
	written atomic.Int64
	err     error // valid when done is closed
}

// write sends the request in a goroutine of its own where the body is long, since
// a replica may answer before it has read it.
func (cn *conn) write(r *Request) *writing {
	w := &writing{done: make(chan struct{})}
	head := r.head()
	if len(r.Body) <= directBody {
		w.send(cn.nc, append(head, r.Body...))
		return w
	}
	go w.send(cn.nc, head, r.Body)
	return w
}

// directBody is the longest body that is written without a goroutine, in bytes:
// it fits a socket's send buffer, so the write can't wait for the replica.
const directBody = 16 << 10

func (w *writing) send(to io.Writer, parts ...[]byte) {
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

// complete tells whether the whole request was written.
func (w *writing) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// failure types an exchange that ended without an answer.
func (w *writing) failure(ctx context.Context, err error, to Replica) error {
	select {
	case <-w.done:
		if w.err != nil && w.written.Load() == 0 {
			return outcome.Wrap(w.err, outcome.NotRun, outcome.CodeUpstream, "write", string(to.ID), "nothing could be written to the replica")
		}
	default:
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "read", string(to.ID), "no answer came from the replica")
}

// head renders the request line and the headers.
func (r *Request) head() []byte {
	b := make([]byte, 0, headRoom+len(r.URI))
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
			b = append(b, cleanValue.Replace(v)...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// headRoom is the usual size of a head, in bytes.
const headRoom = 1 << 10

// cleanValue keeps a header's value from ending its line.
var cleanValue = strings.NewReplacer("\r", " ", "\n", " ")

// body reads an answer's body and knows when it was read whole.
type body struct {
	conn  *conn
	resp  *http.Response
	write *writing
	stop  func() bool
	ended bool
	// closed tells that the use of the answer has ended.
	closed bool
}

// Read implements io.Reader. io.EOF means that the body is whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	} else if err != nil {
		err = eris.Wrap(err, "read answer")
	}
	return n, err
}

// Framed tells whether the answer says where its body ends. One that does not may end with
// its connection, as it does when the replica crashes.
func (a *Response) Framed() bool {
	resp := a.Body.(*body).resp
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Length returns the answer's length, in bytes; -1: it does not say.
func (a *Response) Length() int64 { return a.Body.(*body).resp.ContentLength }

// Close ends the use of the answer. The connection is kept if both sides are
// done with it, and closed otherwise. Further calls do nothing.
func (a *Response) Close() {
	b := a.Body.(*body)
	if b.closed {
		return
	}
	b.closed = true
	if !b.stop() {
		b.conn.kill() // the context has ended; its function may still run
		return
	}
	framed := a.Framed()
	if !b.ended && b.resp.ContentLength == 0 {
		b.ended = true
	}
	if !b.ended || !framed || b.resp.Close || !b.write.complete() || b.conn.br.Buffered() > 0 {
		b.conn.kill()
		return
	}
	b.conn.idleFor = keepAlive(a.Header)
	b.conn.pool.put(b.conn, clock.Now())
}

// keepAlive reads how long the other side keeps an idle connection; zero: it did
// not say.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
