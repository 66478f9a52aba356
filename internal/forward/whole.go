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

// wholeBytes is the longest answer that is read whole before any of it is passed
// on, in bytes. A failure within it can still be mended by another attempt.
const wholeBytes = 512 << 10

// whole passes on an answer that is no stream of events.
func (t *try) whole(a *upstream.Answer) *outcome.Error {
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, a.Body, wholeBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return t.broken(err)
	}
	t.stall.stop()
	t.started()
	r := t.r
	r.progress.event(clock.Now())
	length := unknownLength
	if n < wholeBytes && r.req.Method != http.MethodHead {
		length = buf.Len()
	}
	r.passHead(a, length)
	if _, err := r.w.Write(buf.Bytes()); err != nil {
		return t.callerGone(err)
	}
	if n < wholeBytes {
		return nil
	}
	return t.rest(a)
}

// rest passes on what lies beyond wholeBytes, as it comes.
func (t *try) rest(a *upstream.Answer) *outcome.Error {
	from := &sourceReader{r: a.Body}
	if _, err := io.Copy(t.r.w, from); err != nil {
		if from.err != nil {
			return t.broken(from.err)
		}
		return t.callerGone(err)
	}
	return nil
}

// sourceReader remembers on which side a copy failed.
type sourceReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// broken types an answer that ended before it was whole.
func (t *try) broken(err error) *outcome.Error {
	return t.typed(outcome.Wrap(err, outcome.Unknown, outcome.CodeStreamBroken, "relay", string(t.c.target.ID), "the replica's answer broke off"))
}

func (t *try) callerGone(err error) *outcome.Error {
	return outcome.Wrap(errors.Join(errCallerGone, err), outcome.Ran, outcome.CodeStreamBroken, "deliver", "caller", "the caller is gone")
}
