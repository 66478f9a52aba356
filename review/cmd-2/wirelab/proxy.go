package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// storeProxy forwards the connections of one VM to the store. It can make one open connection go silent, without a reset, while the others and new ones work.
type storeProxy struct {
	l        net.Listener
	upstream string
	// silenceOn, if set, is a text in a request that makes its connection silent from then on, once.
	silenceOn atomic.Pointer[string]
	silenced  chan time.Time // when that happened
	// configCalls counts the calls about the configuration.
	configCalls atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newStoreProxy(upstream string) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{l: l, upstream: upstream, silenced: make(chan time.Time, 1)}
	go p.accept()
	return p, nil
}

func (p *storeProxy) addr() string { return p.l.Addr().String() }

// silence makes the connection of the next request that holds text go silent.
func (p *storeProxy) silence(text string) { p.silenceOn.Store(&text) }

func (p *storeProxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *storeProxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *storeProxy) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, s)
	p.mu.Unlock()
	var silent atomic.Bool
	go p.copy(c, s, &silent, false)
	p.copy(s, c, &silent, true)
}

// copy forwards what one side sends until it ends; what comes on a silent connection is read and dropped, also its end.
func (p *storeProxy) copy(to, from net.Conn, silent *atomic.Bool, requests bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if requests && bytes.Contains(buf[:n], []byte("objects/config?")) {
			p.configCalls.Add(1)
		}
		if requests && n > 0 {
			if text := p.silenceOn.Load(); text != nil && bytes.Contains(buf[:n], []byte(*text)) && p.silenceOn.CompareAndSwap(text, nil) {
				silent.Store(true)
				p.silenced <- time.Now()
			}
		}
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
