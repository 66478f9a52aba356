package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/upstream"
)

// bufferBytes is the largest response that is read completely before any of it is passed on, in
// bytes. If it breaks off, another attempt can still replace it.
const bufferBytes = 512 << 10

// relayBuffered passes on a response that is not an event stream.
func (t *attempt) relayBuffered(a *upstream.Response) *outcome.Error {
	limit, release := t.r.bufferFor(a.Length())
	defer release()
	var buf bytes.Buffer
	if a.Length() >= 0 {
		buf.Grow(int(limit) + bytes.MinRead) // avoids doubling the buffer
	}
	n, err := io.CopyN(&buf, a.Body, limit)
	if err != nil && !errors.Is(err, io.EOF) {
		return t.brokenResponse(err)
	}
	t.stall.stop()
	t.firstOutput()
	r := t.r
	r.progress.observe(clock.Now())
	length := unknownLength
	if n < limit && r.req.Method != http.MethodHead {
		length = buf.Len()
	}
	r.writeHead(a, length)
	if n < limit {
		// The target has finished; don't hold its slot while the caller reads.
		a.Close()
		t.work.End()
		t.c.admission.Release()
	}
	if err := t.write(buf.Bytes()); err != nil {
		return t.callerGone(err)
	}
	if n < limit {
		return nil
	}
	return t.relayRest(a)
}

// relayRest passes on the part of a response beyond the buffer, as it arrives.
func (t *attempt) relayRest(a *upstream.Response) *outcome.Error {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := a.Body.Read(chunk)
		if werr := t.write(chunk[:n]); werr != nil {
			return t.callerGone(werr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return t.brokenResponse(err)
		}
	}
}

// brokenResponse returns the error of a response that ended before it was complete.
func (t *attempt) brokenResponse(err error) *outcome.Error {
	return t.classify(outcome.Wrap(err, outcome.Unknown, outcome.CodeStreamBroken, "relay", string(t.c.target.ID), "the replica's response broke off"))
}

func (t *attempt) callerGone(err error) *outcome.Error {
	return outcome.Wrap(errors.Join(errCallerGone, err), outcome.Ran, outcome.CodeStreamBroken, "deliver", "caller", "the response could not be delivered to the caller")
}
