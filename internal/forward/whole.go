package forward

import (
	"errors"
	"net/http"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
)

// bufferBytes is the largest response that is read completely before any of it is passed on, in
// bytes. If it breaks off, another attempt can still replace it.
const bufferBytes = 512 << 10

// onPart passes on a part of a response that is not an event stream.
func (t *attempt) onPart(a *arrival) *outcome.Error {
	if !t.responded {
		t.onFirstPart(a)
	}
	if err := t.write(a.part); err != nil {
		return t.callerGone(err)
	}
	return nil
}

// onFirstPart begins a response that is not an event stream.
func (t *attempt) onFirstPart(a *arrival) {
	r := t.r
	t.stall.stop()
	t.firstOutput()
	r.keep(t)
	r.progress.observe(clock.Now())
	length := unknownLength
	if !a.more && r.req.Method != http.MethodHead {
		length = len(a.part)
	}
	r.writeHead(t.head, length)
	if !a.more {
		// The target has finished, while the caller may read slowly.
		t.work.End()
		t.c.admission.Release()
	}
}

// brokenResponse returns the error of a response that ended before it was complete.
func (t *attempt) brokenResponse(err error) *outcome.Error {
	return t.classify(outcome.Wrap(err, outcome.Unknown, outcome.CodeStreamBroken, "relay", string(t.c.target.ID), "the replica's response broke off"))
}

func (t *attempt) callerGone(err error) *outcome.Error {
	return outcome.Wrap(errors.Join(errCallerGone, err), outcome.Ran, outcome.CodeStreamBroken, "deliver", "caller", "the response could not be delivered to the caller")
}
