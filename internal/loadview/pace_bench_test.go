package loadview

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// BenchmarkPaces measures the time for which Tracker.mu is held to compute the paces, to estimate the load of
// all targets for a decision, and to make this VM's report, with recent answers of all targets and reports of 66 VMs.
func BenchmarkPaces(b *testing.B) {
	for _, targets := range []int{140, 9756} {
		t, now := New(), time.Unix(1000, 0)
		for i := range targets {
			id := ids.Target(fmt.Sprint("t", i))
			for range 3 {
				t.ObservePace(id, "model", 140*time.Millisecond, 200*time.Millisecond, now)
			}
		}
		for vm := range 66 {
			var all []Pace
			for i := range MaxPaces {
				all = append(all, Pace{Target: ids.Target(fmt.Sprint("t", i)), Seed: true, PaceSums: PaceSums{Answers: 1, Slow: 1, Measured: 1.4, Predicted: 0.2}})
			}
			t.SetPeerPaces(ids.VM(fmt.Sprint("vm", vm)), 1, 1, all, now)
		}
		b.Run(fmt.Sprintf("refresh/targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				t.paces.at = time.Time{}
				t.refreshPaces(now)
			}
		})
		handles, out := make([]Handle, targets), make([]Load, targets)
		for i := range handles {
			handles[i] = t.Handle(ids.Target(fmt.Sprint("t", i)))
		}
		b.Run(fmt.Sprintf("estimate/targets=%d", targets), func(b *testing.B) {
			reports := make([]Report, targets)
			for b.Loop() {
				t.Estimate(handles, reports, 0, now, out)
			}
		})
		b.Run(fmt.Sprintf("report/targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				t.OwnPaces(now)
			}
		})
	}
}
