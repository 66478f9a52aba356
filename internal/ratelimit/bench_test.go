package ratelimit

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
)

// BenchmarkDecision measures the calls of one routing decision to the limiter while up to 90
// targets announce limits. Without any limit they take 11 ns.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{0, 2, 90} {
		b.Run(fmt.Sprint(n, " limits"), func(b *testing.B) {
			l := New(nil)
			l.Position = func(ids.Target) Position { return Position{Rank: 1, Live: 90, Listed: 90} }
			l.RecentRate = func(ids.Target) float64 { return 0 }
			for i := range n {
				l.ObserveResponse(ids.Target(fmt.Sprint("t", i)), 1, PerSecond(20), l.now())
			}
			for b.Loop() {
				l.LimitedTargets()
				l.Take("t0")
			}
		})
	}
}
