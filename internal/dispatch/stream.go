package dispatch

import (
	"bytes"
	"context"
	"errors"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/relay"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/upstream"
)

// errCallerGone means that a write to the caller failed.
var errCallerGone = errors.New("the caller has disconnected or stopped reading")

// stream relays the events of one attempt to the caller.
type stream struct {
	r        *run
	call     *engine.Call
	conn     *conn
	verifier *relay.Verifier
	work     *loadview.Work
	begun    bool // an event of this attempt was forwarded
	resumes  int
	// standby stands by while the connection is idle; nil: it is not.
	standby *standby
	// newStandby returns what looks for a standby once the connection has been idle for the timeout. Nil: the connection is
	// closed then.
	newStandby func() *standby
}

// send sends the call and relays the response, with up to maxResumes resumes.
func (r *run) send(ctx context.Context, call *engine.Call, c choice, work *loadview.Work) error {
	cn, err := r.open(ctx, call, r.d.Engine.Start)
	if err != nil {
		r.closedByTarget = upstream.ClosedByReplica(err)
		return err
	}
	if !r.p.Stream {
		defer cn.close()
		err = r.relayBuffered(call, cn.response, work)
		r.closedByTarget = upstream.ClosedByReplica(err)
		return err
	}
	s := &stream{r: r, call: call, conn: cn, verifier: relay.NewVerifier(call.Attempt), work: work}
	s.newStandby = func() *standby { return s.prepareStandby(ctx, c) }
	err = s.relay()
	r.closedByTarget = upstream.ClosedByReplica(err) // before the resumes, whose errors may hide how the connection ended
	defer s.closeStandby()
	for err != nil && !errors.Is(err, errCallerGone) {
		switch found := s.endStandby(); {
		case found.conn != nil:
			s.conn = found.conn
			err = s.relay()
		case !found.leave && s.mayResume(ctx, err, c):
			err = s.resume(ctx)
		default:
			return err
		}
	}
	return err
}

// relayBuffered delivers a response that is not streamed.
func (r *run) relayBuffered(call *engine.Call, a *engine.Response, work *loadview.Work) error {
	defer func() { _ = a.Body.Close() }()
	body, err := engine.ReadFull(a, call)
	if err != nil {
		return err
	}
	work.FirstToken()
	if u, ok := engine.UsageOf(body); ok {
		r.observeUsage(call, a, u)
	}
	r.started = true
	body = bytes.ReplaceAll(body, []byte(call.Attempt), []byte(r.p.Request))
	if err := r.sink.Response(call.Target, body); err != nil {
		return callerGoneError(err)
	}
	return nil
}

// callerGoneError returns the error of an attempt whose caller has disconnected.
func callerGoneError(err error) error {
	return outcome.Wrap(errors.Join(errCallerGone, err), outcome.Ran, outcome.CodeStreamBroken, "deliver", "caller", "the caller has disconnected or stopped reading")
}

// relay forwards events until the stream is complete or broken. Before it waits for a
// further event, it flushes the earlier ones and starts the idle timer.
func (s *stream) relay() error {
	defer s.conn.close()
	in := relay.NewReader(s.conn.response.Body)
	received := false // an event has arrived since the last flush
	for {
		if received && !in.Buffered() {
			received = false
			if err := s.flush(); err != nil {
				return err
			}
			s.startIdle()
		}
		ev, err := in.Next()
		if err != nil {
			return s.brokenError(err)
		}
		verdict, err := s.verifier.Accept(ev)
		if err != nil {
			return s.brokenError(err)
		}
		if verdict == relay.Duplicate {
			continue // it tells the caller nothing: the idle timer goes on
		}
		received = true
		s.pauseIdle()
		s.conn.response.Pin()
		if err := s.forward(ev, verdict); err != nil {
			return err
		}
		s.conn.response.Used(len(ev.Data))
		if verdict == relay.Done {
			err := s.flush()
			s.conn.finish(in)
			return err
		}
	}
}

// forward passes a verified event to the sink. It replaces the attempt's id with the
// request's, so that the response's id stays the same over all attempts.
func (s *stream) forward(ev relay.Event, v relay.Verdict) error {
	r := s.r
	if !s.begun {
		s.begun = true
		s.work.FirstToken()
	}
	if !r.started {
		r.started = true
		r.sink.Start(s.call.Target)
	}
	if v == relay.Forward {
		if u, ok := engine.UsageOf(ev.Data); ok {
			r.observeUsage(s.call, s.conn.response, u)
			if !r.p.wantUsage && bytes.Contains(ev.Data, []byte(`"choices":[]`)) {
				return nil // this event has only the usage, which the caller did not ask for
			}
		}
		if r.p.Template.Continue {
			r.text.add(ev.Data)
		}
	}
	r.d.Stats.Events.Add(1)
	data := bytes.ReplaceAll(ev.Data, []byte(s.call.Attempt), []byte(r.p.Request))
	if err := r.sink.Event(data); err != nil {
		return callerGoneError(err)
	}
	return nil
}

func (s *stream) flush() error {
	if err := s.r.sink.Flush(); err != nil {
		return callerGoneError(err)
	}
	return nil
}

func (s *stream) brokenError(err error) error {
	return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "relay", string(s.call.Target), "the target's response is incomplete or invalid")
}

// mayResume reports whether the same target may be asked for the rest of the stream. If
// so, it has taken the resume out of the retry budget.
func (s *stream) mayResume(ctx context.Context, err error, c choice) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return false
	}
	return s.resumable(c) && s.takeResume()
}

// resumable reports whether the target can tell the rest of the stream from the part that was received.
func (s *stream) resumable(c choice) bool {
	sameIncarnation := s.conn.response.Incarnation == c.target.Incarnation || c.target.Incarnation == 0
	return s.verifier.Numbered() && sameIncarnation
}

// takeResume takes one of the attempt's resumes, and its retry out of the retry budget.
func (s *stream) takeResume() bool {
	if s.resumes >= maxResumes || !s.r.d.Budget.Withdraw() {
		return false
	}
	s.resumes++
	return true
}

// resume continues the attempt's stream after the last verified event.
func (s *stream) resume(ctx context.Context) error {
	cn, err := s.openRest(ctx, s.verifier.Last(), s.conn.response.Incarnation)
	if err != nil {
		return err
	}
	s.conn = cn
	return s.relay()
}

// openRest asks the target's incarnation for the events after the one with the given number.
func (s *stream) openRest(ctx context.Context, after uint64, incarnation ids.Incarnation) (*conn, error) {
	s.r.d.Stats.Resumes.Add(1)
	s.r.d.Events.Record(timeline.Event{
		Kind: timeline.KindAttempt, Request: s.r.p.Request, Attempt: s.call.Attempt,
		Peer: string(s.call.Target), Text: "resume",
	}, nil)
	cn, err := s.r.open(ctx, s.call, func(ctx context.Context, call *engine.Call) (*engine.Response, error) {
		return s.r.d.Engine.Resume(ctx, call, after)
	})
	if err != nil {
		return nil, resumeError(err, s.call)
	}
	if cn.response.Incarnation != incarnation {
		cn.close()
		return nil, outcome.New(outcome.Unknown, outcome.CodeUpstream, "resume", string(s.call.Target), "the target has restarted and lost the response")
	}
	return cn, nil
}

// resumeError returns the error of a failed resume. A StatusError here means that the
// target no longer holds the response, not that the caller's request is invalid, so
// another target may still continue it.
func resumeError(err error, call *engine.Call) error {
	var refused *engine.StatusError
	if errors.As(err, &refused) {
		return outcome.New(outcome.Unknown, outcome.CodeUpstream, "resume", string(call.Target), "the target no longer holds the response")
	}
	return err
}
