package forward

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/tally"
)

// LateCause is why an answer came later than its route's aims.
type LateCause uint8

// The causes. An answer has one: the first of these that holds.
const (
	OnTime         LateCause = iota
	LateRetry                // an earlier attempt had failed
	LateBeforeSend           // over half of the objective had passed before it was sent
	LateWork                 // what the target was expected to compute took over half of the objective
	LateQueue                // it waited at its target, beyond that
	LatePause                // its first event was on time, a later one was not
	lateCauseCount
)

var lateNames = [lateCauseCount]string{"on_time", "repeat", "before_send", "work", "queue", "pause"}

// String returns the cause's name in metrics and logs.
func (c LateCause) String() string { return lateNames[c] }

// LateCounts counts answers by whether and why they were late. Safe for concurrent use.
type LateCounts struct{ counts [lateCauseCount]atomic.Int64 }

// Counts returns what was counted so far, by cause.
func (l *LateCounts) Counts() map[string]int64 {
	out := map[string]int64{}
	for c := range lateCauseCount {
		out[c.String()] = l.counts[c].Load()
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (l *LateCounts) MarshalJSON() ([]byte, error) { return json.Marshal(l.Counts()) }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l *LateCounts) MarshalZerologObject(e *zerolog.Event) {
	for c := range lateCauseCount {
		e.Int64(c.String(), l.counts[c].Load())
	}
}

// progress is when the parts of an answer came.
type progress struct {
	sent  time.Time     // the attempt that answered
	work  time.Duration // what its target was expected to compute
	first time.Time     // the first event, or the answer
	last  time.Time     // the last event so far
	pause time.Duration // the longest between two events
}

// observe notes that an observe, or the whole answer, was passed on.
func (p *progress) observe(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.pause = max(p.pause, now.Sub(p.last))
	}
	p.last = now
}

// lateCause judges an answer that was passed on whole.
func (r *run) lateCause() LateCause {
	aim, p := r.route.Objective, &r.progress
	switch {
	case aim <= 0 || p.first.IsZero():
		return OnTime
	case p.first.Sub(r.received) <= aim:
		if r.route.Kind == streamKind && r.route.MaxPause > 0 && p.pause > r.route.MaxPause {
			return LatePause
		}
		return OnTime
	case r.sends > 1:
		return LateRetry
	case p.sent.Sub(r.received) > aim/2:
		return LateBeforeSend
	case p.work > aim/2:
		return LateWork
	default:
		return LateQueue
	}
}

// RefusalCounts counts refusals and failures by their code and step. Safe for concurrent
// use.
type RefusalCounts struct{ tally.Counts }

// add counts one; codes and steps are constants, so they are few.
func (c *RefusalCounts) add(e *outcome.Error) { c.Add(string(e.Code) + "/" + e.Step) }
