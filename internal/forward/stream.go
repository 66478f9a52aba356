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

// unknownLength is that of a body which is passed on as it comes.
const unknownLength = -1

// streamState is how far a call's stream has come, over all its attempts.
type streamState struct {
	last     uint64 // number of the last event passed on
	numbered bool   // there is one
}

// resumeFrom returns the event behind which an attempt goes on: the last one that
// was passed on, or the one that the caller names.
func (s *streamState) resumeFrom(c *Call) string {
	if s.numbered {
		return strconv.FormatUint(s.last, 10)
	}
	return c.LastEvent
}

// relayStream passes the events of a stream on as they come. No event that was passed on is
// kept back while the next is waited for, nor lost when the stream breaks.
func (t *try) relayStream(a *upstream.Answer) *outcome.Error {
	r := t.r
	in := relay.NewRawReader(a.Body)
	unflushed := false // an event was passed on and not flushed
	for {
		if unflushed && !in.Buffered() {
			if err := t.flush(); err != nil {
				return t.callerGone(err)
			}
			unflushed = false
			t.stall.start(t.pauseTimeout())
		}
		ev, err := in.Next()
		if errors.Is(err, io.EOF) {
			return t.complete(a)
		}
		if err != nil {
			if unflushed {
				_ = t.flush() // a caller that is gone is found out by what follows
			}
			return t.brokenAnswer(err)
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

// duplicate tells whether an event was duplicate on before, by an earlier attempt or as
// its own twin.
func (s *streamState) duplicate(ev *relay.RawEvent) bool {
	return ev.Numbered && s.numbered && ev.ID <= s.last
}

// writeEvent writes one event. The head goes out with the first: the headers of the
// replica that began the stream stay, whichever goes on with it.
func (t *try) writeEvent(a *upstream.Answer, ev *relay.RawEvent) error {
	r := t.r
	if !r.begun {
		r.writeHead(a, unknownLength)
	}
	r.f.Stats.Events.Add(1)
	r.progress.observe(clock.Now())
	if ev.Numbered {
		r.stream.last, r.stream.numbered = ev.ID, true
	}
	return t.write(ev.Raw)
}

// complete ends a stream whose answer is whole.
func (t *try) complete(a *upstream.Answer) *outcome.Error {
	r := t.r
	t.stall.stop()
	if !r.begun {
		r.writeHead(a, unknownLength)
	}
	return nil
}
