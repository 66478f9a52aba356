package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/ids"
)

// sharing simulates VMs that share one workspace's rate limit, in virtual time.
type sharing struct {
	now    time.Time
	shares []*allowance.Limiter
	vms    []*Limiter
	limits config.Limits
	seq    uint64
}

const (
	sharingVMs   = 8
	sharingLimit = 100 // requests/s over all VMs
	step         = 50 * time.Millisecond
)

func newSharing() *sharing {
	s := &sharing{now: time.Unix(1_000_000, 0), limits: config.Limits{RequestsPerSecond: sharingLimit, Concurrency: 100_000, Weight: 1}}
	clock := func() time.Time { return s.now }
	var names []ids.VM
	for i := range sharingVMs {
		names = append(names, ids.VM(fmt.Sprint("vm", i)))
	}
	for i := range sharingVMs {
		sh := allowance.New(ids.VM(fmt.Sprint("vm", i)), clock)
		sh.SetVMs(names)
		s.shares = append(s.shares, sh)
		s.vms = append(s.vms, New(DefaultTuning, sh, clock))
	}
	return s
}

// run sends requests to each VM at the given rate, while the VMs of one side of a network
// partition exchange their usage once a second. It returns the requests admitted in each
// second.
func (s *sharing) run(seconds int, rate func(vm int) float64, side func(vm int) int) []int {
	var admitted []int
	due := make([]float64, sharingVMs) // requests to send by VM
	for range seconds {
		n := 0
		for range time.Second / step {
			s.now = s.now.Add(step)
			for i, l := range s.vms {
				for due[i] += rate(i) * step.Seconds(); due[i] >= 1; due[i]-- {
					if release, refusal := l.Admit(ws, s.limits); refusal == nil {
						release()
						n++
					}
				}
			}
		}
		s.exchange(side)
		for _, sh := range s.shares {
			sh.Sweep()
		}
		admitted = append(admitted, n)
	}
	return admitted
}

func (s *sharing) exchange(side func(vm int) int) {
	for i, from := range s.shares {
		uses := from.OwnUse()
		for j, to := range s.shares {
			if i == j || side(i) != side(j) {
				continue
			}
			s.seq++
			to.RecordUse(ids.VM(fmt.Sprint("vm", i)), 1, s.seq, uses)
		}
	}
}

func total(x []int) int {
	sum := 0
	for _, v := range x {
		sum += v
	}
	return sum
}

// TestSharedRate checks that VMs that share a rate limit use most of it and exceed it
// little, while demand moves from all VMs to one and back, and while a network partition
// separates two VMs from the other six.
func TestSharedRate(t *testing.T) {
	s := newSharing()
	together := func(int) int { return 0 }
	even := func(int) float64 { return 40 }
	one := func(vm int) float64 {
		if vm == 0 {
			return 320
		}
		return 0
	}
	partition := func(vm int) int { return vm / 6 } // six VMs and two VMs
	for _, phase := range []struct {
		name       string
		admitted   []int
		settle     int     // seconds allowed for convergence
		high, used float64 // upper and lower bound of the admitted rate, as fractions of the limit
	}{
		{"even demand", s.run(20, even, together), 5, 1.3, 0.9},
		{"all demand at one VM", s.run(20, one, together), 8, 1.3, 0.8},
		{"even again", s.run(20, even, together), 8, 1.6, 0.9},
		{"partition into six and two", s.run(20, even, partition), 8, 1.3, 0.9},
	} {
		overall := float64(total(phase.admitted)) / float64(len(phase.admitted)) / sharingLimit
		settled := phase.admitted[phase.settle:]
		used := float64(total(settled)) / float64(len(settled)) / sharingLimit
		t.Logf("%s: %.2f of the limit over 20 s, %.2f after convergence, by second %v", phase.name, overall, used, phase.admitted)
		if overall > phase.high || used < phase.used || used > 1.1 {
			t.Errorf("%s: %.2f of the limit over 20 s, want at most %.2f; %.2f after convergence, want %.2f to 1.10", phase.name, overall, phase.high, used, phase.used)
		}
	}
}
