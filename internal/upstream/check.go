package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/threadwall/threadwall/internal/links"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/sockets"
	"github.com/threadwall/threadwall/internal/timing"
)

// ClosedByReplica reports whether an exchange failed because the replica closed or reset the
// connection, as opposed to a malformed response or a cancellation on this side.
func ClosedByReplica(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkDelays are the delays before the two checks of a replica whose connection broke. A
// terminating process may close its connections some milliseconds before its listener, so a
// replica that still listens at the first check is checked again.
var checkDelays = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond}

// Check finds out whether a replica still listens. An idle connection that is still open
// suffices as proof; otherwise Check checks the link to the replica. A replica has ended only if its host
// refuses connections and this VM's own links are not the reason (links.Table.Check). A live replica costs
// at most two dials. Check blocks until both checks are done or the replica is found to have
// ended. If ctx ends before that, Check returns the result of the last check, or
// quarantine.Unknown if there was none.
func (c *Client) Check(ctx context.Context, to Replica) quarantine.Liveness {
	return check(ctx, func() quarantine.Liveness {
		if c.pool(to.ID).anyOpen() {
			return quarantine.Listening
		}
		switch c.Links.Check(ctx, links.Target{ID: to.ID, Addr: to.Addr}) {
		case links.Reachable, links.Lost:
			return quarantine.Listening
		case links.Ended:
			return quarantine.Ended
		default:
			return quarantine.Unknown
		}
	})
}

// CheckAddr does the same as Client.Check, by dialing only. timeout bounds each dial.
func CheckAddr(ctx context.Context, timeout time.Duration, addr string) quarantine.Liveness {
	return check(ctx, func() quarantine.Liveness { return dial(ctx, timeout, addr) })
}

// check calls probe after each of checkDelays, until the replica is found to have ended or ctx
// ends, and returns the last result.
func check(ctx context.Context, probe func() quarantine.Liveness) quarantine.Liveness {
	state := quarantine.Unknown
	for _, delay := range checkDelays {
		if !timing.Sleep(ctx, delay) {
			return state
		}
		if state = probe(); state == quarantine.Ended {
			return state
		}
	}
	return state
}

// dial reports a replica as ended only if the connection is refused.
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
