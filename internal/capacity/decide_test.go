package capacity

import (
	"fmt"
	"testing"
)

// TestDecideDoesNotAllocate checks that a decision does not allocate, since every request
// needs one.
func TestDecideDoesNotAllocate(t *testing.T) {
	f := DecideFleet(153, 10_000)
	scratch := f.Acquire()
	r := DecideRequest(1)
	if n := testing.AllocsPerRun(100, func() {
		f.Decide(&r, nil, scratch)
	}); n > 0 {
		t.Fatalf("%v allocations per decision, want 0", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range [][2]int{{9, 10_000}, {153, 10_000}, {153, 100_000}, {600, 100_000}} {
		b.Run(fmt.Sprintf("replicas=%d/entries=%d", size[0], size[1]), func(b *testing.B) {
			f := DecideFleet(size[0], size[1])
			scratch := f.Acquire()
			b.ReportAllocs()
			r := DecideRequest(1)
			for b.Loop() {
				f.Decide(&r, nil, scratch)
			}
		})
	}
}
