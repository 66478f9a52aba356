// Package timeline keeps the most recent events of one process. Events are typed and
// stamped by a hybrid logical clock, so that the command line can merge the events of all
// processes into one causal order and explain why a request was routed to its target.
package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
)

// Kind is the type of an event, as written in JSON.
type Kind string

// The kinds of event.
const (
	KindReceived   Kind = "received"    // a caller's request was read
	KindDecision   Kind = "decision"    // a target was picked; detail is the recorded input and choice
	KindAttempt    Kind = "attempt"     // an attempt began, is to be retried, or was resumed
	KindAttemptEnd Kind = "attempt-end" // an attempt ended
	KindClaim      Kind = "claim"       // an idempotency key was claimed or settled, or expired claims were deleted
	KindRefusal    Kind = "refusal"     // the caller got an error from this VM
	KindDone       Kind = "done"        // the caller's request ended
	KindMember     Kind = "membership"  // the state of a target changed, or dead members were removed
	KindConfig     Kind = "config"      // a revision of the configuration or of the platform's list was adopted
	KindLease      Kind = "lease"       // this VM acquired or lost the lease for orders
	KindOrder      Kind = "order"       // an order was sent to a target
	KindCache      Kind = "cache"       // cache events of a target were lost
	KindLifecycle  Kind = "lifecycle"   // this VM started, got ready or is leaving
)

// Event is one entry of a Log. Record sets At, VM and Detail. Peer names the target, VM or
// other source that the event is about, if any. Detail is the JSON form of a value of the package
// that recorded the event.
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

// Log is a ring buffer of events: new events overwrite the oldest. It is safe for concurrent
// use.
type Log struct {
	clock *hlc.Clock
	vm    ids.VM

	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewLog returns a log that keeps the last size events; size must be positive.
func NewLog(vm ids.VM, clock *hlc.Clock, size int) *Log {
	return &Log{clock: clock, vm: vm, events: make([]Event, size)}
}

// Clock returns the clock that stamps the log's events. Messages to peers carry its stamps too.
func (l *Log) Clock() *hlc.Clock { return l.clock }

// Record stamps e and stores it, with detail encoded as JSON. It omits a detail that cannot be
// encoded.
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

// Events returns a copy of the stored events, oldest first. If request is not empty, it
// returns only the events of that request.
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

// Merge returns the events of several processes in causal order, sorted by stamp. Events with
// equal stamps are concurrent; Merge sorts them by VM.
func Merge(logs ...[]Event) []Event {
	all := slices.Concat(logs...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM))
	})
	return all
}
