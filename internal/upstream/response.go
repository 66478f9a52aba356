package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/intake"
)

// Response is the head of a response and its body. The caller must call Close. Not safe for
// concurrent use.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	Reused bool // the connection had carried requests before
	// Via is the VM through which the connection leads; empty: this VM's own link.
	Via  ids.VM
	conn *conn
	head *intake.Share // what Header holds
}

// body reads the body of a response and records whether it was read to its end.
type body struct {
	conn   *conn
	resp   *http.Response
	write  *requestWrite
	stop   func() bool // stops the AfterFunc that closes conn when the context ends
	ended  bool
	closed bool // Response.Close was called
}

// Read implements io.Reader. io.EOF marks the end of the body, which is the end of the connection
// if the response is unframed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	} else if err != nil {
		err = eris.Wrap(err, "read response")
	}
	return n, err
}

// Used reports that bytes of the body were used, so that more may be read.
func (r *Response) Used(bytes int) { r.conn.in.Used(bytes) }

// PinHead states that the head is being passed on, so that closing the connection does not free its memory.
func (r *Response) PinHead() { r.head.Pin() }

// PinBody states the same of what was read of the body, until it is used or more is read.
func (r *Response) PinBody() { r.conn.in.Pin() }

// Framed reports whether the response has a Content-Length or a transfer encoding. The body of an
// unframed response ends with its connection, which may also mean that the replica crashed.
func (r *Response) Framed() bool {
	resp := r.Body.(*body).resp
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Length returns the Content-Length of the response, in bytes, or -1 if it has none.
func (r *Response) Length() int64 { return r.Body.(*body).resp.ContentLength }

// Close releases the response. The connection returns to the pool if the exchange is complete in
// both directions, and is closed otherwise. Further calls do nothing.
func (r *Response) Close() {
	b := r.Body.(*body)
	if b.closed {
		return
	}
	b.closed = true
	b.conn.in.Close()
	r.head.Pin() // the connection may carry another request
	if !b.stop() {
		b.conn.close() // the context has ended; the function set by AfterFunc may still run
		return
	}
	framed := r.Framed()
	if !b.ended && b.resp.ContentLength == 0 {
		b.ended = true
	}
	if !b.ended || !framed || b.resp.Close || !b.write.complete() || b.conn.br.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.conn.idleTimeout = keepAlive(r.Header)
	b.conn.pool.put(b.conn, clock.Now())
}

// keepAlive returns the idle timeout in the Keep-Alive header; zero: unspecified.
func keepAlive(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
