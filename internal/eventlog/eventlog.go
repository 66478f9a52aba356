// Package eventlog logs the decisions of a process as JSON lines.
//
// The process logs each decision that concerns a request or changes its own state, with
// the inputs of the decision and their age or version. Writing never blocks: lines pass
// through a bounded buffer to one writer, so that a stalled output loses lines and does
// not delay requests. Lines about requests have a rate limit of their own, so that a
// flood of requests does not displace the lines that explain it. The log counts and
// reports the lines that it drops.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

// Limits of the log. A line has about 300 bytes.
const (
	// bufferLines is the size of the buffer for a slow output: about 300 KB.
	bufferLines = 1024
	// requestLinesPerSecond limits the lines about requests. A VM serves some tens of
	// requests per second, with two or three lines each.
	requestLinesPerSecond = 300
	// requestBurst is the number of such lines that may be written at once.
	requestBurst = 600
	// stateLinesPerSecond limits the lines about the process's own state.
	stateLinesPerSecond = 100
	stateBurst          = 400
)

// timeFormat has milliseconds, since a request takes some tens of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog has one time format for all loggers, in a variable of its package.
func init() { zerolog.TimeFieldFormat = timeFormat }

// Log is the event log of a process. It is safe for concurrent use. Request and State of
// a nil *Log write nothing.
type Log struct {
	z             zerolog.Logger
	out           diode.Writer
	request       *rate.Limiter
	state         *rate.Limiter
	overBudget    atomic.Uint64 // lines dropped at the rate limits
	outputDropped atomic.Uint64 // lines dropped because the buffer was full
}

// New returns a log that writes to w from a goroutine of its own, which Close ends. It adds
// fields to every line.
func New(w io.Writer, fields map[string]string) *Log {
	l := &Log{
		request: rate.NewLimiter(requestLinesPerSecond, requestBurst),
		state:   rate.NewLimiter(stateLinesPerSecond, stateBurst),
	}
	l.out = diode.NewWriter(w, bufferLines, 0, func(n int) { l.outputDropped.Add(uint64(n)) })
	ctx := zerolog.New(l.out).With().Timestamp()
	for k, v := range fields {
		ctx = ctx.Str(k, v)
	}
	l.z = ctx.Logger()
	return l
}

// Request begins a line about a request. It returns nil, on which all methods of
// zerolog.Event do nothing, if the rate limit is reached.
func (l *Log) Request(event string, id string) *zerolog.Event {
	if l == nil {
		return nil
	}
	if !l.request.Allow() {
		l.overBudget.Add(1)
		return nil
	}
	return l.z.Info().Str("event", event).Str("request", id)
}

// State begins a line about the state of the process. It returns nil, like Request, if
// the rate limit is reached.
func (l *Log) State(event string) *zerolog.Event {
	if l == nil {
		return nil
	}
	if !l.state.Allow() {
		l.overBudget.Add(1)
		return nil
	}
	return l.z.Info().Str("event", event)
}

// ReportDropped logs the number of lines dropped since the last call, if there are any.
func (l *Log) ReportDropped() {
	overBudget, outputDropped := l.overBudget.Swap(0), l.outputDropped.Swap(0)
	if overBudget > 0 || outputDropped > 0 {
		l.z.Warn().Str("event", "log").Uint64("over_budget", overBudget).Uint64("output_stalled", outputDropped).Msg("log lines were dropped")
	}
}

// Close writes the buffered lines. It waits for a stalled output for up to closeTimeout.
func (l *Log) Close() {
	l.ReportDropped()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.out.Close()
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout bounds the wait in Close.
const closeTimeout = 300 * time.Millisecond
