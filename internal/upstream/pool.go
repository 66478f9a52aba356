package upstream

import (
	"sync"
	"syscall"
	"time"
)

// Limits on idle connections.
const (
	// maxIdle is the longest idle time of a connection.
	maxIdle = 10 * time.Second
	// idleMargin is subtracted from the idle timeout that a replica announces (a number of
	// whole seconds), so that no request is sent while the replica closes the connection.
	idleMargin = 700 * time.Millisecond
)

// pool holds the idle connections to one replica as a stack, so that few connections carry
// most requests and the others expire.
type pool struct {
	// reusable reports whether an idle connection may carry another request, as far as the state of this VM's
	// link to the replica shows.
	reusable func(cn *conn) bool

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// take removes and returns a usable idle connection, or returns nil.
func (p *pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		cn := p.idle[last]
		p.idle = p.idle[:last]
		if cn.fresh(now) && p.reusable(cn) && cn.usable() {
			return cn
		}
		cn.close()
	}
	return nil
}

// anyOpen reports whether the replica still keeps an idle connection open.
func (p *pool) anyOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle {
		if cn.usable() {
			return true
		}
	}
	return false
}

// put returns a connection to the pool, or closes it if the pool is closed.
func (p *pool) put(cn *conn, now time.Time) {
	cn.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.reusable(cn) {
		cn.close()
		return
	}
	p.idle = append(p.idle, cn)
}

// trim closes the connections that have reached their idle time limit or may not be used again.
func (p *pool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, cn := range p.idle {
		if cn.fresh(now) && p.reusable(cn) && (cn.tunnel == nil || cn.tunnel.Alive()) {
			kept = append(kept, cn)
		} else {
			cn.close()
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// close closes all idle connections; those put back later are closed, too.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cn := range p.idle {
		cn.close()
	}
	p.idle = nil
}

// fresh reports whether the connection is within its idle time limit at now.
func (cn *conn) fresh(now time.Time) bool {
	limit := maxIdle
	if cn.idleTimeout > 0 {
		limit = min(limit, cn.idleTimeout-idleMargin)
	}
	return now.Sub(cn.idleSince) < limit
}

// usable reports whether the connection is open and holds no unread bytes: bytes received while
// it was idle belong to no request.
func (cn *conn) usable() bool {
	if cn.closed.Load() || cn.br.Buffered() > 0 {
		return false
	}
	if cn.tunnel != nil {
		return cn.tunnel.Alive()
	}
	sc, ok := cn.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}
