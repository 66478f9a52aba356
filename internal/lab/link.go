package lab

import (
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/lab/loopback"
)

// Link is a piece of network that can be cut: it passes connections on to an
// address until it is cut, and then ends them and takes no new ones.
type Link struct {
	Addr string
	to   string
	l    net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewLink starts a link to an address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", loopback.Addr())
	if err != nil {
		return nil, eris.Wrap(err, "listen for a link")
	}
	k := &Link{Addr: l.Addr().String(), to: to, l: l, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

// Close ends the link.
func (k *Link) Close() {
	_ = k.l.Close()
	k.SetDown(true)
}

// SetDown cuts the link, or mends it.
func (k *Link) SetDown(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if !cut {
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
		out, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		if !k.keep(in, out) {
			continue
		}
		go k.pass(in, out)
		go k.pass(out, in)
	}
}

// keep remembers a connection's two ends, or closes them if the link is cut.
func (k *Link) keep(ends ...net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range ends {
		if k.cut {
			_ = c.Close()
			continue
		}
		k.conns[c] = true
	}
	return !k.cut
}

func (k *Link) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, from)
}
