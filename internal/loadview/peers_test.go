package loadview

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestKnownAge checks whose age counts for what is known of a target's load.
func TestKnownAge(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	if age := tr.EstimateAge(time.Hour, now); age != 0 {
		t.Errorf("%v without report and peers", age)
	}
	tr.SetPeerLoads("vm1", 1, 1, map[ids.Target]PeerLoad{"e1": {Pending: 1}}, now.Add(-300*time.Millisecond))
	tr.SetPeerLoads("vm2", 1, 1, map[ids.Target]PeerLoad{}, now.Add(-100*time.Millisecond))
	tr.SetPeerLoads("vm3", 1, 1, map[ids.Target]PeerLoad{}, now.Add(-2*peerMemory))
	tr.ExpirePeers(now)
	if age := tr.EstimateAge(time.Hour, now); age != 200*time.Millisecond {
		t.Errorf("%v by peers' words of 100 and 300 ms ago, and one that no longer counts", age)
	}
	if age := tr.EstimateAge(memory, now); age != memory {
		t.Errorf("%v with a report that is used", age)
	}
}
