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

// conn is one connection to a target. It is closed if the target stops responding:
//
//   - Before the first event, a target may be busy with its queue, so the lack of
//     data alone does not close the connection. It is closed when membership has
//     declared the target dead, or when the target is suspect (it does not answer
//     probes) and the idle timeout has passed since the attempt or resume began.
//   - Between events, the idle timeout closes it once the rest of the stream comes from
//     elsewhere (standby). Time that the caller takes to read events does not count.
//
// A target that is only suspect is left only when the retry at another one has been reserved.
type conn struct {
	response   *engine.Response
	cancel     context.CancelFunc
	stateTimer *time.Timer // membership checks, until startIdle is first called
	idleTimer  *time.Timer // between events; nil: startIdle has not been called
}

// stateCheckInterval is how often a connection that awaits its first event reads the
// target's membership state.
const stateCheckInterval = 500 * time.Millisecond

// opener sends a call, or asks for the rest of its response, and returns the response
// once the head has arrived.
type opener func(context.Context, *engine.Call) (*engine.Response, error)

// open sends the call and waits for the head of the response.
func (r *run) open(ctx context.Context, call *engine.Call, start opener) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	began := clock.Now()
	c, started := &conn{cancel: cancel}, r.started
	ready := make(chan struct{}) // closed once c.stateTimer is set
	c.stateTimer = time.AfterFunc(stateCheckInterval, func() {
		<-ready
		if r.mayLeave(call.Target, clock.Since(began), started) {
			cancel()
			return
		}
		c.stateTimer.Reset(stateCheckInterval)
	})
	close(ready)
	response, err := start(ctx, call)
	if err != nil {
		c.close()
		return nil, err
	}
	c.response = response
	return c, nil
}

// mayLeave reports whether to stop waiting for the first event of a target, given the time waited so far. If the target
// may still respond, it has reserved the retry at another one.
func (r *run) mayLeave(t ids.Target, waited time.Duration, started bool) bool {
	switch r.d.Fleet.Members.State(t, clock.Now()) {
	case routing.Dead:
		return true
	case routing.Suspect:
		return waited > r.d.IdleTimeout && r.reserve(t, started)
	default:
		return false
	}
}

// pauseIdle stops the idle timer while events are written to the caller. It returns false if the timer has expired.
func (c *conn) pauseIdle() bool { return c.idleTimer == nil || c.idleTimer.Stop() }

// startIdle calls f, in a goroutine of its own, unless pauseIdle is called within d.
func (c *conn) startIdle(d time.Duration, f func()) {
	c.stateTimer.Stop()
	c.pauseIdle()
	c.idleTimer = time.AfterFunc(d, f)
}

// finishTimeout bounds the wait for the end of a body whose stream is complete.
const finishTimeout = 100 * time.Millisecond

// finish reads to the end of a complete response, so that the connection can be
// reused. A body closed before its end closes the connection, and the next request
// would have to dial.
func (c *conn) finish(in *relay.Reader) {
	c.startIdle(finishTimeout, c.cancel)
	_, _ = in.Next()
}

func (c *conn) close() {
	c.stateTimer.Stop()
	c.pauseIdle()
	c.cancel()
	if c.response != nil {
		_ = c.response.Body.Close()
	}
}
