package loadview

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestEstimateAge checks that the age of a load estimate is that of the target's report or, if
// that is too old, the mean age of the peers' reports.
func TestEstimateAge(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	if age := tr.EstimateAge(time.Hour, now); age != 0 {
		t.Errorf("got %v without a report and peers, want 0", age)
	}
	tr.SetPeerLoads("vm1", 1, 1, map[ids.Target]TargetWork{"e1": {Pending: 1}}, now.Add(-300*time.Millisecond))
	tr.SetPeerLoads("vm2", 1, 1, map[ids.Target]TargetWork{}, now.Add(-100*time.Millisecond))
	tr.SetPeerLoads("vm3", 1, 1, map[ids.Target]TargetWork{}, now.Add(-2*peerLoadTTL))
	tr.ExpirePeers(now)
	if age := tr.EstimateAge(time.Hour, now); age != 200*time.Millisecond {
		t.Errorf("got %v with peers' reports 100 and 300 ms old and an expired one, want 200ms", age)
	}
	if age := tr.EstimateAge(sendWindow, now); age != sendWindow {
		t.Errorf("got %v with a usable report, want its age", age)
	}
}
