// Package crowd plays clients that don't behave: a crowd of connections that send heads without an end, bodies that don't come, or
// nothing, and that come again when they are closed.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// dripInterval is the pause between two bytes of a client that sends slowly.
	dripInterval = time.Second
	// againAfter is the pause of a client between two connections.
	againAfter  = 20 * time.Millisecond
	dialTimeout = time.Second
	// sendBuffer is the kernel's send buffer of a client's connection, in bytes: small, since hundreds of clients share a machine.
	sendBuffer = 32 << 10
)

// Crowd is a number of clients of one form.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup

	mu      sync.Mutex
	holding bool // clients send nothing more and open no connections
	conns   map[net.Conn]struct{}
	opened  int
}

// Start starts clients that connect to an address and send a form.
func Start(ctx context.Context, addr string, f Form, clients int) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	c := &Crowd{cancel: cancel, conns: map[net.Conn]struct{}{}}
	for range clients {
		c.clients.Go(func() {
			for ctx.Err() == nil && !c.isHolding() {
				c.connect(ctx, addr, f)
				pause(ctx, againAfter)
			}
		})
	}
	return c
}

// Hold has the clients send nothing more. Their connections stay open.
func (c *Crowd) Hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = true
	for conn := range c.conns {
		_ = conn.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits
	}
}

// End closes all connections and waits until the clients have ended.
func (c *Crowd) End() {
	c.cancel()
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// Opened returns how many connections the clients have opened so far.
func (c *Crowd) Opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

func (c *Crowd) isHolding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holding
}

// connect plays the form on one connection, until the server closes it or ctx ends.
func (c *Crowd) connect(ctx context.Context, addr string, f Form) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetWriteBuffer(sendBuffer) // on failure the kernel's default applies
	if !c.track(ctx, conn) {
		return
	}
	defer c.forget(conn)
	closed := make(chan struct{})
	if !f.Unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	err = f.send(conn)
	for i := 0; err == nil && len(f.Drip) > 0 && !c.isHolding(); i++ {
		_, err = conn.Write(f.Drip[i%len(f.Drip):][:1])
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-time.After(dripInterval):
		}
	}
	if err != nil && !c.isHolding() {
		return
	}
	select {
	case <-ctx.Done():
	case <-closed:
	}
}

// track records a connection; false: the crowd has ended.
func (c *Crowd) track(ctx context.Context, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	c.opened++
	c.conns[conn] = struct{}{}
	return true
}

func (c *Crowd) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// send sends all of a form but Drip.
func (f Form) send(w io.Writer) error {
	start := f.Start
	if f.Fresh != nil {
		start = f.Fresh()
	}
	if _, err := w.Write(start); err != nil {
		return err
	}
	for sent := 0; len(f.Part) > 0 && (f.Limit == 0 || sent < f.Limit); {
		block := f.Part
		if f.Limit > 0 {
			block = block[:min(len(block), f.Limit-sent)]
		}
		n, err := w.Write(block)
		sent += n
		if err != nil {
			return err
		}
	}
	_, err := w.Write(f.End)
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
