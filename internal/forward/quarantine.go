package forward

import (
	"context"
	"errors"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/upstream"
)

// startGuard registers the call with the quarantine guard.
func (r *run) startGuard() {
	request := quarantine.Request{Method: r.req.Method, Host: r.req.Host, URI: r.req.RequestURI, Body: r.body.Segments()}
	if r.workspace != nil {
		request.Workspace = r.workspace.Name
	}
	if p := r.call.Prompt; p != nil && r.route.Prompts {
		request.Model = p.Model
		for _, part := range kvcache.Shared(p.Parts) {
			request.Parts = append(request.Parts, part.ID)
		}
	}
	r.guard = r.f.Guard.Call(r.call.ID, request)
}

// unframedChecks are the times after the end of an unframed response at which the VM checks whether its replica has
// shown since that it lives.
var unframedChecks = []time.Duration{time.Second, 4 * time.Second}

// unframedMargin is the time for which events of other responses may still be read after their replica has ended.
const unframedMargin = 200 * time.Millisecond

// answeredUnframed records the answer of a response that does not mark its own end, once its replica has shown that it outlived
// the response. Until then the response may have ended with its replica.
func (r *run) answeredUnframed(t *attempt) {
	answered := r.guard.AnsweredLater(r.status)
	if answered == nil {
		return
	}
	target, ended, members := t.c.target, clock.Now().Add(unframedMargin), r.f.Fleet.Members
	for _, after := range unframedChecks {
		time.AfterFunc(after, func() {
			if members.SeenSince(target.ID, target.Incarnation, ended) {
				answered()
			}
		})
	}
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
	return errors.Is(err, errCallerGone) || errors.Is(err, errStalled) || errors.Is(err, errOvertaken) || errors.Is(err, errOldWeights)
}

// logFingerprint returns the request's fingerprint for the log of a failed attempt. If the
// attempt did not run, only a fingerprint that was already computed is returned, else none.
func (r *run) logFingerprint(err *outcome.Error) string {
	if err.Outcome == outcome.NotRun {
		return r.guard.FingerprintText()
	}
	return r.guard.Fingerprint().String()
}
