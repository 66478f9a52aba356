package rollout

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRestDuringRollout lets one of a few engines ask for a rest, that is, ask not to be sent
// requests for some time, shortly before the others get their orders. Except for the time of one
// drain, during which a rest may begin, at least one engine must accept requests.
//
// The test guards against this failure: two of three engines were drained for their orders when
// the third asked all VMs for a rest of 2 s. Every call was refused for the 0.6 s of the orders,
// though 5 s were left to send them. The rollout checked whether other engines accept requests
// only before the drain and not after it, and a resting engine counted as in service.
func TestRestDuringRollout(t *testing.T) {
	for _, engines := range []int{2, 3, 4} {
		for _, from := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				s := scenario{engines: engines}
				s.rests.from, s.rests.to = from, from+2*time.Second
				sim := newSimulation(s)
				const step = 10 * time.Millisecond
				none := time.Duration(0)
				go func() {
					for range int(s.rests.to / step) {
						time.Sleep(step)
						if sim.serving() == 0 {
							none += step
						}
					}
				}()
				sim.run(t, loadedWithin)
				if none > drainMin+2*reconcileEvery {
					t.Errorf("%d engines, rest from %v: none accepted requests for %v", engines, from, none)
				}
				if last, never := sim.lastAccepted(); len(never) > 0 || last > within {
					t.Errorf("%d engines, rest from %v: the last one accepted its order after %v, %d never did", engines, from, last, len(never))
				}
			})
		}
	}
}

// serving returns how many engines accept requests.
func (sim *simulation) serving() (n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for id, e := range sim.engines {
		if !e.out && !e.down && !sim.Declines(id) {
			n++
		}
	}
	return n
}
