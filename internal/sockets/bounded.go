package sockets

import "net"

// LimitWriteBuffer returns a listener whose connections hold at most about so many bytes that the other
// side has not read. The kernel takes the number as a wish.
func LimitWriteBuffer(l net.Listener, bytes int) net.Listener {
	return &bounded{Listener: l, bytes: bytes}
}

type bounded struct {
	net.Listener
	bytes int
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		_ = tcp.SetWriteBuffer(b.bytes) // without it the kernel's own bound holds
	}
	return c, err
}
