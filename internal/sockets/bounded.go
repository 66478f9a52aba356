package sockets

import (
	"context"
	"net"
)

// LimitBuffers returns a listener whose TCP connections have a kernel send buffer of about the given size, in bytes, and the receive
// buffer of LimitReadBuffer. They bound the memory that the kernel uses for a peer that reads slowly, or that sends more than is
// read. The kernel treats the sizes as hints.
func LimitBuffers(l net.Listener, bytes int) net.Listener {
	return &limitedListener{Listener: l, bytes: bytes}
}

type limitedListener struct {
	net.Listener
	bytes int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetWriteBuffer(l.bytes) // on failure the kernel's default applies
		LimitReadBuffer(tcp)
	}
	return c, err
}

// receiveBuffer is the size of the kernel's receive buffer of a connection that LimitReadBuffer bounds, in bytes. The kernel doubles it.
const receiveBuffer = 128 << 10

// LimitReadBuffer bounds the kernel's receive buffer of a TCP connection, which otherwise grows to several MB: what a peer sends and
// nobody has read counts towards the VM's memory. Other connections are left as they are.
func LimitReadBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // on failure the kernel's default applies
	}
}

// LimitedDial returns a dial function whose connections LimitReadBuffer bounds.
func LimitedDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			LimitReadBuffer(c)
		}
		return c, err
	}
}
