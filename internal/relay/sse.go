// Package relay parses the server-sent events of a target's response and verifies that the
// stream is complete: that no event is missing, duplicated or from another response.
package relay

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// readBuffer bounds the read-ahead, in bytes. It is the only buffer between target and
// caller, so a slow caller applies back-pressure to the target.
const readBuffer = 16 << 10

// maxEventBytes bounds the size of one event, in bytes.
const maxEventBytes = 1 << 20

// Event is one server-sent event. Data is valid until the next call of Next.
type Event struct {
	ID    uint64 // zero if the event has no number
	Data  []byte
	Error bool // the type of the event is "error"
}

// Reader parses server-sent events. It is not safe for concurrent use.
type Reader struct {
	r    *bufio.Reader
	data []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBuffer)} }

// Buffered reports whether a complete event is buffered, so that Next returns without
// reading from the connection. A partial event does not count, since its remainder may take
// long to arrive.
func (r *Reader) Buffered() bool { return holdsEvent(r.r) }

// holdsEvent reports whether r has a complete event in its buffer. It returns false if the next
// event is longer than the buffer.
func holdsEvent(r *bufio.Reader) bool {
	held, _ := r.Peek(r.Buffered())
	something := false // in the current block
	for {
		line, rest, found := bytes.Cut(held, newline)
		if !found {
			return false
		}
		line = bytes.TrimSuffix(line, carriageReturn)
		if len(line) == 0 && something {
			return true
		}
		something = something || saysSomething(line)
		held = rest
	}
}

var newline, carriageReturn = []byte("\n"), []byte("\r")

// saysSomething reports whether a line makes its block an event: blocks of comments, and of types without data, tell the caller
// nothing, and targets may send any number of them.
func saysSomething(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data", "id":
		return true
	case "event":
		return string(bytes.TrimPrefix(value, []byte(" "))) == errorType
	default:
		return false
	}
}

// errorType is the type of an event that says that the target has failed.
const errorType = "error"

// Next returns the next event, without the blocks before it that say nothing (saysSomething). It returns io.EOF only between events, io.ErrUnexpectedEOF if the
// input ends within an event, and another error if reading fails, an event is longer than
// maxEventBytes or its id is not a number.
func (r *Reader) Next() (Event, error) {
	if cap(r.data) > keptBytes {
		r.data = nil
	}
	r.data = r.data[:0]
	var ev Event
	started, something := false, false // the current block has a line; one that makes it an event
	for {
		line, err := r.line()
		if err == io.EOF && started {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 && something {
			ev.Data = r.data
			return ev, nil
		}
		started = len(line) > 0
		something = something || saysSomething(line)
		if !started {
			continue
		}
		if err := r.field(&ev, line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) field(ev *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(r.data)+len(value) > maxEventBytes {
			return eris.New("read event stream: event exceeds the size limit")
		}
		if len(r.data) > 0 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return eris.Errorf("read event stream: event id %q is not a number", value)
		}
		ev.ID = id
	case "event":
		ev.Error = string(value) == errorType
	}
	return nil
}

// line returns one line without its line ending. The slice is valid until the next read.
func (r *Reader) line() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	if err != nil {
		if err == io.EOF && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (r *Reader) longLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= maxEventBytes {
		more, err := r.r.ReadSlice('\n')
		long = append(long, more...)
		if err != bufio.ErrBufferFull {
			return long, err
		}
	}
	return nil, eris.New("read event stream: line exceeds the size limit")
}
