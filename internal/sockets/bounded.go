package sockets

import (
	"context"
	"net"
	"sync"
)

const (
	// receiveBuffer is the size of the kernel's receive buffer of a connection that LimitReadBuffer bounds, in bytes. The kernel doubles it.
	receiveBuffer = 128 << 10
	// smallReceiveBuffer is the size that LimitSmallReadBuffer sets, in bytes. With less, the kernel drops what the peer was allowed to send.
	smallReceiveBuffer = 32 << 10
)

// Buffers bounds the sum of the kernel's large receive buffers. Connections beyond it have small ones. The bound of a nil pointer
// is infinite. Safe for concurrent use.
type Buffers struct {
	mu   sync.Mutex
	left int // connections that may still have a large buffer
}

// NewBuffers returns a bound by what the kernel may hold in large receive buffers, in bytes.
func NewBuffers(bytes int64) *Buffers { return &Buffers{left: int(bytes / receiveBuffer)} }

// Limit bounds the receive buffer of a TCP connection. The function that it returns must be called once, when the connection is closed.
func (b *Buffers) Limit(c *net.TCPConn) (closed func()) {
	if b == nil {
		LimitReadBuffer(c)
		return func() {}
	}
	if !b.take() {
		LimitSmallReadBuffer(c)
		return func() {}
	}
	LimitReadBuffer(c)
	return b.giveBack
}

func (b *Buffers) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left <= 0 {
		return false
	}
	b.left--
	return true
}

func (b *Buffers) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left++
}

// LimitReadBuffer bounds the kernel's receive buffer of a TCP connection, which otherwise grows to several MB: what a peer sends and
// nobody has read counts towards the VM's memory. Other connections are left as they are.
func LimitReadBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // on failure the kernel's default applies
	}
}

// LimitSmallReadBuffer does the same for connections that bring short responses, of which there may be many.
func LimitSmallReadBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallReceiveBuffer) // on failure the kernel's default applies
	}
}

// ClientDial returns a dial function for clients that read while they write, such as those of net/http: LimitReadBuffer bounds its
// connections, and they share their errors (ShareErrors).
func ClientDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		LimitReadBuffer(c)
		return ShareErrors(c), nil
	}
}
