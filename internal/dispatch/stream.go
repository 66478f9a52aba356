package dispatch

import (
	"bytes"
	"context"
	"errors"

	"github.com/threadwall/threadwall/internal/engine"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/relay"
	"github.com/threadwall/threadwall/internal/timeline"
	"github.com/threadwall/threadwall/internal/upstream"
)

// errCallerGone means that the caller's connection took no more.
var errCallerGone = errors.New("the caller is gone")

// stream is one attempt's stream on its way to the caller.
type stream struct {
	r        *run
	call     *engine.Call
	conn     *conn
	verifier *relay.Verifier
	work     *loadview.Work
	begun    bool // an event of this attempt was passed on
}

// send runs one attempt to its end.
func (r *run) send(ctx context.Context, call *engine.Call, c choice, work *loadview.Work) error {
	cn, err := r.open(ctx, call, r.d.Engine.Start)
	if err != nil {
		r.hungUp = upstream.ClosedByReplica(err)
		return err
	}
	if !r.p.Stream {
		defer cn.close()
		err = r.whole(call, cn.answer, work)
		r.hungUp = upstream.ClosedByReplica(err)
		return err
	}
	s := &stream{r: r, call: call, conn: cn, verifier: relay.NewVerifier(call.Attempt), work: work}
	err = s.relay()
	r.hungUp = upstream.ClosedByReplica(err) // a resume that fails says less of how it ended
	for resumes := 0; err != nil && resumes < maxResumes && s.mayResume(ctx, err, c); resumes++ {
		err = s.resume(ctx)
	}
	return err
}

// whole delivers an answer that is not streamed.
func (r *run) whole(call *engine.Call, a *engine.Response, work *loadview.Work) error {
	defer func() { _ = a.Body.Close() }()
	body, err := engine.ReadFull(a, call)
	if err != nil {
		return err
	}
	work.FirstToken()
	if u, ok := engine.UsageOf(body); ok {
		r.answered(call, a, u)
	}
	r.started = true
	body = bytes.ReplaceAll(body, []byte(call.Attempt), []byte(r.p.Request))
	if err := r.sink.Response(call.Target, body); err != nil {
		return callerGone(err)
	}
	return nil
}

// callerGone types the caller's leaving.
func callerGone(err error) error {
	return outcome.Wrap(errors.Join(errCallerGone, err), outcome.Ran, outcome.CodeStreamBroken, "deliver", "caller", "the caller is gone")
}

// relay passes events on until the stream is complete or broken. Whenever it waits for
// the next event it has flushed what came before, and the target's silence is timed.
func (s *stream) relay() error {
	defer s.conn.close()
	in := relay.NewReader(s.conn.answer.Body)
	heard := false // something has come since the last wait
	for {
		if heard && !in.Buffered() {
			heard = false
			if err := s.flush(); err != nil {
				return err
			}
			s.conn.startIdle(s.r.d.IdleTimeout)
		}
		ev, err := in.Next()
		if err != nil {
			return s.broken(err)
		}
		heard = true
		s.conn.pauseIdle()
		verdict, err := s.verifier.Accept(ev)
		if err != nil {
			return s.broken(err)
		}
		if verdict == relay.Duplicate {
			continue
		}
		if err := s.pass(ev, verdict); err != nil {
			return err
		}
		if verdict == relay.Done {
			err := s.flush()
			s.conn.finish(in)
			return err
		}
	}
}

// pass hands one good event to the caller. The attempt's id in it becomes the
// request's: the caller sees one answer whichever attempt it came from.
func (s *stream) pass(ev relay.Event, v relay.Verdict) error {
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
			r.answered(s.call, s.conn.answer, u)
			if !r.p.wantUsage && bytes.Contains(ev.Data, []byte(`"choices":[]`)) {
				return nil
			}
		}
		if r.p.Template.Continue {
			r.text.add(ev.Data)
		}
	}
	r.d.Stats.Events.Add(1)
	data := bytes.ReplaceAll(ev.Data, []byte(s.call.Attempt), []byte(r.p.Request))
	if err := r.sink.Event(data); err != nil {
		return callerGone(err)
	}
	return nil
}

func (s *stream) flush() error {
	if err := s.r.sink.Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

func (s *stream) broken(err error) error {
	return outcome.Wrap(err, outcome.Unknown, outcome.CodeUpstream, "relay", string(s.call.Target), "the target's stream broke")
}

// mayResume decides whether the same target is asked for the rest.
func (s *stream) mayResume(ctx context.Context, err error, c choice) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return false
	}
	sameLife := s.conn.answer.Incarnation == c.target.Incarnation || c.target.Incarnation == 0
	return s.verifier.Numbered() && sameLife && s.r.d.Budget.Withdraw()
}

// resume continues the attempt's stream behind the last event passed on.
func (s *stream) resume(ctx context.Context) error {
	s.r.d.Stats.Resumes.Add(1)
	s.r.d.Events.Record(timeline.Event{
		Kind: timeline.KindAttempt, Request: s.r.p.Request, Attempt: s.call.Attempt,
		Peer: string(s.call.Target), Text: "resume",
	}, nil)
	life := s.conn.answer.Incarnation
	after := s.verifier.Last()
	cn, err := s.r.open(ctx, s.call, func(ctx context.Context, call *engine.Call) (*engine.Response, error) {
		return s.r.d.Engine.Resume(ctx, call, after)
	})
	if err != nil {
		return resumeError(err, s.call)
	}
	if cn.answer.Incarnation != life {
		cn.close()
		return outcome.New(outcome.Unknown, outcome.CodeUpstream, "resume", string(s.call.Target), "the target has restarted and lost the answer")
	}
	s.conn = cn
	return s.relay()
}

// resumeError types a failed resume. That a target has forgotten the answer is no
// word about the caller's request, which another target may still continue.
func resumeError(err error, call *engine.Call) error {
	var refused *engine.CallerError
	if errors.As(err, &refused) {
		return outcome.New(outcome.Unknown, outcome.CodeUpstream, "resume", string(call.Target), "the target does not know the answer any more")
	}
	return err
}
