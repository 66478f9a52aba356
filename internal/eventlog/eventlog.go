// Package eventlog writes what a process decides as JSON lines.
//
// A line is written for each decision that touches a request or changes what the
// process believes, with the inputs that decided it and their age or version.
// Writing never blocks: lines pass through a bounded ring to one writer, and a
// stalled output costs lines, not requests. Lines about requests have a budget a
// second, so that a flood of requests can't push out the lines that explain it.
// What was left out is counted and told.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

// Bounds of the log. A line has about 300 bytes.
const (
	// ringLines is how many lines wait for a slow output: about 300 KB.
	ringLines = 1024
	// requestLines bounds the lines about requests, a second. A VM serves some tens
	// of requests a second, with two or three lines each.
	requestLines = 300
	// requestBurst is how many such lines may come at once.
	requestBurst = 600
	// beliefLines bounds the lines about the process itself, a second.
	beliefLines = 100
	beliefBurst = 400
)

// timeFormat shows milliseconds: a request lasts some tens of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog takes the format from a variable of its package, for all loggers.
func init() { zerolog.TimeFieldFormat = timeFormat }

// Log is a process's event log. Safe for concurrent use. The zero value of a
// pointer is a log that writes nothing.
type Log struct {
	z       zerolog.Logger
	out     diode.Writer
	request *rate.Limiter
	belief  *rate.Limiter
	over    atomic.Uint64 // lines beyond the budget
	missed  atomic.Uint64 // lines that found the ring full
}

// New returns a log that writes to w; fields are added to every line.
func New(w io.Writer, fields map[string]string) *Log {
	l := &Log{
		request: rate.NewLimiter(requestLines, requestBurst),
		belief:  rate.NewLimiter(beliefLines, beliefBurst),
	}
	l.out = diode.NewWriter(w, ringLines, 0, func(n int) { l.missed.Add(uint64(n)) })
	ctx := zerolog.New(l.out).With().Timestamp()
	for k, v := range fields {
		ctx = ctx.Str(k, v)
	}
	l.z = ctx.Logger()
	return l
}

// Request begins a line about a request. It returns nil, on which all methods do
// nothing, when the budget is used up.
func (l *Log) Request(event string, id string) *zerolog.Event {
	if l == nil {
		return nil
	}
	if !l.request.Allow() {
		l.over.Add(1)
		return nil
	}
	return l.z.Info().Str("event", event).Str("request", id)
}

// State begins a line about what the process believes, or about its life.
func (l *Log) State(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	if !l.belief.Allow() {
		l.over.Add(1)
		return nil
	}
	return l.z.Info().Str("event", event)
}

// ReportDropped writes how many lines were left out since the last call, if any were.
func (l *Log) ReportDropped() {
	over, missed := l.over.Swap(0), l.missed.Swap(0)
	if over > 0 || missed > 0 {
		l.z.Warn().Str("event", "log").Uint64("over_budget", over).Uint64("output_stalled", missed).Msg("lines were left out")
	}
}

// Close writes what is in the ring, for a short time.
func (l *Log) Close() {
	l.ReportDropped()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.out.Close()
	}()
	select {
	case <-done:
	case <-time.After(closeWait):
	}
}

// closeWait bounds the wait for a stalled output when the process ends.
const closeWait = 300 * time.Millisecond
