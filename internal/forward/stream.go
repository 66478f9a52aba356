package forward

import (
	"strconv"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/relay"
)

// unknownLength is the length of a body that is passed on as it arrives.
const unknownLength = -1

// streamState is the progress of a call's stream over all its attempts.
type streamState struct {
	last     uint64 // id of the last event passed on
	numbered bool   // an event with an id was passed on
}

// resumeFrom returns the id of the event after which an attempt resumes the stream: the last event
// passed on, or the one that the caller names.
func (s *streamState) resumeFrom(c *Call) string {
	if s.numbered {
		return strconv.FormatUint(s.last, 10)
	}
	return c.LastEvent
}

// onEvent passes an event of a stream on. It flushes written events before the reader waits for the next one, so none is delayed.
func (t *attempt) onEvent(a *arrival) *outcome.Error {
	if a.event.Empty {
		return t.onRemainder(a.event.Raw)
	}
	t.firstOutput()
	t.endComputing(true)
	if !t.r.stream.duplicate(&a.event) {
		t.heard = clock.Now()
		t.r.keep(t)
		if err := t.writeEvent(&a.event); err != nil {
			return t.callerGone(err)
		}
		t.head.Used(len(a.event.Raw)) // after the write, since the event is held until then
		t.unflushed = true
	}
	if t.unflushed && !a.more {
		if err := t.flush(); err != nil {
			return t.callerGone(err)
		}
		t.unflushed = false
		t.expect(t.nextEventTimeout())
	}
	return nil
}

// onRemainder passes on what follows the last event of a stream and is no event itself. It is no answer if it is all that came before a
// bare end.
func (t *attempt) onRemainder(raw []byte) *outcome.Error {
	if t.endedBare() {
		return nil
	}
	t.r.keep(t)
	if !t.r.begun {
		t.beginStream()
		t.r.writeHead(t.head, unknownLength)
	}
	if err := t.write(raw); err != nil {
		return t.callerGone(err)
	}
	return nil
}

// eventsOfBegunAnswer is the number of complete events of one replica that show that it survives the beginning of the answer.
const eventsOfBegunAnswer = 2

// duplicate reports whether an event was passed on before, by an earlier attempt or by this one.
func (s *streamState) duplicate(ev *relay.RawEvent) bool {
	return ev.Numbered && s.numbered && ev.ID <= s.last
}

// writeEvent writes one event, preceded by the head if it is the first. Thus the caller gets the
// headers of the replica that began the stream, even if another one resumes it.
func (t *attempt) writeEvent(ev *relay.RawEvent) error {
	r := t.r
	if !r.begun {
		t.beginStream()
		r.writeHead(t.head, unknownLength)
	}
	r.f.Stats.Events.Add(1)
	if t.events++; t.events == eventsOfBegunAnswer {
		r.guard.GoesOn()
	}
	r.progress.observe(clock.Now())
	if ev.Numbered {
		r.stream.last, r.stream.numbered = ev.ID, true
	}
	return t.write(ev.Raw)
}

// complete ends a response that has arrived completely.
func (t *attempt) complete() *outcome.Error {
	r := t.r
	t.stall.stop()
	r.keep(t)
	if !r.begun {
		r.writeHead(t.head, unknownLength)
	}
	return nil
}
