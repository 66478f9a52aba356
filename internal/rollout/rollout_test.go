package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/routing"
)

// fakeLoads answers with loads that change with every look.
type fakeLoads struct{ looks []loadview.PeerLoad }

func (f *fakeLoads) StateOf(ids.Target) routing.State { return routing.Live }

func (f *fakeLoads) WorkOf(ids.Target) (loadview.PeerLoad, time.Duration) {
	l := f.looks[0]
	if len(f.looks) > 1 {
		f.looks = f.looks[1:]
	}
	return l, 0
}

// TestDrainWaitsForBoundRequests checks that runs are cut off only when none is
// left that can't go on elsewhere; before, every order waited for the longest
// stream, up to 5 s, and a version needed more than 10 s (bac scale-1).
func TestDrainWaitsForBoundRequests(t *testing.T) {
	var told []string
	r := &Rollout{
		Loads:    &fakeLoads{looks: []loadview.PeerLoad{{InFlight: 5, Bound: 2}, {InFlight: 5, Bound: 1}, {InFlight: 3}}},
		Ordering: func(id ids.Target, _ ids.WeightsVersion, _ bool) { told = append(told, string(id)) },
	}
	if m := r.drain(context.Background(), "e1"); m != CutOff {
		t.Fatalf("got %v, want the rest to be cut off", m)
	}
	if len(told) != 1 || told[0] != "e1" {
		t.Fatalf("peers were told %v, want once of e1", told)
	}
}

// TestDrainGivesUp checks that requests which can't go on elsewhere are never cut
// off, however long they take.
func TestDrainGivesUp(t *testing.T) {
	r := &Rollout{
		Loads:    &fakeLoads{looks: []loadview.PeerLoad{{InFlight: 2, Bound: 1}}},
		Ordering: func(ids.Target, ids.WeightsVersion, bool) {},
	}
	if m := r.drain(context.Background(), "e1"); m != Finish {
		t.Fatalf("got %v, want them to finish", m)
	}
}
