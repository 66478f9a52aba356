package edge

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestRanks gives each living VM a place of its own for a target, those of its failure domain
// first, and the same places at all VMs.
func TestRanks(t *testing.T) {
	domain := map[ids.VM]ids.FailureDomain{}
	for i := range 40 {
		domain[ids.VM(fmt.Sprint("vm", i))] = ids.FailureDomain(fmt.Sprint("z", i%4))
	}
	for _, target := range []ids.Target{"a", "b"} {
		taken := map[int]ids.VM{}
		for vm, d := range domain {
			l := &livingVMs{domain: domain, ranks: map[ids.Target]int{}}
			rank := l.rankOf(target, "z1", vm)
			if other, ok := taken[rank]; ok {
				t.Errorf("%s and %s have both rank %d for %s", vm, other, rank, target)
			}
			taken[rank] = vm
			if near := d == "z1"; near != (rank < 10) || rank != l.rankOf(target, "z1", vm) {
				t.Errorf("%s of %s has rank %d of 40", vm, d, rank)
			}
		}
	}
}
