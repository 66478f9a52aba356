package forward

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/tally"
)

// LateCause tells why a response missed its route's objectives, or that it missed none.
type LateCause uint8

// A late response counts under the first of these causes that applies.
const (
	OnTime         LateCause = iota
	LateRetry                // an earlier attempt failed
	LateBeforeSend           // over half of the objective passed before the call was sent
	LateWork                 // the target's expected computing time exceeds half of the objective
	LateQueue                // any other wait at the target
	LatePause                // the first event was on time, a later one was not
	lateCauseCount
)

var lateNames = [lateCauseCount]string{"on_time", "repeat", "before_send", "work", "queue", "pause"}

// String returns the cause's name in metrics and logs.
func (c LateCause) String() string { return lateNames[c] }

// LateCounts counts responses by the cause of their lateness, on-time ones included. Safe for
// concurrent use.
type LateCounts struct{ counts [lateCauseCount]atomic.Int64 }

// Counts returns the counts by the name of the cause.
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

// progress holds the times at which the parts of a response arrived.
type progress struct {
	sent   time.Time     // of the attempt that answered
	work   time.Duration // expected computing time at its target
	first  time.Time     // the first event, or the whole response
	last   time.Time     // the last event so far
	maxGap time.Duration // the longest time between two events
}

// observe records that an event, or the whole response, was passed on.
func (p *progress) observe(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	} else {
		p.maxGap = max(p.maxGap, now.Sub(p.last))
	}
	p.last = now
}

// lateCause classifies a response that was passed on completely.
func (r *run) lateCause() LateCause {
	objective, p := r.route.Objective, &r.progress
	switch {
	case objective <= 0 || p.first.IsZero():
		return OnTime
	case p.first.Sub(r.received) <= objective:
		if r.route.Kind == streamKind && r.route.MaxEventGap > 0 && p.maxGap > r.route.MaxEventGap {
			return LatePause
		}
		return OnTime
	case r.sends > 1:
		return LateRetry
	case p.sent.Sub(r.received) > objective/2:
		return LateBeforeSend
	case p.work > objective/2:
		return LateWork
	default:
		return LateQueue
	}
}

// countEnd counts the end of a response that was passed on completely.
func (r *run) countEnd() {
	cause, p := r.lateCause(), &r.progress
	r.f.Demand.Ended(r.class(), p.last.Sub(p.first), cause != OnTime && cause != LatePause, cause == LatePause)
}

// RefusalCounts counts refusals and failures by their code and step. Safe for concurrent
// use.
type RefusalCounts struct{ tally.Counts }

// add counts one failure. Codes and steps are constants, so the number of keys is bounded.
func (c *RefusalCounts) add(e *outcome.Error) { c.Add(string(e.Code) + "/" + e.Step) }
