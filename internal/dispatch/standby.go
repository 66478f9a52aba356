package dispatch

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/timing"
)

// A target that has sent nothing for the idle timeout may have hung, or go on in a moment. Its connection is kept until the rest of the
// stream has begun to arrive over another one, or until the retry at another target has been reserved.

// standby looks for what replaces an idle connection.
type standby struct {
	parent context.Context // of the attempt
	ctx    context.Context
	cancel context.CancelFunc // ends the search
	phase  atomic.Int32
	done   chan struct{} // closed when a search that has begun has ended
	broken atomic.Bool   // the idle connection has broken, so the search ends with what is under way
	idle   *conn
	found  replacement // valid once done is closed
	// What the rest of the stream is asked for with.
	after       uint64
	incarnation ids.Incarnation
	resumable   bool
}

// Phases of a standby: the connection is not idle for long enough yet, the search has begun, or it never will.
const (
	standbyWaits int32 = iota
	standbySearches
	standbyDropped
)

// replacement is what replaces a connection; the zero value: nothing does.
type replacement struct {
	conn  *conn // over which the rest of the stream has begun to arrive
	leave bool  // the retry at another target has been reserved
}

// prepareStandby returns a standby for the present connection. ctx is that of the attempt.
func (s *stream) prepareStandby(ctx context.Context, c choice) *standby {
	sb := &standby{
		parent: ctx, done: make(chan struct{}), idle: s.conn,
		after: s.verifier.Last(), incarnation: s.conn.response.Incarnation, resumable: s.resumable(c),
	}
	sb.ctx, sb.cancel = context.WithCancel(ctx)
	return sb
}

// drop ends the standby if its search has not begun. Otherwise it returns false.
func (sb *standby) drop() bool {
	if !sb.phase.CompareAndSwap(standbyWaits, standbyDropped) {
		return false
	}
	sb.cancel()
	return true
}

// startIdle starts the idle timer.
func (s *stream) startIdle() {
	if s.newStandby == nil {
		s.conn.startIdle(s.r.d.IdleTimeout, s.conn.cancel)
		return
	}
	sb := s.newStandby()
	s.standby = sb
	s.conn.startIdle(s.r.d.IdleTimeout, func() { s.search(sb) })
}

// pauseIdle stops the idle timer, and the search if it has begun. A replacement that was found in the same moment is kept, since the
// connection has been closed for it.
func (s *stream) pauseIdle() {
	s.conn.pauseIdle()
	sb := s.standby
	if sb == nil {
		return
	}
	if !sb.drop() {
		sb.cancel()
		if <-sb.done; sb.found != (replacement{}) {
			return
		}
	}
	s.standby = nil
}

// endStandby waits for a search that is under way when the connection has ended, and returns what it found.
func (s *stream) endStandby() replacement {
	sb := s.standby
	s.standby = nil
	if sb == nil || sb.drop() {
		return replacement{}
	}
	defer sb.cancel()
	sb.broken.Store(true)
	<-sb.done
	return sb.found
}

// closeStandby ends a search whose result is not wanted any more.
func (s *stream) closeStandby() {
	if s.standby == nil {
		return
	}
	s.standby.cancel()
	if found := s.endStandby(); found.conn != nil {
		found.conn.close()
	}
}

// search looks for a replacement until it has one, or until the connection goes on or breaks.
func (s *stream) search(sb *standby) {
	if !sb.phase.CompareAndSwap(standbyWaits, standbySearches) {
		return
	}
	defer close(sb.done)
	for sb.ctx.Err() == nil && !sb.broken.Load() {
		if sb.found = s.replace(sb); sb.found != (replacement{}) {
			sb.idle.cancel()
			return
		}
		if !timing.Sleep(sb.ctx, stateCheckInterval) {
			return
		}
	}
}

// replace tries once to find a replacement.
func (s *stream) replace(sb *standby) replacement {
	if sb.resumable && s.takeResume() {
		return replacement{conn: s.openStandby(sb)}
	}
	return replacement{leave: s.r.reserve(s.call.Target, true)}
}

// openStandby asks the target for the rest of the stream, and returns the connection once something has arrived over it; nil:
// nothing did.
func (s *stream) openStandby(sb *standby) *conn {
	ctx, cancel := context.WithCancel(sb.parent)
	stop := context.AfterFunc(sb.ctx, cancel)
	cn, err := s.openRest(ctx, sb.after, sb.incarnation)
	if err != nil {
		cancel()
		return nil
	}
	closeOpened := cn.cancel
	cn.cancel = func() {
		closeOpened()
		cancel()
	}
	body := bufio.NewReader(cn.response.Body)
	if _, err = body.Peek(1); err != nil || !stop() {
		cn.close()
		return nil
	}
	cn.response.Body = struct {
		io.Reader
		io.Closer
	}{body, cn.response.Body}
	return cn
}
