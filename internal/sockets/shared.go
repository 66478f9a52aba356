package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ShareErrors returns a connection whose Read reports also a failure that a Write has got. The kernel reports the failure of a
// connection once, to a Read or to a Write, and an end to all calls after it. Without ShareErrors a Read may therefore return io.EOF
// after a reset, as if the peer had closed its side.
//
// A Write that is blocked when the peer closes its side is ended, and so are all later ones. Connections other than TCP connections are
// returned as they are.
func ShareErrors(c net.Conn) net.Conn {
	if _, ok := c.(*net.TCPConn); !ok {
		return c
	}
	return &sharedConn{Conn: c}
}

// sharedConn is a TCP connection whose Read reports a failure of Write.
type sharedConn struct {
	net.Conn

	mu      sync.Mutex // held during a Write
	failure error      // of a Write, and so of the connection; nil: none is known
}

var (
	_ net.Conn     = (*sharedConn)(nil)
	_ syscall.Conn = (*sharedConn)(nil)
)

// Read implements net.Conn.
func (c *sharedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, failure
	}
	return n, err
}

// writeFailure returns the failure that a Write has got. It ends a Write that is blocked.
func (c *sharedConn) writeFailure() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose Writes have ended
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write implements net.Conn.
func (c *sharedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the error of a Write says that the connection has failed, rather than that the peer closed its side before
// (EPIPE) or that this side has ended the Write.
func isFailure(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// SyscallConn implements syscall.Conn.
func (c *sharedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
