package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/threadwall/threadwall/internal/outcome"
)

const (
	// firstBodyBytes is the memory reserved at first for a body of unknown length, in bytes. It doubles as the body grows.
	firstBodyBytes = 16 << 10
	// bodyTimeout bounds the time to read a body, so that a slow caller does not hold memory
	// for long.
	bodyTimeout = 30 * time.Second
)

// errNoBodyMemory is the error of a body for which no memory is left.
var errNoBodyMemory = errors.New("the memory for bodies is used up")

// bodyMemory is the memory that one body holds of that which all bodies share.
type bodyMemory struct {
	inUse *atomic.Int64 // by all bodies, in bytes
	limit int64         // of inUse
	held  int64         // by this body
}

// hold sets the memory of the body, and reports whether there is enough. Otherwise nothing changes.
func (m *bodyMemory) hold(bytes int64) bool {
	more := bytes - m.held
	if m.inUse.Add(more) > m.limit && more > 0 {
		m.inUse.Add(-more)
		return false
	}
	m.held = bytes
	return true
}

func (m *bodyMemory) release() { m.hold(0) }

// readBody reads the whole body, within the memory that the bodies of all calls share.
func (r *run) readBody(limit int64) (release func(), refusal *outcome.Error) {
	memory := &bodyMemory{inUse: &r.f.bodyBytes, limit: r.f.Tuning.MaxBodyMemory}
	length := r.req.ContentLength
	if length == 0 {
		return memory.release, nil
	}
	if limit > 0 && length > limit {
		return memory.release, tooLarge(limit)
	}
	if limit <= 0 {
		limit = r.f.Tuning.MaxBodyMemory
	}
	ctl := http.NewResponseController(r.w)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout)) // a connection that does not support deadlines is read without one
	body, err := readAll(http.MaxBytesReader(r.w, r.req.Body, limit), length, memory)
	_ = ctl.SetReadDeadline(time.Time{})
	var exceeded *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		return memory.release, outcome.New(outcome.NotRun, outcome.CodeOverloaded, "read", "caller", "the bodies of other calls use up this VM's memory for bodies").After(vmRetryAfter)
	case errors.As(err, &exceeded):
		return memory.release, tooLarge(limit)
	case err != nil:
		return memory.release, outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "read", "caller", "the body could not be read")
	}
	r.body = body
	return memory.release, nil
}

func tooLarge(limit int64) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeTooLarge, "read", "caller", "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
}

// readAll reads a body of the given length; negative: it is not known. It reserves memory before it allocates any.
func readAll(from io.Reader, length int64, memory *bodyMemory) ([]byte, error) {
	if length < 0 {
		return readGrowing(from, memory)
	}
	if !memory.hold(length) {
		return nil, errNoBodyMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// readGrowing reads a body of unknown length.
func readGrowing(from io.Reader, memory *bodyMemory) ([]byte, error) {
	if !memory.hold(firstBodyBytes) {
		return nil, errNoBodyMemory
	}
	body := make([]byte, 0, firstBodyBytes)
	for {
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		if !memory.hold(2 * int64(cap(body))) {
			return nil, errNoBodyMemory
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}
