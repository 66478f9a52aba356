package upstream

import (
	"sync"
	"syscall"
	"time"
)

// Bounds of idle connections.
const (
	// maxIdle is how long a connection is kept where the replica does not say.
	maxIdle = 10 * time.Second
	// idleMargin is taken off the time that a replica keeps a connection, which it
	// states in whole seconds: a request must not cross its close.
	idleMargin = 700 * time.Millisecond
)

// pool holds the idle connections to one replica, the last used on top, so that
// few connections carry what they can and the rest grow old.
type pool struct {
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// take returns a sound idle connection, or nil.
func (p *pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		cn := p.idle[last]
		p.idle = p.idle[:last]
		if cn.fresh(now) && cn.quiet() {
			return cn
		}
		cn.kill()
	}
	return nil
}

// sound tells whether an idle connection is still open on the other side.
func (p *pool) sound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle {
		if cn.quiet() {
			return true
		}
	}
	return false
}

// put keeps a connection for the next request.
func (p *pool) put(cn *conn, now time.Time) {
	cn.since = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		cn.kill()
		return
	}
	p.idle = append(p.idle, cn)
}

func (p *pool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if cn.fresh(now) {
			kept = append(kept, cn)
		} else {
			cn.kill()
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cn := range p.idle {
		cn.kill()
	}
	p.idle = nil
}

// fresh tells whether the replica still keeps the connection open.
func (cn *conn) fresh(now time.Time) bool {
	limit := maxIdle
	if cn.idleFor > 0 {
		limit = min(limit, cn.idleFor-idleMargin)
	}
	return now.Sub(cn.since) < limit
}

// quiet tells whether the connection is open and nothing lies unread in it: bytes
// that came while it was idle belong to no request.
func (cn *conn) quiet() bool {
	if cn.dead.Load() || cn.br.Buffered() > 0 {
		return false
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
