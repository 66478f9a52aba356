package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/upstream"
)

// A call keeps an attempt until another one has answered in its place. While its replica is silent, the call may be sent to
// another replica as well (move.go); the first of the two from which something arrives that can be passed on keeps the call,
// and the other attempt is cancelled then and not before. So whatever keeps the call from the other replica, or makes that one
// fail, leaves the call where it is. An attempt that fails while others are under way is not the end of the call.

// follow passes on what the attempts under way bring. It returns nil when the response is complete, and the last error
// when none of them is left. At the end of a shutdown's drain it returns an error if no part of a response was passed on.
func (r *run) follow(ctx context.Context) *outcome.Error {
	drainEnd := r.f.drain.end()
	for {
		select {
		case a := <-r.arrivals:
			complete, err := r.receive(a)
			switch {
			case complete:
				r.finish(ctx, a.from, nil)
				return nil
			case err == nil:
				continue
			}
			r.finish(ctx, a.from, err)
			if len(r.live) == 0 || errors.Is(err, errCallerGone) {
				return err
			}
		case t := <-r.stalls:
			r.onStall(ctx, t)
		case <-drainEnd:
			if !r.begun {
				return r.drainEnded()
			}
			drainEnd = nil // the rest may still come
		}
	}
}

// receive handles one arrival and tells its reader to go on. It reports whether the response is complete. An error is
// that of the attempt.
func (r *run) receive(a arrival) (complete bool, err *outcome.Error) {
	t := a.from
	if a.kind == arrivedEnd {
		r.readers--
		defer t.cancel(nil)
	}
	if t.ended {
		r.lateEnd(&a)
		return false, nil
	}
	switch a.kind {
	case arrivedHead:
		err = t.onHead(a.head)
	case arrivedEvent:
		err = t.onEvent(&a)
	case arrivedPart:
		err = t.onPart(&a)
		complete = err == nil && !a.more
	case arrivedEnd:
		return t.onEnd(a.err)
	}
	if a.kind != arrivedPart || a.more {
		t.proceed <- err == nil
	}
	return complete, err
}

// lateEnd records that nothing was sent by an attempt that was overtaken: then it was none, and its retry is left.
func (r *run) lateEnd(a *arrival) {
	t := a.from
	if a.kind != arrivedEnd || !t.overtaken {
		return
	}
	if e := outcome.Of(a.err); nothingSent(e) {
		r.attempts--
		r.prepaid = r.prepaid || t.paid
		r.f.Fleet.GiveBack(t.c.target.ID)
	}
}

// onHead judges the head of a response.
func (t *attempt) onHead(a *upstream.Response) *outcome.Error {
	r := t.r
	t.framed, t.via = a.Framed(), a.Via
	reply := r.f.Dialect.ReadReply(a.Status, a.Header)
	if !r.superseded(t.c) && reply.Weights != "" && reply.Weights != t.c.target.Weights && (reply.Replica == "" || reply.Replica == t.c.target.ID) {
		r.f.ObserveWeights(t.c.target.ID, reply.Weights)
	}
	t.recordSignals(&reply)
	if e := t.checkHead(a, reply); e != nil {
		return e
	}
	if r.begun && a.Status != http.StatusOK {
		// The caller already has a part of a stream, so only the rest of it may follow.
		return t.brokenResponse(&Refusal{Status: a.Status})
	}
	t.head = a
	r.releaseSentBody()
	t.streamed = r.route.Kind == streamKind && a.Status < http.StatusMultipleChoices
	if !t.streamed {
		t.limit, t.release = r.bufferFor(a.Length())
	}
	return nil
}

// onEnd handles the end of a response.
func (t *attempt) onEnd(err error) (complete bool, failure *outcome.Error) {
	if errors.Is(err, io.EOF) && t.head != nil && !t.endedBare() {
		return true, t.complete()
	}
	if t.unflushed {
		_ = t.flush() // classify detects a caller that has disconnected
	}
	if t.head == nil {
		return false, t.classify(err)
	}
	return false, t.brokenResponse(err)
}

// endedBare reports whether the response is a stream that ended with its connection before any event that could be passed on. So
// ends what a replica has begun when it crashes, and no stream that says anything; it must not end a begun stream, nor take the
// call from a replica that is silent.
func (t *attempt) endedBare() bool { return t.streamed && !t.framed && t.events == 0 }

// keep gives the call to the attempt from which something arrived that can be passed on, and cancels the others.
func (r *run) keep(t *attempt) {
	if r.via = t.via; len(r.live) == 1 {
		return
	}
	r.logMove(t)
	for _, other := range slices.Clone(r.live) {
		if other != t {
			r.overtake(other)
		}
	}
}

// overtake ends an attempt in whose place another one has answered.
func (r *run) overtake(t *attempt) {
	cause, message := errOvertaken, "another replica has answered the call first"
	if t.timedOut {
		cause, message = errStalled, "the replica sent nothing within the timeout, and another one has answered the call"
	}
	t.overtaken = true
	t.cancel(cause)
	r.finish(t.ctx, t, outcome.Wrap(cause, outcome.Unknown, outcome.CodeUpstream, "read", string(t.c.target.ID), message))
}

// finish records the outcome of an attempt, which is no longer under way. Its reader ends by itself.
func (r *run) finish(ctx context.Context, t *attempt, err *outcome.Error) {
	r.live = slices.DeleteFunc(r.live, func(live *attempt) bool { return live == t })
	t.end()
	t.work.End()
	t.release()
	r.recordOutcome(ctx, t, err)
	t.reportToGate(err)
	t.c.admission.Release()
	if err != nil && !t.overtaken && nothingSent(err) && len(r.live) > 0 {
		r.prepaid = r.prepaid || t.paid
	}
}

// endAttempts ends all attempts and waits for their readers.
func (r *run) endAttempts(ctx context.Context) {
	for _, t := range slices.Clone(r.live) {
		t.cancel(errCallerGone)
		r.finish(ctx, t, t.callerGone(context.Cause(t.ctx)))
	}
	for r.readers > 0 {
		if a := <-r.arrivals; a.kind == arrivedEnd {
			r.readers--
			a.from.cancel(nil)
		}
	}
}
