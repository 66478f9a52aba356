package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/upstream"
)

// stepQuarantine is the step of a refusal for what the request did to replicas.
const stepQuarantine = "quarantine"

// quarantined refuses a call whose request crashes replicas, or returns nil. Every send
// asks: the bounds on repeats count within one call of a caller, and such a request that
// came again under a new id each time ended 48 replicas in six seconds, now 3 to 5.
func (r *run) quarantined() *outcome.Error {
	ledger := r.f.ledger()
	if ledger.Empty() {
		return nil
	}
	crashes, yes := ledger.Quarantined(r.print())
	if !yes || r.sends == 0 && r.f.trial(r.print()) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.CodeQuarantined, stepQuarantine, "",
		fmt.Sprintf("%d replicas crashed while they ran this request; it is not sent to any more", crashes))
}

// trial tells whether this VM is to find out now whether a request is quarantined for
// nothing.
func (f *Forwarder) trial(p quarantine.Fingerprint) bool {
	rank := 0
	if f.Rank != nil {
		rank = f.Rank(ids.Target(p.String()))
	}
	return f.Crashes.Ledger.Trial(p, rank)
}

// ledger returns what is remembered of requests; nil: nothing is.
func (f *Forwarder) ledger() *quarantine.Ledger {
	if f.Crashes == nil {
		return nil
	}
	return f.Crashes.Ledger
}

// survived notes that a replica answered the call and lives. A failure of its own does not
// count: it may not have come as far as the fault.
func (r *run) survived(status int) {
	if ledger := r.f.ledger(); status < http.StatusInternalServerError && !ledger.Empty() {
		ledger.Answered(r.print())
	}
}

// blame has it found out whether the replica of a failed attempt has ended with it. One
// that had to leave ends by itself.
func (r *run) blame(ctx context.Context, t *try, err *outcome.Error) {
	if r.f.Crashes == nil || err.Outcome != outcome.Unknown || !upstream.HungUp(err) || ctx.Err() != nil || endedHere(err) {
		return
	}
	id, now := t.c.target.ID, time.Now()
	run := quarantine.Run{
		Request: r.print(), ID: r.call.ID, Target: id, Addr: t.c.target.Addr, Incarnation: t.c.target.Incarnation,
		Sent: t.sent, Broke: now,
	}
	switch {
	case r.superseded(t.c):
		r.f.Crashes.Ended([]quarantine.Run{run})
	case r.f.Fleet.Members.State(id, now) != routing.Leaving:
		r.f.Crashes.Broke(run)
	}
}

// endedHere tells whether this VM ended the attempt itself.
func endedHere(err *outcome.Error) bool {
	return errors.Is(err, errCallerGone) || errors.Is(err, errStalled) || errors.Is(err, errOldWeights)
}

// print returns the call's fingerprint, which its repeats share.
func (r *run) print() quarantine.Fingerprint {
	if r.fingerprint == nil {
		request := quarantine.Request{Method: r.req.Method, Host: r.req.Host, URI: r.req.RequestURI, Body: r.body}
		if r.workspace != nil {
			request.Workspace = r.workspace.Name
		}
		p := request.Fingerprint()
		r.fingerprint = &p
	}
	return *r.fingerprint
}

// suspect names the request in the log of an attempt that may have run; empty for others.
func (r *run) suspect(err *outcome.Error) string {
	if err.Outcome == outcome.NotRun {
		return ""
	}
	return r.print().String()
}
