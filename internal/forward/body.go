package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/bodies"
	"github.com/threadwall/threadwall/internal/outcome"
)

// bodyTimeout bounds the time to read a body, so that a slow caller does not hold memory
// for long.
const bodyTimeout = 30 * time.Second

// readBody reads the whole body, within the memory that the bodies of all calls share.
func (r *run) readBody(limit int64) *outcome.Error {
	length := r.req.ContentLength
	if length == 0 {
		return nil
	}
	if limit <= 0 {
		limit = r.f.Bodies.Limit()
	}
	if limit > 0 && length > limit {
		return tooLarge(limit)
	}
	from := r.req.Body
	if limit > 0 {
		from = http.MaxBytesReader(r.w, from, limit)
	}
	ctl := http.NewResponseController(r.w)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout)) // a connection that does not support deadlines is read without one
	body, err := bodies.Read(from, length, &r.f.Bodies)
	_ = ctl.SetReadDeadline(time.Time{})
	var exceeded *http.MaxBytesError
	switch {
	case errors.Is(err, bodies.ErrNoMemory):
		return outcome.New(outcome.NotRun, outcome.CodeOverloaded, "read", "caller", "the bodies of other calls use up this VM's memory for bodies").After(vmRetryAfter)
	case errors.As(err, &exceeded):
		return tooLarge(limit)
	case err != nil:
		return outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "read", "caller", "the body could not be read")
	}
	r.body = body
	return nil
}

func tooLarge(limit int64) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeTooLarge, "read", "caller", "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
}

// releaseBody ends this call's hold on its body. Sends under way have their own.
func (r *run) releaseBody() {
	r.body.Release()
	r.body = nil
}

// releaseSentBody releases the body of a call that will not be sent again, whatever becomes of it: a replica has taken the call,
// and the route allows no other attempt, or none after the beginning of the response. The call then counts as one whose attempts
// are used up.
func (r *run) releaseSentBody() {
	if r.body == nil || r.readers > 1 || r.repeatable() && (!r.begun || r.route.Resumable) {
		return
	}
	r.bodySent = true
	r.guard.ForgetBody()
	r.releaseBody()
}
