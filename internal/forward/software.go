package forward

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/routing"
)

// maxDecisions bounds the decisions for one send. A decision is repeated if the version of
// its target has been taken out of service in the meantime.
const maxDecisions = 4

// choose picks a target among those that run a software version which is in service. If all of
// them have been silent for too long, it ignores their silence, unless the call has a replica. The caller must release the
// admission; it is nil if software versions are not distinguished or no target was found.
func (r *run) choose(req *routing.Request, sc *fleet.Scratch) (*fleet.Snapshot, routing.Decision, *canary.Admission) {
	snap, d, admission := r.chooseWithin(req, sc)
	if d.Index < 0 && req.MaxSilence > 0 && len(r.live) == 0 {
		req.MaxSilence = 0
		return r.chooseWithin(req, sc)
	}
	return snap, d, admission
}

// chooseWithin implements choose within req.MaxSilence.
func (r *run) chooseWithin(req *routing.Request, sc *fleet.Scratch) (*fleet.Snapshot, routing.Decision, *canary.Admission) {
	f := r.f
	if v, known := r.origin.version(); known {
		return r.chooseOrigin(v, req, sc)
	}
	if f.Software == nil {
		snap, d := f.Fleet.Decide(req, r.tried, sc)
		return snap, d, nil
	}
	var snap *fleet.Snapshot
	d := routing.Decision{Index: -1}
	for range maxDecisions {
		choices := r.softwareChoices(req, r.sends == 0)
		for i := range choices {
			req.Software = &choices[i]
			if snap, d = f.Fleet.Decide(req, r.tried, sc); d.Index >= 0 {
				break
			}
		}
		if d.Index < 0 {
			return snap, d, nil
		}
		t := &snap.View.Targets[d.Index]
		if admission, ok := f.Software.Admit(r.service, t.Software); ok {
			return snap, d, admission
		}
		f.Fleet.GiveBack(t.ID)
	}
	d.Index = -1
	return snap, d, nil
}

// softwareChoices returns the software versions that the call may go to, in order of preference.
func (r *run) softwareChoices(req *routing.Request, firstAttempt bool) []routing.SoftwareChoice {
	if v, known := r.origin.version(); known {
		return []routing.SoftwareChoice{{Version: v}}
	}
	snap := r.f.Fleet.Snapshot()
	choices := r.f.Software.Choices(r.service, &snap.View, snap.State, canary.ChoiceParams{FirstAttempt: firstAttempt, Seed: req.Seed})
	for i := range choices {
		choices[i].MaxHash = maxHash(r.service, snap, &choices[i])
	}
	return choices
}

// mayMove reports whether the call, which waits at a replica, could go to another one that is no
// less healthy and has been silent for less than maxSilence.
func (r *run) mayMove(from ids.Target) bool {
	fl := r.f.Fleet
	req, _ := r.routingRequest()
	sc := fl.Acquire()
	defer fl.Release(sc)
	if _, known := r.origin.version(); r.f.Software == nil && !known {
		return fl.MayMove(&req, from, r.tried, sc)
	}
	choices := r.softwareChoices(&req, false)
	for i := range choices {
		req.Software = &choices[i]
		if fl.MayMove(&req, from, r.tried, sc) {
			return true
		}
	}
	return false
}

// maxHash returns the largest hash that a target of the version may have to get calls, if only a
// fraction of the version's targets may get them. Zero: no bound. VMs that see the same targets
// compute the same bound.
func maxHash(service string, snap *fleet.Snapshot, c *routing.SoftwareChoice) uint64 {
	if c.Fraction <= 0 || c.Fraction >= 1 {
		return 0
	}
	var hashes []uint64
	for i := range snap.View.Targets {
		t := &snap.View.Targets[i]
		if t.Service == service && t.Software == c.Version && snap.State(i) > routing.Suspect {
			hashes = append(hashes, t.Hash)
		}
	}
	slices.Sort(hashes)
	if n := int(math.Ceil(c.Fraction * float64(len(hashes)))); n > 0 && n < len(hashes) {
		return hashes[n-1]
	}
	return 0
}

// checkVersion refuses a send to a software version that was taken out of service since the
// target was chosen, unless the call's stream began there.
func (t *attempt) checkVersion() *outcome.Error {
	if _, known := t.r.origin.version(); known || !t.r.f.Software.Retiring(t.r.service, t.c.target.Software) {
		return nil
	}
	return outcome.Wrap(errNotAllowed, outcome.NotRun, outcome.CodeUpstream, "send", string(t.c.target.ID), "the replica's software has been taken out of service since it was chosen")
}

// expectedOffset is added to the expected response time, so that short expected times do not give
// large ratios.
const expectedOffset = 50 * time.Millisecond

// reportToGate reports the result of an attempt to the canary gate if the target answered it.
func (t *attempt) reportToGate(err *outcome.Error) {
	var refusal *Refusal
	a := canary.CallResult{}
	switch {
	case t.c.admission == nil:
		return
	case err == nil:
		a.Failed = t.r.status >= http.StatusInternalServerError
	case errors.As(err, &refusal) && err.Outcome != outcome.NotRun && refusal.Status >= http.StatusInternalServerError:
		a.Failed = true
	default:
		return // the target did not answer or did not run the call, which says nothing about its software
	}
	if !a.Failed && t.c.representative {
		a.Took = t.responseTime()
	}
	t.c.admission.RecordResult(t.r.route.Name, t.c.target.ID, a)
}

// responseTime returns how long the target took. For a prompt, whose time depends on its length,
// it divides the time until the first event by the predicted time plus expectedOffset, and multiplies
// the ratio by expectedOffset.
func (t *attempt) responseTime() time.Duration {
	took := clock.Since(t.sent)
	if t.r.call.Prompt == nil || !t.r.route.Prompts {
		return took
	}
	if first := t.r.progress.first.Sub(t.sent); first > 0 {
		took = first
	}
	return time.Duration(float64(took) / float64(t.c.wait+expectedOffset) * float64(expectedOffset))
}

// isRepresentative reports whether the latency of a target's response shows the target's speed. It
// does not if all slots are in use or the target has just started.
func isRepresentative(snap *fleet.Snapshot, index int, in *routing.Input) bool {
	full := in.Slots > 0 && in.InFlight >= in.Slots
	return !full && !snap.Status(index).Record.WarmAt.After(clock.Now())
}
