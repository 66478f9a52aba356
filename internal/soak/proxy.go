package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a proxy does to its connections.
type Fault int32

// The faults.
const (
	Pass      Fault = iota
	Delay           // each piece of data comes later
	Blackhole       // nothing passes either way; new connections are taken in and hang
	NoReply         // what the client sends passes, nothing comes back
	Refuse          // new connections are reset at once
)

// delayTime is how much later data comes under Delay.
const delayTime = 80 * time.Millisecond

// pollEvery is how often a silenced copy looks whether it may go on.
const pollEvery = 5 * time.Millisecond

// Proxy passes TCP connections on to a target on loopback, and does it badly when
// told to. Safe for concurrent use.
type Proxy struct {
	target string
	l      net.Listener
	fault  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy listens on a port of its own.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, l: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Set changes the fault.
func (p *Proxy) Set(f Fault) { p.fault.Store(int32(f)) }

// Reset cuts all connections at hand.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // an open connection takes the option
		_ = c.Close()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	if Fault(p.fault.Load()) == Refuse {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.keep(client, server)
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.drop(client, server)
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// copy passes data one way; the end of one side ends the other.
func (p *Proxy) copy(to, from net.Conn, reply bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.hold(reply)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	_ = to.(*net.TCPConn).SetLinger(0)
	_ = to.Close()
	_ = from.Close()
}

// hold waits as long as the fault wants.
func (p *Proxy) hold(reply bool) {
	for {
		switch f := Fault(p.fault.Load()); {
		case f == Blackhole, f == NoReply && reply:
			time.Sleep(pollEvery)
		case f == Delay:
			time.Sleep(delayTime)
			return
		default:
			return
		}
	}
}
