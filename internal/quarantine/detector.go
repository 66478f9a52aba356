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

// Send describes one send of a call to a replica, whose connection broke before the answer was
// complete.
type Send struct {
	Target      ids.Target
	Addr        string // ip:port
	Incarnation ids.Incarnation
	Sent, Broke time.Time
}

// run is a broken send with the request that the replica ran.
type run struct {
	Send
	request Fingerprint
	parts   []Fingerprint // of the request's prompt, which other requests may share
	id      ids.Request   // id of the caller's attempt
}

// Detector checks whether replicas have ended when runs break there, and records the crashes in
// the ledger. Safe for concurrent use.
type Detector struct {
	Ledger *Ledger
	// Parts records crashes under parts of prompts. Nil: parts are not judged.
	Parts *Ledger
	// Check returns whether a replica still listens, has ended, or neither is known. ctx ends
	// after checkTimeout. Checks of several replicas run concurrently.
	Check func(ctx context.Context, t ids.Target, addr string) Liveness

	mu   sync.Mutex
	runs map[Replica][]run // broken runs, by the replica being checked
}

// checkTimeout bounds one check, since peers must learn of a crash in time.
const checkTimeout = time.Second

// checkReplica starts a check of a run's replica, unless one is in progress. It does not wait
// for the result.
func (d *Detector) checkReplica(r run) {
	replica := ReplicaOf(r.Target, r.Incarnation)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = map[Replica][]run{}
	}
	_, checking := d.runs[replica]
	d.runs[replica] = append(d.runs[replica], r)
	if !checking {
		go d.check(replica, r)
	}
}

// check checks a replica once for all runs that break there before the check ends.
func (d *Detector) check(replica Replica, r run) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	state := d.Check(ctx, r.Target, r.Addr)
	d.mu.Lock()
	runs := d.runs[replica]
	delete(d.runs, replica)
	d.mu.Unlock()
	d.Ledger.Log.State("replica-checked").Str("target", string(r.Target)).Uint64("incarnation", uint64(r.Incarnation)).
		Str("state", state.String()).Int("broken_runs", len(runs)).Send()
	if state == Ended {
		d.recordCrash(runs)
	}
}

// recordCrash records the crash of a replica that broke these runs.
func (d *Detector) recordCrash(runs []run) {
	d.Ledger.Crashes.Add(1)
	findings, parts := make([]Finding, 0, len(runs)), []Finding(nil)
	for i := range runs {
		r := &runs[i]
		d.Ledger.Log.Request("crashed-under", string(r.id)).Str("fingerprint", r.request.String()).Str("target", string(r.Target)).
			Uint64("incarnation", uint64(r.Incarnation)).Int64("ran_ms", r.Broke.Sub(r.Sent).Milliseconds()).Send()
		crash := Crash{Replica: ReplicaOf(r.Target, r.Incarnation), Sent: r.Sent, Ended: r.Broke}
		findings = append(findings, Finding{Request: r.request, Crash: crash})
		for _, f := range r.parts {
			parts = append(parts, Finding{Request: f, Crash: crash})
		}
	}
	if d.Parts != nil {
		d.Parts.Crashed(parts...) // first, since a part may explain the crash
	}
	d.Ledger.Crashed(findings...)
}
