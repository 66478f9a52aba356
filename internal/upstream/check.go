package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/timing"
)

// HungUp tells whether an exchange failed since the replica's side of the connection ended,
// not since its bytes made no sense or this side gave up.
func HungUp(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkPauses are the times before each look at a replica whose connection broke. A process
// that dies may close its connections some milliseconds before its listener; only one that
// still listens after the second look has survived.
var checkPauses = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond}

// Check finds out whether a replica still listens, by the connections to it that are idle
// here or else by dialling. A replica that survived costs two dials at most.
func (c *Client) Check(ctx context.Context, to Replica) quarantine.Liveness {
	state := quarantine.Unknown
	for _, pause := range checkPauses {
		if !timing.Sleep(ctx, pause) {
			return state
		}
		state = c.look(ctx, to)
		if state == quarantine.Ended {
			return state
		}
	}
	return state
}

func (c *Client) look(ctx context.Context, to Replica) quarantine.Liveness {
	if p := c.pool(to.ID); p.sound() {
		return quarantine.Listens
	}
	return Dial(ctx, c.DialTimeout, to.Addr)
}

// Dial looks whether anything listens at an address.
func Dial(ctx context.Context, timeout time.Duration, addr string) quarantine.Liveness {
	conn, err := sockets.Dialer(timeout).DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = conn.Close()
		return quarantine.Listens
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.Ended
	default:
		return quarantine.Unknown
	}
}
