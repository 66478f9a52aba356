package quarantine

import (
	"testing"
	"time"
)

// TestFleetUnderAttack has somebody end replicas with ever new requests, four a second, none
// of which comes often enough to be quarantined. That is beyond what a quarantine by request
// can end; what it must not do is turn others away whose requests were under way there.
func TestFleetUnderAttack(t *testing.T) {
	s := fleetScenario{
		vms: 6, domains: 2, fatal: 1, fatalTwice: true, fatalEvery: 250 * time.Millisecond, crashAfter: [2]int{20, 150},
		popular: 12, regular: true, fatalFrom: 10 * time.Second, seconds: 70,
	}
	const seeds = 10
	var sum fleetResult
	for _, r := range playFleets(s, seeds) {
		sum.ended += r.ended
		sum.others += r.others
		sum.wronged += r.wronged
		sum.popular += r.popular
		sum.popWrong += r.popWrong
		sum.regular += r.regular
		sum.regWrong += r.regWrong
	}
	t.Logf("%d replicas ended in a minute; turned away for nothing: %d of %d unique calls, %d of %d popular ones, %d of %d of a caller that asks once a second",
		sum.ended/seeds, sum.wronged, sum.others, sum.popWrong, sum.popular, sum.regWrong, sum.regular)
	if sum.wronged > sum.others/500 || sum.popWrong > sum.popular/500 || sum.regWrong > sum.regular/20 {
		t.Error("too many are turned away for nothing")
	}
}
