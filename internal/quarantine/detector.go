package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Liveness is the state of a replica whose connection broke.
type Liveness uint8

// Only a replica that refuses connections has certainly ended: over a broken link nothing
// answers, and a replica that aborts single answers keeps listening.
const (
	Unknown Liveness = iota
	Listening
	Ended
)

// String returns the state's name in logs.
func (s Liveness) String() string { return [...]string{"unknown", "listens", "ended"}[s] }

// Send is a send whose connection broke before its answer was complete.
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
	id      ids.Request // id of the caller's attempt
}

// Detector checks whether replicas have ended when runs break there, and records the crashes in
// the ledger. Safe for concurrent use.
type Detector struct {
	Ledger *Ledger
	// Check reports whether a replica still listens.
	Check func(ctx context.Context, t ids.Target, addr string) Liveness

	mu   sync.Mutex
	runs map[Replica][]run // broken runs, by the replica being checked
}

// checkTimeout bounds one check, since peers must learn of a crash in time.
const checkTimeout = time.Second

// checkReplica starts a check of a run's replica, unless one is in progress. It does not wait
// for the result.
func (w *Detector) checkReplica(r run) {
	name := ReplicaOf(r.Target, r.Incarnation)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = map[Replica][]run{}
	}
	_, checking := w.runs[name]
	w.runs[name] = append(w.runs[name], r)
	if !checking {
		go w.check(name, r)
	}
}

// check checks a replica once for all runs that break there before the check ends.
func (w *Detector) check(name Replica, r run) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	state := w.Check(ctx, r.Target, r.Addr)
	w.mu.Lock()
	runs := w.runs[name]
	delete(w.runs, name)
	w.mu.Unlock()
	w.Ledger.Log.State("replica-checked").Str("target", string(r.Target)).Uint64("incarnation", uint64(r.Incarnation)).
		Str("state", state.String()).Int("broken_runs", len(runs)).Send()
	if state == Ended {
		w.recordCrash(runs)
	}
}

// recordCrash records the crash of a replica under these runs.
func (w *Detector) recordCrash(runs []run) {
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
