package edge

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestRanks checks that live VMs, which compute their ranks independently, each have a different
// rank for a target, and that VMs of the target's failure domain rank first.
func TestRanks(t *testing.T) {
	domain := map[ids.VM]ids.FailureDomain{}
	for i := range 40 {
		domain[ids.VM(fmt.Sprint("vm", i))] = ids.FailureDomain(fmt.Sprint("z", i%4))
	}
	for _, target := range []ids.Target{"a", "b"} {
		taken := map[int]ids.VM{}
		for vm, d := range domain {
			l := &liveVMs{domain: domain, ranks: map[ids.Target]int{}}
			rank := l.rankOf(target, "z1", vm)
			if other, ok := taken[rank]; ok {
				t.Errorf("%s and %s both have rank %d for %s", vm, other, rank, target)
			}
			taken[rank] = vm
			if sameDomain := d == "z1"; sameDomain != (rank < 10) || rank != l.rankOf(target, "z1", vm) {
				t.Errorf("%s of %s has rank %d of 40", vm, d, rank)
			}
		}
	}
}
