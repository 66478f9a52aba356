// Package cutlink forwards TCP connections over links that can be cut in the ways in which networks lose them.
package cutlink

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Cut is the way in which a link is cut.
type Cut int

// The ways.
const (
	Up       Cut = iota
	Hangs        // new connections hang, and nothing passes on the others
	Refuses      // new connections are refused, and the others are reset
	Resets       // new connections are reset once they are established, as are the others
	OldLives     // new connections are refused, and the others live on
)

// Link forwards TCP connections to one address. Safe for concurrent use.
type Link struct {
	addr     string // on which it listens
	upstream string

	mu       sync.Mutex
	cut      Cut
	changed  chan struct{} // closed and replaced at each change
	listener net.Listener
	conns    map[net.Conn]bool
	fillers  []net.Conn
	passed   int
	closed   bool
}

// New returns a link that listens on addr, ip:port. The caller must close it.
func New(addr, upstream string) (*Link, error) {
	p := &Link{addr: addr, upstream: upstream, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	return p, p.listen()
}

// Addr returns the address on which the link listens.
func (p *Link) Addr() string { return p.addr }

// Passed returns how many times the link has forwarded data since it was last restored.
func (p *Link) Passed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed
}

// Close refuses new connections and resets the others for good.
func (p *Link) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.Set(Refuses) // it opens no listener
}

// listen opens the listener, with the shortest queue of connections that are not yet accepted. A
// full queue leaves further connections without an answer, as a partition does. The caller holds p.mu, or
// no other goroutine uses p yet.
func (p *Link) listen() error {
	addr, err := net.ResolveTCPAddr("tcp4", p.addr)
	if err != nil {
		return eris.Wrap(err, "address of a link")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return eris.Wrap(err, "socket of a link")
	}
	file := os.NewFile(uintptr(fd), p.addr)
	defer func() { _ = file.Close() }() // the listener has its own descriptor
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}); err != nil {
		return eris.Wrapf(err, "bind %s", p.addr)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return eris.Wrapf(err, "listen on %s", p.addr)
	}
	if p.listener, err = net.FileListener(file); err != nil {
		return eris.Wrapf(err, "listen on %s", p.addr)
	}
	go p.accept(p.listener)
	return nil
}

func (p *Link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.await(func(cut Cut) bool { return cut != Hangs })
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if cut == Resets {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

// await blocks until ok returns true for the way in which the link is cut.
func (p *Link) await(ok func(cut Cut) bool) {
	for {
		p.mu.Lock()
		cut, changed := p.cut, p.changed
		p.mu.Unlock()
		if ok(cut) {
			return
		}
		<-changed
	}
}

func (p *Link) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(s, c) })
	both.Go(func() { p.copy(c, s) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.conns, s)
}

// copy forwards what arrives on from while the link passes data.
func (p *Link) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.await(func(cut Cut) bool { return cut != Hangs })
		if n > 0 {
			p.mu.Lock()
			p.passed++
			p.mu.Unlock()
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// Set cuts or restores the link.
func (p *Link) Set(cut Cut) error {
	p.mu.Lock()
	if cut == Up && p.closed || cut == p.cut {
		p.mu.Unlock()
		return nil
	}
	p.cut = cut
	close(p.changed)
	p.changed = make(chan struct{})
	if cut == Up {
		p.passed = 0
	}
	if cut == Refuses || cut == Resets {
		for c := range p.conns {
			reset(c)
		}
	}
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	refuses := cut == Refuses || cut == OldLives
	if refuses && p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	var err error
	if !refuses && p.listener == nil {
		err = p.listen()
	}
	p.mu.Unlock()
	if cut == Hangs {
		p.fill()
	}
	return err
}

// fill fills the queue of connections that are not yet accepted. The first failure may be due to a
// connection that was about to be accepted.
func (p *Link) fill() {
	for failures := 0; failures < 2; {
		c, err := net.DialTimeout("tcp", p.addr, 30*time.Millisecond)
		if err != nil {
			failures++
			continue
		}
		p.mu.Lock()
		p.fillers = append(p.fillers, c)
		p.mu.Unlock()
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
