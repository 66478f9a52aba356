package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is the fault that a Proxy applies to its connections.
type Fault int32

// Faults of a Proxy. Pass is none.
const (
	Pass      Fault = iota
	Delay           // each chunk of data is delayed by delayTime
	Blackhole       // no data passes in either direction; new connections are accepted and hang
	NoReply         // data from the client passes, data to the client does not
	Refuse          // new connections are reset at once
)

// delayTime is the delay of each chunk of data under Delay.
const delayTime = 80 * time.Millisecond

// pollInterval is how often a blocked copy checks the fault.
const pollInterval = 5 * time.Millisecond

// Proxy forwards TCP connections to an upstream address and injects a fault while one is set.
// It is safe for concurrent use.
type Proxy struct {
	upstream string
	l        net.Listener
	fault    atomic.Int32
	// rewrite changes data to the client; tail is put before the next data. Nil: data is not changed. It must be set
	// before the first connection.
	rewrite func(data []byte) (out, tail []byte)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy for the address upstream, host:port, on a free loopback port. The
// caller must close it.
func NewProxy(upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{upstream: upstream, l: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Set replaces the fault, also for open connections.
func (p *Proxy) Set(f Fault) { p.fault.Store(int32(f)) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		_ = c.Close()
	}
}

// Close stops listening and resets all open connections.
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
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	var both sync.WaitGroup
	// The kernel would hold tens of MB of what a replica sends for a VM that does not read.
	_ = server.(*net.TCPConn).SetReadBuffer(proxyBuffer)
	_ = client.(*net.TCPConn).SetWriteBuffer(proxyBuffer)
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.drop(client, server)
}

// proxyBuffer is the size of the kernel's buffers between a replica and a VM, in bytes.
const proxyBuffer = 64 << 10

func (p *Proxy) track(conns ...net.Conn) {
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

// copy forwards data in one direction; reply states that it is the direction to the client. At
// EOF of from it half-closes to; after an error it resets to and closes from.
func (p *Proxy) copy(to, from net.Conn, reply bool) {
	buf := make([]byte, 16<<10)
	var tail []byte
	for {
		n, err := from.Read(buf)
		p.hold(reply)
		data := buf[:n]
		if reply && p.rewrite != nil {
			data, tail = p.rewrite(append(tail, data...))
		}
		if len(data) > 0 {
			if _, werr := to.Write(data); werr != nil {
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

// hold blocks for as long as the fault delays or blocks data of one direction: to the client if
// reply is set, else to the upstream.
func (p *Proxy) hold(reply bool) {
	for {
		switch f := Fault(p.fault.Load()); {
		case f == Blackhole, f == NoReply && reply:
			time.Sleep(pollInterval)
		case f == Delay:
			time.Sleep(delayTime)
			return
		default:
			return
		}
	}
}
