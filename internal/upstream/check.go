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

// ClosedByReplica tells whether an exchange failed since the replica's side of the connection ended,
// not since its bytes made no sense or this side gave up.
func ClosedByReplica(err error) bool {
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
	return check(ctx, func() quarantine.Liveness {
		if c.pool(to.ID).sound() {
			return quarantine.Listening
		}
		return dial(ctx, c.DialTimeout, to.Addr)
	})
}

// CheckAddr finds out by dialling whether a replica still listens.
func CheckAddr(ctx context.Context, timeout time.Duration, addr string) quarantine.Liveness {
	return check(ctx, func() quarantine.Liveness { return dial(ctx, timeout, addr) })
}

func check(ctx context.Context, look func() quarantine.Liveness) quarantine.Liveness {
	state := quarantine.Unknown
	for _, pause := range checkPauses {
		if !timing.Sleep(ctx, pause) {
			return state
		}
		if state = look(); state == quarantine.Ended {
			return state
		}
	}
	return state
}

func dial(ctx context.Context, timeout time.Duration, addr string) quarantine.Liveness {
	conn, err := sockets.Dialer(timeout).DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = conn.Close()
		return quarantine.Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.Ended
	default:
		return quarantine.Unknown
	}
}
