package rollout

import (
	"testing"
	"testing/synctest"
	"time"
)

// Two of three engines were drained for their orders when the third asked all VMs for a rest of
// two seconds; for the 0.6 s of the orders every call was refused, though there were five seconds
// left for them. Whether other engines took calls was looked at before an engine was drained and
// not after, and one that rests counted as in service.

// TestRestWhileOrdersAreDue has the last of few engines rest around the moment at which the others
// get their orders, before the first of these has gone out. But for the time of one drain, in which a rest may begin, one of them takes calls.
func TestRestWhileOrdersAreDue(t *testing.T) {
	for _, engines := range []int{2, 3, 4} {
		for _, from := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				s := scenario{engines: engines}
				s.rests.from, s.rests.to = from, from+2*time.Second
				w := newWorld(s)
				const step = 10 * time.Millisecond
				none := time.Duration(0)
				go func() {
					for range int(s.rests.to / step) {
						time.Sleep(step)
						if w.serving() == 0 {
							none += step
						}
					}
				}()
				w.run(t, allWithin)
				if none > drainLeast+2*roundEvery {
					t.Errorf("%d engines, rest from %v: none took calls for %v", engines, from, none)
				}
				if last, never := w.latest(); len(never) > 0 || last > within {
					t.Errorf("%d engines, rest from %v: the last one took its order after %v, %d never did", engines, from, last, len(never))
				}
			})
		}
	}
}

// serving is how many engines take calls.
func (w *world) serving() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.engines {
		if !e.out && !e.down && !w.Declines(id) {
			n++
		}
	}
	return n
}
