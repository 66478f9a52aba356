package edge

import (
	"math"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/demand"
)

// TestUsualPrefillLeavesOutPlainRoutes guards against a prefill time that includes calls without a
// prompt, whose work is counted as one each: herds would be bounded to one request.
func TestUsualPrefillLeavesOutPlainRoutes(t *testing.T) {
	tr := demand.New(func() time.Time { return time.Unix(1000, 0) })
	for range 3 {
		tr.Decided(demand.Class{Service: "models", Route: "long"}, 0.06, true)
		tr.Decided(demand.Class{Service: "models", Route: "short"}, 0.02, true)
		tr.Decided(demand.Class{Service: "models", Route: "short"}, 5, false)
		tr.Decided(demand.Class{Service: "models", Route: "plain"}, 1, true)
	}
	if got := meanWork(tr.Picture("models"), []string{"long", "short"}); math.Abs(got-0.04) > 1e-6 {
		t.Errorf("usual prefill time is %v s, want 0.04", got)
	}
	if got := meanWork(tr.Picture("other"), []string{"long"}); got != 0 {
		t.Errorf("usual prefill time is %v s without calls, want 0", got)
	}
}
