package lab

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// Link is a TCP proxy that simulates a network link. It forwards connections to an address;
// while it is down, it closes all connections, new ones included. Safe for concurrent use.
type Link struct {
	Addr     string // ip:port at which the link accepts connections
	upstream string
	l        net.Listener

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

// NewLink starts a link that forwards to an address, ip:port.
func NewLink(upstream string) (*Link, error) {
	l, err := net.Listen("tcp", loopback.Addr())
	if err != nil {
		return nil, eris.Wrap(err, "listen for a network link")
	}
	k := &Link{Addr: l.Addr().String(), upstream: upstream, l: l, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

// Close stops the link and closes its connections.
func (k *Link) Close() {
	_ = k.l.Close()
	k.SetDown(true)
}

// SetDown takes the link down, which closes its connections, or brings it up again.
func (k *Link) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	if !down {
		return
	}
	for c := range k.conns {
		_ = c.Close()
	}
	clear(k.conns)
}

func (k *Link) accept() {
	for {
		in, err := k.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.upstream)
		if err != nil {
			_ = in.Close()
			continue
		}
		if !k.track(in, out) {
			continue
		}
		go k.forward(in, out)
		go k.forward(out, in)
	}
}

// track records the two ends of a forwarded connection, or closes them if the link is down. It
// reports whether the link is up.
func (k *Link) track(ends ...net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range ends {
		if k.down {
			_ = c.Close()
			continue
		}
		k.conns[c] = true
	}
	return !k.down
}

func (k *Link) forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, from)
}
