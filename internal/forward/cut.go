package forward

import (
	"errors"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/tally"
)

// cutter is who ended an answer before its end.
type cutter string

const (
	cutByReplica  cutter = "replica"
	cutByDeadline cutter = "deadline"
	cutByVM       cutter = "vm" // this VM gave the replica up, or shuts down
)

// CutCounts counts answers that were ended early, by who ended them and why nothing replaced them. Safe for concurrent use.
type CutCounts struct{ tally.Counts }

// givenUp is a replica that this VM gave up while it may still have worked on the call.
type givenUp struct {
	target   ids.Target
	silent   time.Duration // how long it had sent nothing
	replaced bool          // another replica had answered by then
}

// noteGivenUp records the replica of an attempt that this VM ended.
func (r *run) noteGivenUp(t *attempt, err *outcome.Error) {
	if stalled := errors.Is(err, errStalled); stalled || errors.Is(err, errOldWeights) {
		r.gaveUp = givenUp{t.c.target.ID, t.silence(), stalled}
	}
}

// cutterOf returns who ended an answer, given the error of the call.
func (r *run) cutterOf(final *outcome.Error) cutter {
	switch {
	case final.Code == outcome.CodeDeadline:
		return cutByDeadline
	case r.gaveUp.target != "" && !r.gaveUp.replaced, errors.Is(final, errNotAllowed), errors.Is(final, errDrainEnded):
		return cutByVM
	}
	return cutByReplica
}

// recordCut counts and logs an answer that ends early. The line is one about the state of this VM, so that a flood of lines about
// requests does not displace it.
func (r *run) recordCut(err, final *outcome.Error) {
	by := r.cutterOf(final)
	r.f.Cuts.Add(string(by) + "/" + string(r.stopped))
	r.f.Log.State("answer-cut").Str("request", string(r.call.ID)).Str("route", r.route.Name).Str("service", r.service).
		Str("by", string(by)).Str("reason", string(r.stopped)).Str("target", r.lastTarget()).
		Str("gave_up", string(r.gaveUp.target)).Int64("silent_ms", r.gaveUp.silent.Milliseconds()).Bool("begun", r.begun).
		Int("sends", r.sends).Int("attempts", r.attempts).Int("retries", len(r.paidFrom)).Str("paid_from", strings.Join(r.paidFrom, ",")).
		Int64("left_ms", clock.Until(r.ends).Milliseconds()).Str("error", err.Error()).Send()
}

// lastTarget returns the replica of the last send; empty: there was none.
func (r *run) lastTarget() string {
	if len(r.tried) == 0 {
		return ""
	}
	return string(r.tried[len(r.tried)-1])
}
