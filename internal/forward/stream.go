package forward

import (
	"errors"
	"io"
	"strconv"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/relay"
	"github.com/threadwall/threadwall/internal/upstream"
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

// relayStream passes the events of a stream on as they arrive. It flushes buffered events before it
// waits for the next one and when the stream breaks, so none is delayed or lost.
func (t *attempt) relayStream(a *upstream.Response) *outcome.Error {
	r := t.r
	in := relay.NewRawReader(a.Body)
	unflushed := false // an event was written and not flushed
	for {
		if unflushed && !in.Buffered() {
			if err := t.flush(); err != nil {
				return t.callerGone(err)
			}
			unflushed = false
			t.stall.start(t.nextEventTimeout())
		}
		ev, err := in.Next()
		if errors.Is(err, io.EOF) {
			return t.complete(a)
		}
		if err != nil {
			if unflushed {
				_ = t.flush() // classify detects a caller that has disconnected
			}
			return t.brokenResponse(err)
		}
		t.firstOutput()
		t.endComputing(true)
		if r.stream.duplicate(&ev) {
			continue
		}
		if err := t.writeEvent(a, &ev); err != nil {
			return t.callerGone(err)
		}
		unflushed = true
	}
}

// eventsOfBegunAnswer is the number of complete events of one replica that show that it survives the beginning of the answer.
const eventsOfBegunAnswer = 2

// duplicate reports whether an event was passed on before, by an earlier attempt or by this one.
func (s *streamState) duplicate(ev *relay.RawEvent) bool {
	return ev.Numbered && s.numbered && ev.ID <= s.last
}

// writeEvent writes one event, preceded by the head if it is the first. Thus the caller gets the
// headers of the replica that began the stream, even if another one resumes it.
func (t *attempt) writeEvent(a *upstream.Response, ev *relay.RawEvent) error {
	r := t.r
	if !r.begun {
		t.beginStream()
		r.writeHead(a, unknownLength)
	}
	r.f.Stats.Events.Add(1)
	if t.events++; t.events == eventsOfBegunAnswer {
		r.guard.GoesOn()
	}
	r.heard = clock.Now()
	r.progress.observe(r.heard)
	if ev.Numbered {
		r.stream.last, r.stream.numbered = ev.ID, true
	}
	return t.write(ev.Raw)
}

// complete ends a stream that has arrived completely.
func (t *attempt) complete(a *upstream.Response) *outcome.Error {
	r := t.r
	t.stall.stop()
	if !r.begun {
		r.writeHead(a, unknownLength)
	}
	return nil
}
