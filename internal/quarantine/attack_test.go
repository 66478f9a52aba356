package quarantine

import (
	"testing"
	"time"
)

// TestFleetUnderAttack simulates an attacker who crashes replicas with four calls a second and a
// new request after every second call. Since no request comes a third time, a quarantine by
// request cannot stop that attack, but it must not refuse other requests that were in progress on
// the replicas.
func TestFleetUnderAttack(t *testing.T) {
	s := fleetScenario{
		vms: 6, domains: 2, fatal: 1, fatalTwice: true, fatalEvery: 250 * time.Millisecond, crashAfter: [2]int{20, 150},
		popular: 12, regular: true, fatalFrom: 10 * time.Second, seconds: 70,
	}
	const seeds = 10
	var sum fleetResult
	for _, r := range simulateFleets(s, seeds) {
		sum.ended += r.ended
		sum.others += r.others
		sum.othersRefused += r.othersRefused
		sum.popular += r.popular
		sum.popularRefused += r.popularRefused
		sum.regular += r.regular
		sum.regularRefused += r.regularRefused
	}
	t.Logf("%d replicas ended in a minute; wrongly refused: %d of %d unique calls, %d of %d popular ones, %d of %d of a caller that asks once a second",
		sum.ended/seeds, sum.othersRefused, sum.others, sum.popularRefused, sum.popular, sum.regularRefused, sum.regular)
	if sum.othersRefused > sum.others/500 || sum.popularRefused > sum.popular/500 || sum.regularRefused > sum.regular/20 {
		t.Error("wrongly refused more than 1 in 500 unique calls, 1 in 500 popular ones or 1 in 20 of the regular caller")
	}
}
