package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab"
)

// Engines and services that refuse calls may say for how long they want nothing more, as HTTP
// has it. Neither the way of opaque calls nor that of our own callers read it: a service that
// refused was asked again at the next call, three times within the two seconds that it wanted.

// TestRestsAreKept has half of the engines and one of the replicas of each service refuse and
// ask for two seconds of rest: a VM sends each of them one call in that time, and callers are
// served by the others.
func TestRestsAreKept(t *testing.T) {
	w := start(t, 1)
	spec := lab.FaultSpec{Fault: lab.FaultRest, Count: -1}
	var resting []interface{ Faults() *lab.Faults }
	n := 0
	for _, e := range w.s.Engines {
		if n++; n%2 == 0 {
			resting = append(resting, e)
		}
	}
	for _, s := range w.s.Services {
		resting = append(resting, s)
		break
	}
	for _, r := range resting {
		r.Faults().Arm(spec)
	}
	began := time.Now()
	for i := 0; time.Since(began) < lab.RestTime-200*time.Millisecond; i++ {
		q := fmt.Sprint("rest ", i)
		if text, err := w.stream(q); err != nil || text != wantText(q, 20) {
			t.Errorf("error %v, text %q", err, text)
		}
		if resp, body := w.post(0, "/v1/services/booking/bookings", lab.KeyOf(workspace), q, "{}"); resp.StatusCode != 200 {
			t.Errorf("a booking got %d %s", resp.StatusCode, body)
		}
	}
	for i, r := range resting {
		// Only the first VM is asked.
		if n := r.Faults().Triggered(lab.FaultRest); n > 1 {
			t.Errorf("target %d asked for rest %d times within one", i, n)
		}
	}
}
