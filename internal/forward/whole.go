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

// bufferBytes is the longest answer that is read whole before any of it is passed
// on, in bytes. A failure within it can still be mended by another attempt.
const bufferBytes = 512 << 10

// relayBuffered passes on an answer that is no stream of events.
func (t *try) relayBuffered(a *upstream.Answer) *outcome.Error {
	limit, release := t.r.bufferFor(a.Length())
	defer release()
	var buf bytes.Buffer
	if a.Length() >= 0 {
		buf.Grow(int(limit) + bytes.MinRead) // it would double its room otherwise
	}
	n, err := io.CopyN(&buf, a.Body, limit)
	if err != nil && !errors.Is(err, io.EOF) {
		return t.brokenAnswer(err)
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
		// The target is done, however long the caller takes to read.
		a.Close()
		t.work.End()
		t.c.pass.End()
	}
	if err := t.write(buf.Bytes()); err != nil {
		return t.callerGone(err)
	}
	if n < limit {
		return nil
	}
	return t.relayRest(a)
}

// relayRest passes on what lies beyond wholeBytes, as it comes.
func (t *try) relayRest(a *upstream.Answer) *outcome.Error {
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
			return t.brokenAnswer(err)
		}
	}
}

// brokenAnswer types an answer that ended before it was whole.
func (t *try) brokenAnswer(err error) *outcome.Error {
	return t.classify(outcome.Wrap(err, outcome.Unknown, outcome.CodeStreamBroken, "relay", string(t.c.target.ID), "the replica's answer broke off"))
}

func (t *try) callerGone(err error) *outcome.Error {
	return outcome.Wrap(errors.Join(errCallerGone, err), outcome.Ran, outcome.CodeStreamBroken, "deliver", "caller", "the caller is gone")
}
