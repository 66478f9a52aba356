package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// TestBudgetHoldsInAnyWindow generates random requests and retries, and checks for each
// window that ends with a retry that its retries do not exceed what its requests and the burst
// allow. Windows that end elsewhere need no check: they hold no more retries than the window
// that ends with their last retry.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const ratio, window = 0.2, 10 * time.Second
		burst := float64(rapid.IntRange(0, 6).Draw(rt, "burst"))
		now := time.Unix(0, 0)
		b := NewBudget(ratio, burst, window, func() time.Time { return now })
		var requests, retries []time.Time
		count := func(all []time.Time) (n int) {
			for _, at := range all {
				if now.Sub(at) <= window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 20, 300, 2500}).Draw(rt, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				b.Deposit()
				requests = append(requests, now)
				continue
			}
			if !b.Withdraw() {
				continue
			}
			retries = append(retries, now)
			if got, limit := float64(count(retries)), ratio*float64(count(requests))+burst; got > limit {
				rt.Fatalf("%v retries in the last window, at most %v are allowed", got, limit)
			}
		}
	})
}

// TestBudgetCoversDomainFailure checks that all retries that a window of requests allows can
// be made at once, as when a failure domain fails, and that the burst is available again a
// window later.
func TestBudgetCoversDomainFailure(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(0.2, 5, 10*time.Second, func() time.Time { return now })
	for range 100 {
		b.Deposit()
		now = now.Add(95 * time.Millisecond)
	}
	allowed := 0
	for b.Withdraw() {
		allowed++
	}
	if allowed != 25 {
		t.Fatalf("%d retries at once, want 25", allowed)
	}
	now = now.Add(11 * time.Second)
	if remaining := b.Remaining(); remaining != 5 {
		t.Fatalf("%v retries remain after a window without requests, want 5 (the burst)", remaining)
	}
}
