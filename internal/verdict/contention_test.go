package verdict

import (
	"math"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/ids"
)

// busyPicture returns the picture of a VM whose service begins 100 calls/s of 10 ms of work each, after 500 ms, while
// the given workspaces ask for more. offered is in calls/s.
func busyPicture(listed int, offered map[ids.Workspace]float64) *demand.Picture {
	d := demand.New(func() time.Time { return time.Unix(1000, 0) })
	d.SetListed(listed)
	class := func(w ids.Workspace) demand.Class { return demand.Class{Service: "s", Route: "r", Workspace: w} }
	const begun = 200 // within the decay time of 2 s
	left := begun
	for w, rate := range offered {
		for range int(2 * rate) {
			d.Decided(class(w), 0.01, left > 0)
			left--
		}
	}
	for range begun {
		d.FirstEvent(class("any"), 0.01, 100*time.Millisecond, 500*time.Millisecond)
	}
	return d.Picture("s")
}

// TestPublicCallsHaveOneShare guards against shares that count the calls of public routes as several workspaces of the
// size of the smallest one: a workspace with 0.2 of the capacity was then refused about half of its calls.
func TestPublicCallsHaveOneShare(t *testing.T) {
	c := Measure(busyPicture(1, map[ids.Workspace]float64{"": 150, "small": 20}))
	for name, want := range map[string]float64{"small": 0.2, "": 0.8} {
		if _, share := c.Claim(demand.HashOf(name), 1); math.Abs(share-want) > 0.01 {
			t.Errorf("workspace %q has the share %.3f, want %v", name, share, want)
		}
	}
}

// TestShortOnlyIfMostVMsAreHeard guards against a VM that takes its own part of what engines begin for their capacity:
// one that hears of half of the VMs or fewer, or that has just started and does not know how many there are.
func TestShortOnlyIfMostVMsAreHeard(t *testing.T) {
	for listed, want := range map[int]bool{0: false, 1: true, 2: false, 4: false} {
		c := Measure(busyPicture(listed, map[ids.Workspace]float64{"w": 150}))
		if got := c.Short(500*time.Millisecond, Queues{Targets: 1}); got != want {
			t.Errorf("1 VM of %d: short is %v, want %v", listed, got, want)
		}
	}
}

// TestCauseOfLowerBound guards against refusals that claim that no engine can answer in time, although only the lower
// bound for workspaces above their share was exceeded and a call of another workspace would be admitted.
func TestCauseOfLowerBound(t *testing.T) {
	const objective = 500 * time.Millisecond
	c := Measure(busyPicture(1, map[ids.Workspace]float64{"large": 250, "small": 20}))
	for _, k := range []struct {
		workspace string
		predicted float64 // as a fraction of the objective
		want      Cause
	}{
		{"large", 0.77, OverShare},
		{"small", 0.77, Admitted},
		{"large", 0.81, TooLate},
		{"small", 0.81, TooLate},
	} {
		queue := time.Duration(k.predicted * float64(objective) / c.Ratio)
		r := Rule(Call{
			Arrival: Arrival{Objective: objective}, Workspace: demand.HashOf(k.workspace),
			Mean: Queues{Wait: queue, Targets: 1}, Left: 3 * time.Second,
		}, Best{Queue: queue, Rate: 1}, &c)
		if r.Cause != k.want {
			t.Errorf("%s, predicted %v: cause %q, want %q", k.workspace, r.Predicted, r.Cause, k.want)
		}
		if r.Cause != Admitted && (r.RetryAfter < minReturn || r.RetryAfter > time.Second) {
			t.Errorf("%s: Retry-After %v, want one from %v to a third of 3 s", k.workspace, r.RetryAfter, minReturn)
		}
	}
}
