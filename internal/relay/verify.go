package relay

import (
	"bytes"
	"fmt"

	"github.com/threadwall/threadwall/internal/ids"
)

// Verdict says what to do with an event that Accept has checked.
type Verdict uint8

// The verdicts.
const (
	Forward   Verdict = iota // send it to the caller, the API client
	Duplicate                // drop it: it was forwarded before
	Done                     // the stream is complete
)

// BrokenError reports how a stream is broken. The events that were forwarded before the error are a
// correct prefix of the response. If the target numbers its events, the stream can be resumed after
// event Last.
type BrokenError struct {
	Reason string
	Last   uint64 // number of the last forwarded event
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("stream broken after event %d: %s", e.Last, e.Reason)
}

var (
	doneMark   = []byte("[DONE]")
	finishKey  = []byte(`"finish_reason":`)
	finishNull = []byte("null")
)

// Verifier checks the events of one response: each belongs to the attempt, none is missing, none
// is forwarded twice, and the stream ends after a finish reason. A Verifier is used for all
// connections of an attempt, so that it checks a resumed stream against the events that were
// forwarded before the connection broke. It is not safe for concurrent use.
type Verifier struct {
	attempt  []byte
	last     uint64
	numbered bool
	finished bool // a finish reason was seen
	done     bool
}

// NewVerifier returns a Verifier for the response of one attempt. An empty attempt disables the
// check that each event contains the ID of the attempt.
func NewVerifier(attempt ids.Attempt) *Verifier { return &Verifier{attempt: []byte(attempt)} }

// Last returns the number of the last forwarded event, or zero.
func (v *Verifier) Last() uint64 { return v.last }

// Numbered reports whether the target numbers its events, which resuming requires.
func (v *Verifier) Numbered() bool { return v.numbered }

// Complete reports whether the whole response was forwarded.
func (v *Verifier) Complete() bool { return v.done }

func (v *Verifier) broken(reason string) error { return &BrokenError{Reason: reason, Last: v.last} }

// Accept checks the next event. It returns a *BrokenError if the stream is broken. After the end of
// the response it returns Duplicate for any event.
func (v *Verifier) Accept(ev Event) (Verdict, error) {
	if v.done {
		return Duplicate, nil
	}
	if ev.Error {
		return 0, v.broken("the target sent an error event")
	}
	if dup, err := v.number(ev.ID); dup || err != nil {
		return Duplicate, err
	}
	if bytes.Equal(ev.Data, doneMark) {
		if !v.finished {
			return 0, v.broken("the stream ended without a finish reason")
		}
		v.done = true
		return Done, nil
	}
	if !bytes.Contains(ev.Data, v.attempt) {
		return 0, v.broken("an event belongs to another response")
	}
	v.last++
	v.finished = v.finished || finishes(ev.Data)
	return Forward, nil
}

// number checks the number of an event; zero: it has none. Numbers start at 1 and have no gaps.
func (v *Verifier) number(id uint64) (duplicate bool, err error) {
	if id == 0 {
		if v.numbered {
			return false, v.broken("an event has no number, earlier ones had")
		}
		return false, nil
	}
	if !v.numbered && v.last > 0 {
		return false, v.broken("an event is numbered, earlier ones were not")
	}
	v.numbered = true
	if id <= v.last {
		return true, nil
	}
	if id != v.last+1 {
		return false, v.broken(fmt.Sprintf("received event %d after event %d", id, v.last))
	}
	return false, nil
}

// finishes reports whether a chunk carries a finish reason.
func finishes(data []byte) bool {
	for {
		i := bytes.Index(data, finishKey)
		if i < 0 {
			return false
		}
		data = bytes.TrimLeft(data[i+len(finishKey):], " ")
		if !bytes.HasPrefix(data, finishNull) {
			return true
		}
	}
}
