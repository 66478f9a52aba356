package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Liveness is what is known of a replica whose connection broke.
type Liveness uint8

// The states of a replica. Only one that refuses connections has ended for sure: behind a
// cut link nothing answers, and a replica that breaks off single answers goes on to listen.
const (
	Unknown Liveness = iota
	Listening
	Ended
)

// String returns the state's name in logs.
func (s Liveness) String() string { return [...]string{"unknown", "listens", "ended"}[s] }

// Send is a send that broke off.
type Send struct {
	Target      ids.Target
	Addr        string // ip:port
	Incarnation ids.Incarnation
	Sent, Broke time.Time
}

// run is a send of a request.
type run struct {
	Send
	request Fingerprint
	id      ids.Request // of the caller's attempt
}

// Detector finds out whether replicas have ended under the runs that broke off there, and
// notes those that have. Safe for concurrent use.
type Detector struct {
	Ledger *Ledger
	// Check looks whether a replica still listens.
	Check func(ctx context.Context, t ids.Target, addr string) Liveness

	mu   sync.Mutex
	runs map[Replica][]run // by the replica that is being looked at
}

// checkWithin bounds one look: what peers are to know in time must be known before.
const checkWithin = time.Second

// broke looks whether the replica of a run has ended. It does not wait.
func (w *Detector) broke(r run) {
	name := ReplicaOf(r.Target, r.Incarnation)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[Replica][]run{}
	}
	_, looking := w.runs[name]
	w.runs[name] = append(w.runs[name], r)
	if !looking {
		go w.look(name, r)
	}
}

// look checks a replica once for all runs that broke off there meanwhile.
func (w *Detector) look(name Replica, r run) {
	ctx, cancel := context.WithTimeout(context.Background(), checkWithin)
	defer cancel()
	state := w.Check(ctx, r.Target, r.Addr)
	w.mu.Lock()
	runs := w.runs[name]
	delete(w.runs, name)
	w.mu.Unlock()
	w.Ledger.Log.Belief("replica-checked").Str("target", string(r.Target)).Uint64("incarnation", uint64(r.Incarnation)).
		Str("state", state.String()).Int("broken_runs", len(runs)).Send()
	if state == Ended {
		w.ended(runs)
	}
}

// ended notes that the replica of these runs has ended.
func (w *Detector) ended(runs []run) {
	w.Ledger.Crashes.Add(1)
	findings := make([]Finding, 0, len(runs))
	for i := range runs {
		r := &runs[i]
		w.Ledger.Log.Request("crashed-under", string(r.id)).Str("fingerprint", r.request.String()).Str("target", string(r.Target)).
			Uint64("incarnation", uint64(r.Incarnation)).Int64("ran_ms", r.Broke.Sub(r.Sent).Milliseconds()).Send()
		crash := Crash{Replica: ReplicaOf(r.Target, r.Incarnation), Sent: r.Sent, Ended: r.Broke}
		findings = append(findings, Finding{Request: r.request, Crash: crash})
	}
	w.Ledger.Crashed(findings...)
}
