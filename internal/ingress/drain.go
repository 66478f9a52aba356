package ingress

import (
	"bytes"
	"context"
	"net"
	"time"

	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// headWait is how long a connection is kept in a drain that is new, or on which a part of a head has come.
	headWait = time.Second
	// drainInterval is the interval between checks of whether a drain is over.
	drainInterval = 20 * time.Millisecond
)

// Drain accepts no more connections and closes each one that is idle, or once it is. Requests that have come on a connection are served
// first. Drain returns when no connection is left, or the error of ctx when it ends. Call it once, and then Close.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	_ = l.Listener.Close() // Accept waits for Close then
	for l.closeIdle(time.Now()) > 0 {
		if !timing.Sleep(ctx, drainInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// closeIdle closes the connections on which no request has come, and returns the number of others.
func (l *Listener) closeIdle(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, class := range []class{idle, waiting} {
		for e := l.lists[class].Front(); e != nil; {
			c := e.Value.(*Conn)
			e = e.Next()
			if class == idle && !c.followed.Load() || now.Sub(c.entered) >= headWait {
				l.leave(c)
				_ = c.Conn.Close() // ends its reads
			}
		}
	}
	return l.open
}

// acceptFailed returns the error of Accept. In a drain it waits for Close first, since the server must go on serving.
func (l *Listener) acceptFailed(err error) error {
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	if draining {
		<-l.done
	}
	return err
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// withConn returns the context of the requests of a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// Followed reports whether a part of another request has come on the connection of the request with the given context. A close
// after the response would leave that one unanswered.
func Followed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.followed.Load()
}

// noteFollower records whether what was read and not passed on belongs to another request.
func (c *Conn) noteFollower() {
	if c.body.ended && len(bytes.Trim(c.rest[c.inHead:], "\r\n")) > 0 {
		c.followed.Store(true)
	}
}
