// Package timeline keeps the last events of one process, typed and stamped by a
// hybrid logical clock, so that the command line can merge the events of all
// processes into one causal order and say why a request went where it did.
package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
)

// Kind names a type of event.
type Kind string

// The kinds of event.
const (
	KindReceived   Kind = "received" // a caller's request was read
	KindDecision   Kind = "decision" // a target was picked; detail is the recorded input and choice
	KindAttempt    Kind = "attempt"  // an attempt began
	KindAttemptEnd Kind = "attempt-end"
	KindClaim      Kind = "claim"
	KindRefusal    Kind = "refusal"
	KindDone       Kind = "done"
	KindMember     Kind = "membership"
	KindConfig     Kind = "config"
	KindLease      Kind = "lease"
	KindOrder      Kind = "order"
	KindCache      Kind = "cache"
	KindLifecycle  Kind = "lifecycle"
)

// Event is one entry. Detail is a typed struct of the package that recorded it,
// held as JSON.
type Event struct {
	At      hlc.Stamp       `json:"at"`
	VM      ids.VM          `json:"vm"`
	Kind    Kind            `json:"kind"`
	Request ids.Request     `json:"request,omitempty"`
	Attempt ids.Attempt     `json:"attempt,omitempty"`
	Peer    string          `json:"peer,omitempty"`
	Text    string          `json:"text,omitempty"`
	Detail  json.RawMessage `json:"detail,omitempty"`
}

// Log is a bounded ring of events: the newest overwrite the oldest.
type Log struct {
	clock *hlc.Clock
	vm    ids.VM

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewLog returns a log that keeps the last size events.
func NewLog(vm ids.VM, clock *hlc.Clock, size int) *Log {
	return &Log{clock: clock, vm: vm, events: make([]Event, size)}
}

// Clock returns the log's clock, for stamps on peer calls.
func (l *Log) Clock() *hlc.Clock { return l.clock }

// Record stamps and keeps e. A detail that cannot be encoded is left out.
func (l *Log) Record(e Event, detail any) {
	e.VM = l.vm
	if detail != nil {
		e.Detail, _ = json.Marshal(detail)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = l.clock.Now()
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
	l.full = l.full || l.next == 0
}

// Events returns a copy of the kept events, oldest first. A non-empty request
// keeps only that request's.
func (l *Log) Events(request ids.Request) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Event
	if l.full {
		all = append(all, l.events[l.next:]...)
	}
	all = append(all, l.events[:l.next]...)
	if request == "" {
		return all
	}
	return slices.DeleteFunc(all, func(e Event) bool { return e.Request != request })
}

// Merge returns the events of several processes in causal order. Stamps order
// them; events with equal stamps are concurrent and are ordered by VM.
func Merge(logs ...[]Event) []Event {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM))
	})
	return all
}
