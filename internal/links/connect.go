package links

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/sockets"
)

// Connect connects to a target. An error does not tell whether the target or the link failed; nothing has
// been sent.
func (t *Table) Connect(ctx context.Context, tgt Target) (net.Conn, error) {
	if t.Peers == nil {
		return t.dial(ctx, tgt)
	}
	t.mu.Lock()
	l := t.linkOf(tgt)
	lost, delay := l.lost, hedgeDelay
	if !l.failedSince.IsZero() || t.anyLost() {
		delay = suspectHedgeDelay
	}
	t.mu.Unlock()
	if lost {
		if c, err := t.throughPeers(ctx, tgt, nil); err == nil {
			return c, nil
		}
	}
	return t.race(ctx, tgt, delay)
}

// anyLost reports whether any link is lost. The caller holds t.mu.
func (t *Table) anyLost() bool {
	for _, l := range t.links {
		if l.lost {
			return true
		}
	}
	return false
}

// dialed is the result of connecting in one way.
type dialed struct {
	conn net.Conn
	err  error
}

// race dials the target and, if that has not succeeded after delay, connects through a peer as well. It
// returns the first connection. The dial goes on if it loses, since its result shows whether the link is lost.
func (t *Table) race(ctx context.Context, tgt Target, delay time.Duration) (net.Conn, error) {
	direct := make(chan dialed, 1)
	go func() {
		c, err := t.dial(context.WithoutCancel(ctx), tgt)
		direct <- dialed{c, err}
	}()
	peerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var peer chan dialed
	ask := func() {
		if peer == nil {
			peer = make(chan dialed, 1)
			go func(out chan dialed) {
				c, err := t.throughPeers(peerCtx, tgt, nil)
				out <- dialed{c, err}
			}(peer)
		}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed error // of the dial
	for {
		select {
		case d := <-direct:
			if d.err == nil {
				closeLater(peer)
				return d.conn, nil
			}
			failed, direct = d.err, nil
			ask()
		case d := <-peer:
			if d.err == nil {
				closeLater(direct)
				return d.conn, nil
			}
			if failed != nil {
				return nil, failed
			}
			peer = nil
			return t.await(ctx, direct)
		case <-timer.C:
			ask()
		case <-ctx.Done():
			closeLater(direct)
			closeLater(peer)
			return nil, eris.Wrap(context.Cause(ctx), "connect")
		}
	}
}

// await waits for the dial after no peer has helped.
func (t *Table) await(ctx context.Context, direct chan dialed) (net.Conn, error) {
	select {
	case d := <-direct:
		return d.conn, d.err
	case <-ctx.Done():
		closeLater(direct)
		return nil, eris.Wrap(context.Cause(ctx), "connect")
	}
}

// closeLater closes the connection that is not used, once it is known whether there is one.
func closeLater(from chan dialed) {
	if from == nil {
		return
	}
	go func() {
		if d := <-from; d.conn != nil {
			_ = d.conn.Close()
		}
	}()
}

// DialOwn connects over this VM's own link only, for what must not come from another VM. A failure starts a check of the
// link.
func (t *Table) DialOwn(ctx context.Context, tgt Target) (net.Conn, error) {
	c, err := t.dial(ctx, tgt)
	if err != nil {
		t.Suspect(tgt)
	}
	return c, err
}

// dial dials a target over this VM's own link and records the result. It ends within DialTimeout.
func (t *Table) dial(ctx context.Context, tgt Target) (net.Conn, error) {
	began := clock.Now()
	c, err := sockets.Dialer(t.DialTimeout).DialContext(ctx, "tcp", tgt.Addr)
	switch {
	case err == nil && !t.Lost(tgt.ID): // a lost link has to pass a probe
		t.dialSucceeded(tgt)
	case err == nil:
	case ctx.Err() == nil:
		t.dialFailed(tgt, began)
	}
	return c, err
}

// probe dials a target and waits whether the connection is reset. The caller closes the connection.
func (t *Table) probe(ctx context.Context, tgt Target) (net.Conn, error) {
	began := clock.Now()
	c, err := sockets.Dialer(t.DialTimeout).DialContext(ctx, "tcp", tgt.Addr)
	if err == nil {
		if err = stays(c); err != nil {
			_ = c.Close()
		}
	}
	switch {
	case err == nil:
		t.dialSucceeded(tgt)
		return c, nil
	case ctx.Err() == nil:
		t.dialFailed(tgt, began)
	}
	return nil, err
}

// isRefused reports whether a dial failed because the target's host, or something before it, refused it.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
