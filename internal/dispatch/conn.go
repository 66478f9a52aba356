package dispatch

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/relay"
	"github.com/threadwall/threadwall/internal/routing"
)

// conn is one connection to a target, watched for silence. Two rules end it:
//
//   - before the first event, a target may be busy with a queue, so silence alone
//     is no reason; it is given up when it is dead to membership, or silent to
//     probes and to this request for longer than the idle time;
//   - between events, silence for the idle time is reason enough. Time in which
//     the caller is slow to take events does not count.
type conn struct {
	answer *engine.Response
	cancel context.CancelFunc
	timer  *time.Timer // until the answer begins
	idle   *time.Timer // between events
}

// checkEvery is how often a waiting connection looks at membership.
const checkEvery = 500 * time.Millisecond

type opener func(context.Context, *engine.Call) (*engine.Response, error)

// open makes a connection and waits for the answer's start.
func (r *run) open(ctx context.Context, call *engine.Call, start opener) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	began := clock.Now()
	c := &conn{cancel: cancel}
	ready := make(chan struct{})
	c.timer = time.AfterFunc(checkEvery, func() {
		<-ready
		if r.givenUp(call.Target, clock.Since(began)) {
			cancel()
			return
		}
		c.timer.Reset(checkEvery)
	})
	close(ready)
	answer, err := start(ctx, call)
	if err != nil {
		c.close()
		return nil, err
	}
	c.answer = answer
	return c, nil
}

// givenUp tells whether a target that has not begun to answer won't.
func (r *run) givenUp(t ids.Target, waited time.Duration) bool {
	switch r.d.Fleet.Members.State(t, clock.Now()) {
	case routing.Dead:
		return true
	case routing.Suspect:
		return waited > r.d.IdleTimeout
	default:
		return false
	}
}

// pauseIdle stops the clock while the caller takes events.
func (c *conn) pauseIdle() {
	if c.idle != nil {
		c.idle.Stop()
	}
}

// startIdle ends the connection unless an event comes in time.
func (c *conn) startIdle(d time.Duration) {
	if c.idle != nil {
		c.idle.Reset(d)
		return
	}
	c.timer.Stop()
	c.idle = time.AfterFunc(d, c.cancel)
}

// finishTime bounds waiting for the end of a connection whose answer is complete.
const finishTime = 100 * time.Millisecond

// finish reads the end of a complete answer, so that the connection can be used
// again: one closed before its end is not, and the next request would dial.
func (c *conn) finish(in *relay.Reader) {
	c.startIdle(finishTime)
	_, _ = in.Next()
}

func (c *conn) close() {
	c.timer.Stop()
	c.pauseIdle()
	c.cancel()
	if c.answer != nil {
		_ = c.answer.Body.Close()
	}
}
