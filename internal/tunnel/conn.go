package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/tunnelpb"
)

// ErrBroken is the error of a tunnel that broke between the two VMs. It says nothing about the target,
// and what was written may have reached it or not.
var ErrBroken = eris.New("the tunnel broke between this VM and the peer")

// Conn is a connection to a target through a peer. A Read ends with io.EOF only if the target closed the
// connection, with syscall.ECONNRESET if it reset it, and with ErrBroken if the tunnel broke. Deadlines
// are not supported; Close ends a blocked Read or Write.
type Conn struct {
	peer   Peer
	addr   net.Addr // of the peer
	stream grpc.BidiStreamingClient[tunnelpb.ToTarget, tunnelpb.FromTarget]
	cancel context.CancelFunc
	onEnd  func() // called once, when the connection is closed

	in      chan []byte // received and not yet read; closed at the end, after err was set
	err     error       // of the end
	rest    []byte      // of the last element of in
	leaving atomic.Bool // the peer shuts down
	ended   atomic.Bool // in is closed
	closed  chan struct{}
	once    sync.Once
}

var _ net.Conn = (*Conn)(nil)

// chunkBytes bounds the data of one message, in bytes.
const chunkBytes = 16 << 10

// start receives messages until the tunnel ends. Two messages and the window of the stream bound what is
// received and not read.
func (c *Conn) start() {
	c.in, c.closed = make(chan []byte, 1), make(chan struct{})
	go func() {
		c.err = c.receive()
		c.ended.Store(true)
		close(c.in)
	}()
}

// receive passes on the data of messages, and returns the error with which the connection ends.
func (c *Conn) receive() error {
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return errors.Join(ErrBroken, err)
		}
		if m.Leaving {
			c.leaving.Store(true)
		}
		if len(m.Data) > 0 {
			select {
			case c.in <- m.Data:
			case <-c.closed:
				return net.ErrClosed
			}
		}
		switch m.End {
		case tunnelpb.End_CLOSED:
			return io.EOF
		case tunnelpb.End_RESET:
			return syscall.ECONNRESET
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case data, ok := <-c.in:
			if !ok {
				return 0, c.err
			}
			c.rest = data
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn. If it fails, all of p counts as written, since no one knows how much of it
// has reached the target; only on a closed connection nothing does.
func (c *Conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	for rest := p; len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		if err := c.stream.Send(&tunnelpb.ToTarget{Data: rest[:n]}); err != nil {
			return len(p), errors.Join(ErrBroken, err)
		}
		rest = rest[n:]
	}
	return len(p), nil
}

// Close implements net.Conn. The peer closes its connection to the target.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.cancel()
		c.onEnd()
	})
	return nil
}

// Alive reports whether an idle connection may carry another request: it has not ended, holds nothing
// that was received and not read, and the peer does not shut down.
func (c *Conn) Alive() bool { return !c.ended.Load() && !c.leaving.Load() && len(c.in) == 0 }

// Via returns the VM through which the connection leads.
func (c *Conn) Via() ids.VM { return c.peer.VM }

// LocalAddr implements net.Conn. It returns the peer's address, since the connection has no socket of its own.
func (c *Conn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr implements net.Conn. It returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.addr }

// SetDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (c *Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
