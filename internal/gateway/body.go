package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/threadwall/threadwall/internal/outcome"
)

const (
	// bodyTimeout bounds the read of a body, so that a caller that sends slowly does not
	// hold a request slot for long.
	bodyTimeout = 30 * time.Second
	// firstBuffer is the size of the first buffer for a body of unknown length, in bytes. Each further one is twice as large.
	firstBuffer = 16 << 10
	// bodyRetryAfter is the Retry-After of a call for whose body there is no memory.
	bodyRetryAfter = time.Second
)

var errNoMemory = errors.New("no memory for a body")

// readBody reads a body of up to limit bytes into memory of g.Bodies. The caller must call release once it is done with the body, also
// after a refusal.
func (g *Gateway) readBody(c *gin.Context, limit int64) (body []byte, release func(), refusal *outcome.Error) {
	taken := int64(0)
	release = func() { g.Bodies.Put(taken) }
	length := c.Request.ContentLength
	if length > limit {
		return nil, release, tooLarge(limit)
	}
	ctl := http.NewResponseController(c.Writer)
	_ = ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	body, err := readAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit), length, func(bytes int64) bool {
		if !g.Bodies.Take(bytes) {
			return false
		}
		taken += bytes
		return true
	})
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return nil, release, tooLarge(limit)
	case errors.Is(err, errNoMemory):
		return nil, release, outcome.New(outcome.NotRun, outcome.CodeOverloaded, "read", "caller", "the bodies of other calls use up this VM's memory for bodies").After(bodyRetryAfter)
	case err != nil:
		return nil, release, outcome.Wrap(err, outcome.NotRun, outcome.CodeBadRequest, "read", "caller", "the body could not be read")
	}
	return body, release, nil
}

func tooLarge(limit int64) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.CodeTooLarge, "read", "caller", "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
}

// readAll reads a body of the given length, in bytes; negative: it is unknown. It takes the memory of each buffer first.
func readAll(from io.Reader, length int64, take func(bytes int64) bool) ([]byte, error) {
	size := length + 1 // one more, to read the end
	if length < 0 {
		size = firstBuffer
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if !take(size) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, size), body...)
			size *= 2
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
