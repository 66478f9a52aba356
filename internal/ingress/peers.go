package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
)

const (
	// helloBytes is how much a peer sends before anything is known of it, in bytes: the preface of HTTP/2 and its first frame.
	helloBytes = 33
	// freshFor is how long a connection keeps its place after it was used, so that not each read changes the order.
	freshFor = time.Second
)

// Bounds of the gRPC server for peers.
const (
	// maxPeerHead bounds the fields of a call, in bytes as HTTP/2 counts them.
	maxPeerHead = 16 << 10
	// helloTimeout bounds the time in which a peer introduces itself.
	helloTimeout = 5 * time.Second
	// peerBuffer is the size of the buffer for reading from a peer, in bytes.
	peerBuffer = 8 << 10
	// peerReceiveBuffer is the size of the kernel's receive buffer of a connection, in bytes.
	peerReceiveBuffer = 64 << 10
)

// PeerServerOptions returns the options of a gRPC server that bound what a connection costs it.
func PeerServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(maxPeerHead), grpc.ConnectionTimeout(helloTimeout), grpc.ReadBufferSize(peerBuffer),
	}
}

// PeerListener bounds the number of connections of peers. At the bound, the oldest one on which no peer has introduced itself makes room
// for a new one, or else the one that has been silent for the longest time. Safe for concurrent use.
type PeerListener struct {
	net.Listener
	max    int
	closed atomic.Int64

	mu    sync.Mutex
	fresh list.List // of *peerConn that have not introduced themselves, the oldest first
	known list.List // of the others, the longest silent first
}

// LimitPeers returns a listener that accepts at most max connections at a time.
func LimitPeers(l net.Listener, max int) *PeerListener { return &PeerListener{Listener: l, max: max} }

// Closed returns how many connections have made room.
func (l *PeerListener) Closed() int64 { return l.closed.Load() }

// Open returns the number of connections.
func (l *PeerListener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh.Len() + l.known.Len()
}

// Accept implements net.Listener.
func (l *PeerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(peerReceiveBuffer) // on failure the kernel's default applies
	}
	conn := &peerConn{Conn: c, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fresh.Len()+l.known.Len() >= l.max {
		first := l.fresh.Front()
		if first == nil {
			first = l.known.Front()
		}
		old := first.Value.(*peerConn)
		old.remove()
		_ = old.Conn.Close() // ends its reads
		l.closed.Add(1)
	}
	conn.in, conn.place = &l.fresh, l.fresh.PushBack(conn)
	return conn, nil
}

// peerConn is a connection of a peer.
type peerConn struct {
	net.Conn
	l    *PeerListener
	read int64 // bytes; of the goroutine that reads
	used time.Time

	in    *list.List // guarded by l.mu; nil: it is closed
	place *list.Element
}

// remove ends the accounting of the connection. The caller holds l.mu.
func (c *peerConn) remove() {
	if c.in != nil {
		c.in.Remove(c.place)
		c.in = nil
	}
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += int64(n)
	if now := time.Now(); c.read >= helloBytes && now.Sub(c.used) > freshFor {
		c.used = now
		c.l.mu.Lock()
		if c.in != nil {
			c.in.Remove(c.place)
			c.in, c.place = &c.l.known, c.l.known.PushBack(c)
		}
		c.l.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.l.mu.Lock()
	c.remove()
	c.l.mu.Unlock()
	return c.Conn.Close()
}
