package capacity

import (
	"fmt"
	"testing"
)

// A decision must not allocate: it is on the path of every request.
func TestDecideDoesNotAllocate(t *testing.T) {
	f := DecideFleet(153, 10_000)
	sc := f.Acquire()
	r := DecideRequest(1)
	if n := testing.AllocsPerRun(100, func() {
		f.Decide(&r, nil, sc)
	}); n > 0 {
		t.Fatalf("%v allocations a decision", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range [][2]int{{9, 10_000}, {153, 10_000}, {153, 100_000}, {600, 100_000}} {
		b.Run(fmt.Sprintf("replicas=%d/beliefs=%d", size[0], size[1]), func(b *testing.B) {
			f := DecideFleet(size[0], size[1])
			sc := f.Acquire()
			b.ReportAllocs()
			r := DecideRequest(1)
			for b.Loop() {
				f.Decide(&r, nil, sc)
			}
		})
	}
}
