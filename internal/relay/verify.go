package relay

import (
	"bytes"
	"fmt"

	"github.com/threadwall/threadwall/internal/ids"
)

// Verdict says what to do with an event.
type Verdict uint8

// The verdicts.
const (
	Forward   Verdict = iota // pass it on
	Duplicate                // drop it: it was passed on before
	Done                     // the stream is complete
)

// BrokenError says how a stream is broken. What was passed on before is a true
// prefix of the answer; Resume at Last can go on from there.
type BrokenError struct {
	Reason string
	Last   uint64 // number of the last event passed on
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

// Verifier checks one answer's events: each belongs to the attempt, none is
// missing, none counts twice, and the end is the end. It outlives the broken
// connection of an attempt, so that a resumed stream is checked against what was
// passed on before.
type Verifier struct {
	attempt  []byte
	last     uint64
	numbered bool
	finished bool // a finish reason was seen
	done     bool
}

// NewVerifier returns a verifier for the answer of one attempt. An empty attempt
// skips the check that each event names it.
func NewVerifier(attempt ids.Attempt) *Verifier { return &Verifier{attempt: []byte(attempt)} }

// Last returns the number of the last event passed on.
func (v *Verifier) Last() uint64 { return v.last }

// Numbered tells whether the target numbers its events, and so can resume.
func (v *Verifier) Numbered() bool { return v.numbered }

// Complete tells whether the whole answer was passed on.
func (v *Verifier) Complete() bool { return v.done }

func (v *Verifier) broken(reason string) error { return &BrokenError{Reason: reason, Last: v.last} }

// Accept judges the next event.
func (v *Verifier) Accept(ev Event) (Verdict, error) {
	if v.done {
		return Duplicate, nil
	}
	if ev.Error {
		return 0, v.broken("the target reports an error")
	}
	if dup, err := v.number(ev.ID); dup || err != nil {
		return Duplicate, err
	}
	if bytes.Equal(ev.Data, doneMark) {
		if !v.finished {
			return 0, v.broken("the end came without a finish reason")
		}
		v.done = true
		return Done, nil
	}
	if !bytes.Contains(ev.Data, v.attempt) {
		return 0, v.broken("an event of another answer")
	}
	v.last++
	v.finished = v.finished || finishes(ev.Data)
	return Forward, nil
}

// number checks an event's number. Numbers start at 1 and have no gaps.
func (v *Verifier) number(id uint64) (duplicate bool, err error) {
	if id == 0 {
		if v.numbered {
			return false, v.broken("an event without a number")
		}
		return false, nil
	}
	if !v.numbered && v.last > 0 {
		return false, v.broken("numbers began in the middle")
	}
	v.numbered = true
	if id <= v.last {
		return true, nil
	}
	if id != v.last+1 {
		return false, v.broken(fmt.Sprintf("event %d came after %d", id, v.last))
	}
	return false, nil
}

// finishes tells whether a chunk carries a finish reason.
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
