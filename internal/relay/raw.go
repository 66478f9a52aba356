package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// RawEvent is one server-sent event. Raw holds its bytes as received, with comments before it and the blank line that
// ends it, and is valid until the next call of Next. ID is set if Numbered is true.
type RawEvent struct {
	Raw      []byte
	ID       uint64
	Numbered bool
	// Empty marks blocks that say nothing to the caller, at the end of a stream: they are no event, but a part of its bytes.
	Empty bool
	// something reports whether a line says anything to the caller.
	something bool
}

// RawReader splits a stream into complete events without changing their bytes. It is not safe
// for concurrent use.
type RawReader struct {
	r   *bufio.Reader
	raw []byte
}

// NewRawReader returns a RawReader that reads from r.
func NewRawReader(r io.Reader) *RawReader {
	return &RawReader{r: bufio.NewReaderSize(r, rawBuffer)}
}

// rawBuffer is the size of the read buffer in bytes, enough for several events.
const rawBuffer = 4 << 10

// keptBytes is the largest buffer of an event that is kept for the next one, in bytes.
const keptBytes = 16 << 10

// Buffered reports whether a complete event is buffered, as Reader.Buffered does.
func (r *RawReader) Buffered() bool { return holdsEvent(r.r) }

// Next returns the next complete event. Blocks that say nothing (saysSomething) are returned with the event that follows; those after
// the last event are returned by themselves, marked as Empty. Next returns io.EOF only between events, io.ErrUnexpectedEOF if the input ends within
// an event, and another error if reading fails, an event is longer than maxEventBytes or its id is not a number.
func (r *RawReader) Next() (RawEvent, error) {
	if cap(r.raw) > keptBytes {
		r.raw = nil
	}
	r.raw = r.raw[:0]
	var ev RawEvent
	block := 0 // start of the current block in raw
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			return r.end(err, len(r.raw) == block)
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		switch {
		case len(line) > 0:
			if err := ev.field(line); err != nil {
				return RawEvent{}, err
			}
		case ev.something:
			ev.Raw = r.raw
			return ev, nil
		case block == start:
			r.raw = r.raw[:start] // a blank line before an event
		default:
			block = len(r.raw)
		}
	}
}

// end returns what Next returns when reading has failed. betweenBlocks states that no block has begun.
func (r *RawReader) end(err error, betweenBlocks bool) (RawEvent, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(r.raw) == 0:
		return RawEvent{}, err
	case !betweenBlocks:
		return RawEvent{}, io.ErrUnexpectedEOF
	default:
		return RawEvent{Raw: r.raw, Empty: true}, nil
	}
}

func (ev *RawEvent) field(line []byte) error {
	ev.something = ev.something || saysSomething(line)
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "id" {
		return nil
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return eris.Errorf("read event stream: event id %q is not a number", value)
	}
	ev.ID, ev.Numbered = id, true
	return nil
}

// line appends one line, with its line ending, to raw.
func (r *RawReader) line() error {
	for {
		part, err := r.r.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventBytes {
			return eris.New("read event stream: event exceeds the size limit")
		}
		if err == nil {
			return nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return err
	}
}
