package forward

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestStallCountedOnce records calls that moved away from a replica which answers others. It guards
// against a second count of each timeout, which opened the breaker of a replica that was only slow.
func TestStallCountedOnce(t *testing.T) {
	slow := newFakeReplica(t, "slow", ok("x"))
	r := route(catalog.Idempotent, 2)
	tf := newFleet(t, r, slow)
	call := &run{f: tf.f, route: &r}
	for range 5 {
		call.recordOutcome(t.Context(), &attempt{c: &choice{target: routing.Target{ID: "slow", Incarnation: 1}}}, outcome.Wrap(errStalled, outcome.Unknown, outcome.CodeUpstream, "read", "slow", "the replica sent nothing within the timeout"))
	}
	if status := tf.f.Fleet.Members.Targets(time.Now()); len(status) != 1 || status[0].BreakerOpen {
		t.Errorf("the replica counts as %+v, want one with a closed breaker", status)
	}
	if !call.mayHaveRun {
		t.Error("the calls are recorded as not run")
	}
}
