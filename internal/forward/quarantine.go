package forward

import (
	"context"
	"errors"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/upstream"
)

// startGuard registers the call with the quarantine guard.
func (r *run) startGuard() {
	request := quarantine.Request{Method: r.req.Method, Host: r.req.Host, URI: r.req.RequestURI, Body: r.body}
	if r.workspace != nil {
		request.Workspace = r.workspace.Name
	}
	r.guard = r.f.Guard.Call(r.call.ID, request)
}

// checkForCrash starts a check of whether a replica crashed while it ran an attempt that failed. It
// skips replicas that were leaving, since they stop anyway.
func (r *run) checkForCrash(ctx context.Context, t *attempt, err *outcome.Error) {
	if err.Outcome != outcome.Unknown || !upstream.ClosedByReplica(err) || ctx.Err() != nil || endedLocally(err) {
		return
	}
	target, restarted := &t.c.target, r.superseded(t.c)
	if !restarted && r.f.Fleet.Members.State(target.ID, clock.Now()) == routing.Leaving {
		return
	}
	r.guard.ReportBroken(quarantine.Send{
		Target: target.ID, Addr: target.Addr, Incarnation: target.Incarnation, Sent: t.sent, Broke: clock.Now(),
	}, restarted)
}

// endedLocally reports whether this VM ended the attempt itself.
func endedLocally(err *outcome.Error) bool {
	return errors.Is(err, errCallerGone) || errors.Is(err, errStalled) || errors.Is(err, errOldWeights)
}

// logFingerprint returns the request's fingerprint for the log of a failed attempt. If the
// attempt did not run, only a fingerprint that was already computed is returned, else none.
func (r *run) logFingerprint(err *outcome.Error) string {
	if err.Outcome == outcome.NotRun {
		return r.guard.FingerprintText()
	}
	return r.guard.Fingerprint().String()
}
