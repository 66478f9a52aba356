package sockets

import "net"

// LimitWriteBuffer returns a listener whose TCP connections have a kernel send buffer of about the
// given size, which bounds the memory that the kernel uses for a peer that reads slowly. The
// kernel treats the size as a hint.
func LimitWriteBuffer(l net.Listener, bytes int) net.Listener {
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
	}
	return c, err
}
