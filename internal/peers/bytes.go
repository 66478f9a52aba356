package peers

import (
	"context"
	"net"
)

// countedConn counts the bytes of the control traffic, including framing and headers.
type countedConn struct {
	net.Conn
	n *Node
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.n.BytesIn.Add(int64(k))
	return k, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	k, err := c.Conn.Write(b)
	c.n.BytesOut.Add(int64(k))
	return k, err
}

// dial connects to a peer.
func (n *Node) dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: callTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, n: n}, nil
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	n *Node
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, n: l.n}, nil
}

// CountTraffic wraps l so that its traffic counts as this node's control traffic.
func (n *Node) CountTraffic(l net.Listener) net.Listener { return countedListener{Listener: l, n: n} }
