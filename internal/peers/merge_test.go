package peers

import (
	"testing"

	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/ring"
)

// TestUpdatesWaitForPeer queues updates for a peer that can't be reached yet: the dispatches, the
// newest report of each target, the newest demand of each workspace and the newest heartbeat must
// wait for it. It guards against a VM that never heard of caches since the queue was full of
// heartbeats when the update with the dispatches came.
func TestUpdatesWaitForPeer(t *testing.T) {
	s := &sender{ring: ring.New[*peerpb.News](senderQueueSize)}
	for i := range uint64(20) {
		m := &peerpb.News{Beat: &peerpb.Beat{Counter: i}, Demands: []*peerpb.Demand{{Workspace: uint32(i % 2), Decirequests: uint32(i)}}}
		if i == 7 {
			m.Dispatches = []*peerpb.Dispatch{{Target: 3, Prefixes: []uint64{5}}}
		}
		m.Reports = []*peerpb.TargetReport{{Target: uint32(i % 3), Seq: i}}
		s.enqueue(m)
	}
	var all []*peerpb.News
	for s.ring.Len() > 0 {
		all = append(all, <-s.ring.Out())
	}
	got := mergeUpdates(all)
	if len(got.Dispatches) != 1 || got.Beat.Counter != 19 {
		t.Errorf("got dispatches %v and heartbeat %v, want one dispatch and heartbeat 19", got.Dispatches, got.Beat)
	}
	if len(got.Reports) != 3 || got.Reports[2].Seq != 19 {
		t.Errorf("got reports %v, want the last one of each of three targets", got.Reports)
	}
	if len(got.Demands) != 2 || got.Demands[0].Decirequests != 18 || got.Demands[1].Decirequests != 19 {
		t.Errorf("got demands %v, want 18 and 19", got.Demands)
	}
}

// TestMergedUpdateIsBounded merges many dispatches and reports: the newest maxMerged remain.
func TestMergedUpdateIsBounded(t *testing.T) {
	var all []*peerpb.News
	for i := range uint32(3 * maxMerged) {
		all = append(all, &peerpb.News{Dispatches: []*peerpb.Dispatch{{Target: i}}, Reports: []*peerpb.TargetReport{{Target: i}}})
	}
	got := mergeUpdates(all)
	if n := len(got.Dispatches); n != maxMerged || got.Dispatches[n-1].Target != 3*maxMerged-1 {
		t.Errorf("got %d dispatches, want the newest %d", n, maxMerged)
	}
	if n := len(got.Reports); n != maxMerged || got.Reports[n-1].Target != 3*maxMerged-1 {
		t.Errorf("got %d reports, want the newest %d", n, maxMerged)
	}
}
