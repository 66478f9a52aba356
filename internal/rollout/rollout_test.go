package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// fakeLoads answers with loads that change with every look.
type fakeLoads struct{ looks []loadview.PeerLoad }

func (f *fakeLoads) StateOf(ids.Target) routing.State { return routing.Live }

func (f *fakeLoads) NoContact(ids.Target) bool { return false }

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
		Named:    muchTime{},
		Loads:    &fakeLoads{looks: []loadview.PeerLoad{{InFlight: 5, NotResumable: 2}, {InFlight: 5, NotResumable: 1}, {InFlight: 3}}},
		Ordering: func(id ids.Target, _ ids.WeightsVersion, _ bool) { told = append(told, string(id)) },
	}
	if m := r.drain(context.Background(), &Command{Target: "e1"}, "1"); m != CutOff {
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
		Named:    muchTime{},
		Loads:    &fakeLoads{looks: []loadview.PeerLoad{{InFlight: 2, NotResumable: 1}}},
		Ordering: func(ids.Target, ids.WeightsVersion, bool) {},
	}
	if m := r.drain(context.Background(), &Command{Target: "e1"}, "1"); m != Finish {
		t.Fatalf("got %v, want them to finish", m)
	}
}

// muchTime leaves a minute to old weights.
type muchTime struct{}

func (muchTime) Newest(ids.Model) ids.WeightsVersion      { return "2" }
func (muchTime) Since(ids.Model, time.Time) time.Duration { return 0 }
func (muchTime) Left(_ ids.Model, has ids.WeightsVersion, _ time.Time) (time.Duration, bool) {
	return time.Minute, has != "2"
}

// goneEngines answer that another incarnation sits at a replica's address.
type goneEngines struct{ reads, orders int }

func (e *goneEngines) Read(context.Context, ids.Target, string) (State, error) {
	e.reads++
	return State{}, ErrGone
}

func (e *goneEngines) Order(context.Context, Command) error {
	e.orders++
	return ErrGone
}

type oneReplica struct{}

func (oneReplica) Records() []platform.Record {
	return []platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Weights: "1"}}
}
func (oneReplica) SetWeights(ids.Target, ids.WeightsVersion, string) {}

func (oneReplica) Restarted(ids.Target, ids.Incarnation, string) {}

// TestNoOrderToAnEndedReplica checks that a replica that has ended is reported and
// gets no order in the next rounds, though it is still listed. Before, such replicas
// were given order after order until their entries ran out, and took the places of
// the living in the rollout (bac scale-2).
func TestNoOrderToAnEndedReplica(t *testing.T) {
	var gone []ids.Target
	calls := &goneEngines{}
	r := &Rollout{
		Calls: calls, Replicas: oneReplica{}, Loads: &fakeLoads{looks: []loadview.PeerLoad{{}}},
		Gone: func(id ids.Target, _ ids.Incarnation) { gone = append(gone, id) },
	}
	err := r.Send(t.Context(), orders.Order{Target: "e1", Want: orders.Want{Weights: "2"}}, lease.Token{})
	if !errors.Is(err, ErrGone) || len(gone) != 1 || gone[0] != "e1" {
		t.Fatalf("got %v, gone %v", err, gone)
	}
	wants := map[ids.Target]orders.Want{"e1": {Weights: "2"}}
	if plan := orders.Plan(wants, r.Engines(), func(ids.Model) orders.Pace { return orders.Pace{OutShare: 1} }); len(plan) != 0 || calls.orders != 0 {
		t.Fatalf("got the plan %v after %d orders", plan, calls.orders)
	}
}

// Deployed implements Replicas.
func (o oneReplica) Deployed() []platform.Deployed { return deployed(o.Records()) }

// Declines implements Loads.
func (f *fakeLoads) Declines(ids.Target) bool { return false }
