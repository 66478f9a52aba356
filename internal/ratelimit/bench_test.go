package ratelimit

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
)

// BenchmarkDecision is what a decision asks of the limiter while 90 targets name limits. It was
// nothing before there were limits, and is 11 ns while no target names one.
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
