package routing

import "testing"

// TestWeightsFilter checks that a target with old weights is used only for requests that
// are expected to start there in time.
func TestWeightsFilter(t *testing.T) {
	r := &Request{OldWeights: []WeightsBound{{OlderThan: 2, StartWithin: -1}, {OlderThan: 3, StartWithin: 4}}}
	for _, c := range []struct {
		weights uint64
		wait    float32 // seconds
		want    Reason
	}{
		{3, 100, Passed},
		{2, 0, Passed},
		{2, 1.9, Passed},
		{2, 2.1, OldWeights},
		{1, 0, OldWeights},
		{0, 0, OldWeights},
	} {
		got := WeightsFilter{}.Check(r, &Target{WeightsNumber: c.weights}, &Input{SlotWait: c.wait, PrefillRate: 1})
		if got != c.want {
			t.Errorf("weights %d with a wait of %v s: got %v, want %v", c.weights, c.wait, got, c.want)
		}
	}
	r.LostIfWithdrawn = true
	for wait, want := range map[float32]Reason{0.9: Passed, 1.1: OldWeights} {
		if got := (WeightsFilter{}).Check(r, &Target{WeightsNumber: 2}, &Input{SlotWait: wait}); got != want {
			t.Errorf("a request that must not be withdrawn, with a wait of %v s: got %v, want %v", wait, got, want)
		}
	}
	if got := (WeightsFilter{}).Check(&Request{}, &Target{}, &Input{SlotWait: 100}); got != Passed {
		t.Errorf("without bounds on old weights: got %v, want Passed", got)
	}
}
