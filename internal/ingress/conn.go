package ingress

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

var errNoMemory = eris.New("the memory for connections is used up")

// Conn is a connection of a client. The server reads a head from it only once the head is whole, and nothing beyond the request that it
// serves but one byte, by which it sees that the client has gone.
type Conn struct {
	net.Conn
	l *Listener

	// Guarded by l.mu.
	class   class
	place   *list.Element // in the list of the class
	entered time.Time     // the class
	charged int64         // bytes
	kept    int64         // bytes of it, beyond ConnBytes, that stay charged between requests

	// Of the goroutine that reads. The server never reads in two at once.
	awaiting bool      // a head; otherwise a request is served
	since    time.Time // when that began
	begun    time.Time // when the first byte of the head came; zero: none has
	limit    int       // bytes of a head, when it began
	scan     headScan
	empty    int    // bytes of line breaks before the head
	head     []byte // the head so far
	rest     []byte // was read and not yet passed on
	inHead   int    // bytes at the beginning of rest that belong to the head
	body     bodyScan
	next     headScan // has the byte of the next request that the server has read
	nextByte byte
	bodyEnds time.Time // when the body must be whole
	large    bool      // the receive buffer is the one for long bodies
	answered bool      // a request was served

	followed atomic.Bool // a part of a request has come after the last one whose head was whole

	// writing is when the server began the write that goes on, in nanoseconds since the process's start. Zero: none does.
	writing atomic.Int64
}

// await begins to wait for a head.
func (c *Conn) await(now time.Time) {
	c.awaiting, c.since, c.begun, c.scan, c.empty = true, now, time.Time{}, headScan{}, 0
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.awaiting {
		if n, err := c.readHead(p); n > 0 || err != nil {
			return n, err
		}
	}
	if c.inHead > 0 {
		return c.passHead(p), nil
	}
	return c.readBody(p)
}

// readHead reads until a head is whole. If that came at once, it lies at the beginning of p, and readHead returns its length. Otherwise it
// lies at the beginning of rest.
func (c *Conn) readHead(p []byte) (int, error) {
	for {
		part := c.rest
		if len(part) == 0 {
			n, err := c.readPart(p)
			if err != nil {
				return 0, c.headFailed(err)
			}
			part = p[:n]
		}
		c.rest = nil
		if part = c.skipEmptyLines(part); len(part) == 0 {
			if c.empty > maxEmptyLines {
				return 0, c.refuse(EmptyLines, http.StatusBadRequest)
			}
			continue
		}
		if c.begun.IsZero() {
			c.begun, c.limit = time.Now(), c.l.config.Limits().HeadBytes
		}
		n, whole := c.scan.add(part)
		if c.scan.bytes > max(c.limit, c.l.config.Limits().HeadBytes) {
			return 0, c.refuse(HeadTooLong, http.StatusRequestHeaderFieldsTooLarge)
		}
		if whole && len(c.head) == 0 {
			return c.headCame(p, part, n)
		}
		if len(c.head) == 0 && c.answered && !c.l.move(c, waiting) { // an idle caller whose head comes at once never waits
			return 0, net.ErrClosed
		}
		if err := c.keep(part); err != nil {
			return 0, c.headFailed(err)
		}
		if whole {
			c.inHead = len(c.head) - (len(part) - n)
			c.rest, c.head = c.head, nil
			err := c.headWhole(c.rest[:c.inHead])
			c.noteFollower()
			return 0, err
		}
	}
}

// headCame passes on a head that came in one part, of which it is the first n bytes.
func (c *Conn) headCame(p, part []byte, n int) (int, error) {
	if err := c.headWhole(part[:n]); err != nil {
		return 0, err
	}
	if &part[0] != &p[0] {
		c.rest, c.inHead = append([]byte(nil), part...), n
		c.noteFollower()
		return 0, nil
	}
	c.rest = append([]byte(nil), part[n:]...)
	c.noteFollower()
	return n, nil
}

// skipEmptyLines returns what follows the line breaks before a head (RFC 9112, section 2.2).
func (c *Conn) skipEmptyLines(part []byte) []byte {
	if c.scan.bytes > 0 {
		return part
	}
	for len(part) > 0 && (part[0] == '\r' || part[0] == '\n') {
		part = part[1:]
		c.empty++
	}
	return part
}

// readPart reads from the network, until the time for the head, or for its first byte, is over.
func (c *Conn) readPart(p []byte) (int, error) {
	limits := c.l.config.Limits()
	ends := c.since.Add(limits.IdleTimeout)
	if !c.begun.IsZero() {
		ends = c.begun.Add(limits.HeadTimeout)
	}
	if err := c.Conn.SetReadDeadline(ends); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// keep appends a part to the head, in a buffer that is charged.
func (c *Conn) keep(part []byte) error {
	need := len(c.head) + len(part)
	if need > cap(c.head) {
		size := max(cap(c.head), headStep)
		for size < need {
			size *= 2
		}
		if err := c.l.charge(c, int64(size-cap(c.head))); err != nil {
			return err
		}
		c.head = append(make([]byte, 0, size), c.head...)
	}
	c.head = append(c.head, part...)
	return nil
}

// headWhole charges the request of a whole head, and begins to pass it on.
func (c *Conn) headWhole(head []byte) error {
	f := framingOf(head)
	if f.kind == unclear {
		return c.refuse(UnclearEnd, http.StatusBadRequest)
	}
	if err := c.l.charge(c, c.scan.cost()); err != nil {
		return c.headFailed(err)
	}
	c.body, c.next = newBodyScan(f), headScan{}
	to := inBody
	if c.body.ended {
		to = serving
	}
	if !c.l.move(c, to) {
		return net.ErrClosed
	}
	c.followed.Store(false) // not before, since a drain closes idle connections that have no follower
	c.awaiting, c.bodyEnds = false, time.Now().Add(c.l.config.Limits().BodyTimeout)
	if f.kind == withLength && f.length > longBody || f.kind == inChunks {
		c.enlarge()
	}
	return c.Conn.SetReadDeadline(time.Time{})
}

// passHead passes on the head, and nothing that comes after it.
func (c *Conn) passHead(p []byte) int {
	n := copy(p, c.rest[:c.inHead])
	c.rest, c.inHead = c.rest[n:], c.inHead-n
	return n
}

// readBody reads a part of the body or, after its end, one byte of what comes next.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.body.ended {
		return c.readNext(p[:1])
	}
	p = p[:c.body.most(len(p))]
	n, err := 0, error(nil)
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
		c.rest = c.rest[n:]
	} else {
		if err = c.Conn.SetReadDeadline(c.bodyEnds); err == nil {
			n, err = c.Conn.Read(p)
		}
	}
	of := c.body.add(p[:n])
	if of < n { // the rest belongs to the next request
		c.rest = append(append([]byte(nil), p[of:n]...), c.rest...)
		n = of
	}
	c.noteFollower()
	if c.body.ended && !c.l.move(c, serving) {
		return n, net.ErrClosed
	}
	return n, err
}

// readNext reads the first byte of the next request, which the server keeps. It reads no other before it has served this one.
func (c *Conn) readNext(p []byte) (int, error) {
	if c.next.bytes > 0 {
		c.l.counts[UnclearEnd].Add(1)
		return 0, net.ErrClosed
	}
	n, err := 0, error(nil)
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
		c.rest = c.rest[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.nextByte = p[0]
		c.next.add(p[:n])
		if c.nextByte != '\r' && c.nextByte != '\n' {
			c.followed.Store(true)
		}
	}
	return n, err
}

// requestDone begins to wait for the next request, once the server has served one.
func (c *Conn) requestDone() {
	if !c.body.ended {
		c.l.counts[UnclearEnd].Add(1)
		_ = c.Close()
		return
	}
	c.l.release(c)
	c.answered = true
	c.await(time.Now())
	if c.next.bytes > 0 && c.nextByte != '\r' && c.nextByte != '\n' {
		c.scan = c.next
	}
	if c.scan.bytes > 0 || len(c.rest) > 0 {
		c.begun, c.limit = c.since, c.l.config.Limits().HeadBytes
	}
	c.l.move(c, idle)
}

// headFailed ends a connection whose head could not be read, and returns the error for the server.
func (c *Conn) headFailed(err error) error {
	switch {
	case errors.Is(err, errNoMemory):
		return c.refuse(NoMemory, http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.begun.IsZero():
		return c.refuse(HeadTimeout, http.StatusRequestTimeout)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.l.counts[IdleTimeout].Add(1)
	}
	return err
}

// refuse tells the client that its request was not run, and waits shortly until it may have read that. The request's head was not passed
// on. It returns the error for the server.
func (c *Conn) refuse(cause Cause, status int) error {
	c.l.counts[cause].Add(1)
	if !c.l.move(c, refused) {
		return net.ErrClosed
	}
	c.head, c.rest = nil, nil
	c.l.release(c)
	text := "the head of the request was not accepted: " + cause.String() + " (not-run)\n"
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 0.1\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%s%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retry, c.l.config.RefusalFields, text)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.Close()
	return net.ErrClosed
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(int64(time.Since(started)))
	defer c.writing.Store(0)
	if t := c.l.config.WriteTimeout; t > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(t)) // fails only if the connection is closed, as then does the write
	}
	return c.Conn.Write(p)
}

// started is about the process's start. Ages since then don't depend on the time of day.
var started = time.Now()

// unread reports whether the client has left a response unread for unreadTime.
func (c *Conn) unread() bool {
	began := c.writing.Load()
	return began > 0 && time.Since(started)-time.Duration(began) > unreadTime
}

// enlarge gives the connection the receive buffer for long bodies, if there is room for it. It keeps that: if a buffer shrinks below what the
// kernel has offered to the client, what arrives is dropped, and sent again only after ever longer timeouts.
func (c *Conn) enlarge() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.large || !c.l.tryKeep(c, bodyReceiveBuffer-ReceiveBuffer) {
		return
	}
	c.large = true
	_ = tcp.SetReadBuffer(bodyReceiveBuffer) // on failure it stays as it is
}

// CloseWrite closes the sending side. The server uses it after its last response on a connection.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	c.l.leave(c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
