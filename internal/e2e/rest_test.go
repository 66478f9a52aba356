package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/lab"
)

// Engines and services that refuse calls may ask for a rest with Retry-After, both for opaque
// calls and for those of threadwall's own API. The test guards against a VM that ignores it: a
// service that had asked for 2 s then got three calls within that time.

// TestRestIsHonored has half of the engines and one service replica refuse calls and ask for
// a rest of 2 s. The VM may send each of them at most one call in that time, and the others must
// serve all calls.
func TestRestIsHonored(t *testing.T) {
	h := start(t, 1)
	spec := lab.FaultSpec{Fault: lab.FaultRest, Count: -1}
	var resting []interface{ Faults() *lab.Faults }
	n := 0
	for _, e := range h.s.Engines {
		if n++; n%2 == 0 {
			resting = append(resting, e)
		}
	}
	for _, s := range h.s.Services {
		resting = append(resting, s)
		break
	}
	for _, r := range resting {
		r.Faults().Arm(spec)
	}
	began := time.Now()
	for i := 0; time.Since(began) < lab.RestTime-200*time.Millisecond; i++ {
		q := fmt.Sprint("rest ", i)
		if text, err := h.stream(q); err != nil || text != wantText(q, 20) {
			t.Errorf("error %v, text %q", err, text)
		}
		if resp, body := h.post(0, "/v1/services/booking/bookings", lab.KeyOf(workspace), q, "{}"); resp.StatusCode != 200 {
			t.Errorf("booking got status %d, want 200: %s", resp.StatusCode, body)
		}
	}
	for i, r := range resting {
		// All calls go to the first VM.
		if n := r.Faults().Triggered(lab.FaultRest); n > 1 {
			t.Errorf("target %d asked for a rest %d times, want at most 1", i, n)
		}
	}
}
