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
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/routing"
)

// maxChoices bounds how often a call is decided on anew since the version that it was to go to
// has been taken out of service meanwhile.
const maxChoices = 4

// choose picks a target among those that run a version which is in service. The admission, if there
// is one, must be released.
func (r *run) choose(req *routing.Request, sc *fleet.Scratch) (*fleet.Snapshot, routing.Decision, *canary.Admission) {
	f := r.f
	if f.Software == nil {
		snap, d := f.Fleet.Decide(req, r.tried, sc)
		return snap, d, nil
	}
	var snap *fleet.Snapshot
	d := routing.Decision{Index: -1}
	for range maxChoices {
		seen := f.Fleet.Snapshot()
		choices := f.Software.Choices(r.service, &seen.View, seen.State, canary.ChoiceParams{FirstAttempt: r.sends == 0, Seed: req.Seed})
		for i := range choices {
			choices[i].MostHash = mostHash(r.service, seen, &choices[i])
			req.Software = &choices[i]
			if snap, d = f.Fleet.Decide(req, r.tried, sc); d.Index >= 0 {
				break
			}
		}
		if d.Index < 0 {
			return snap, d, nil
		}
		t := &snap.View.Targets[d.Index]
		if pass, ok := f.Software.Admit(r.service, t.Software); ok {
			return snap, d, pass
		}
		f.Fleet.GiveBack(t.ID)
	}
	d.Index = -1
	return snap, d, nil
}

// mostHash bounds the hashes of a version's targets where only a part of them gets calls; VMs
// that see the same targets agree on them. Zero: all do.
func mostHash(service string, snap *fleet.Snapshot, c *routing.SoftwareChoice) uint64 {
	if c.Part <= 0 || c.Part >= 1 {
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
	if n := int(math.Ceil(c.Part * float64(len(hashes)))); n > 0 && n < len(hashes) {
		return hashes[n-1]
	}
	return 0
}

// retired refuses a send to a version that was taken out of service since the target was chosen.
func (t *try) retired() *outcome.Error {
	if !t.r.f.Software.Retiring(t.r.service, t.c.target.Software) {
		return nil
	}
	return outcome.Wrap(errLapsed, outcome.NotRun, outcome.CodeUpstream, "send", string(t.c.target.ID), "the replica's software has been taken out of service since it was chosen")
}

// expectedFloor is added to the time that an answer is expected to take, so that short
// expectations are no measure by themselves.
const expectedFloor = 50 * time.Millisecond

// counted tells the gate how an attempt ended, if its target answered it.
func (t *try) counted(err *outcome.Error) {
	var refusal *Refusal
	a := canary.CallResult{}
	switch {
	case t.c.pass == nil:
		return
	case err == nil:
		a.Failed = t.r.status >= http.StatusInternalServerError
	case errors.As(err, &refusal) && err.Outcome != outcome.NotRun && refusal.Status >= http.StatusInternalServerError:
		a.Failed = true
	default:
		return // it did not answer, or did not run the call: that says nothing about its software
	}
	if !a.Failed && t.c.calm {
		a.Took = t.took()
	}
	t.c.pass.RecordResult(t.r.route.Name, t.c.target.ID, a)
}

// took is how long the target took, where that depends on the prompt as a multiple of what was
// expected.
func (t *try) took() time.Duration {
	took := clock.Since(t.sent)
	if t.r.call.Prompt == nil || !t.r.route.Prompts {
		return took
	}
	if first := t.r.progress.first.Sub(t.sent); first > 0 {
		took = first
	}
	return time.Duration(float64(took) / float64(t.c.wait+expectedFloor) * float64(expectedFloor))
}

// calm tells whether a target's answers show how fast it is: it is not full, and has not just
// started.
func calm(snap *fleet.Snapshot, index int, in *routing.Input) bool {
	full := in.Slots > 0 && in.InFlight >= in.Slots
	return !full && !snap.Status(index).Record.WarmAt.After(clock.Now())
}
