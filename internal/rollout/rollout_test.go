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

// fakeStatus returns the next of its loads with every call.
type fakeStatus struct{ loads []loadview.TargetWork }

func (f *fakeStatus) StateOf(ids.Target) routing.State { return routing.Live }

func (f *fakeStatus) Unresponsive(ids.Target) bool { return false }

func (f *fakeStatus) WorkOf(ids.Target) (loadview.TargetWork, time.Duration) {
	l := f.loads[0]
	if len(f.loads) > 1 {
		f.loads = f.loads[1:]
	}
	return l, 0
}

// TestDrainWaitsForNonResumableRequests checks that an order cuts requests off only once all of
// them can resume elsewhere. When orders let all requests finish instead, each waited for the
// longest stream, up to 5 s, and the rollout of a version took more than 10 s.
func TestDrainWaitsForNonResumableRequests(t *testing.T) {
	var announced []string
	r := &Rollout{
		Weights: ampleTime{},
		Targets: &fakeStatus{loads: []loadview.TargetWork{{InFlight: 5, NotResumable: 2}, {InFlight: 5, NotResumable: 1}, {InFlight: 3}}},
		OnOrder: func(id ids.Target, _ ids.WeightsVersion, _ bool) { announced = append(announced, string(id)) },
	}
	if m := r.drain(context.Background(), &Command{Target: "e1"}, "1"); m != CutOff {
		t.Fatalf("got %v, want cut-off", m)
	}
	if len(announced) != 1 || announced[0] != "e1" {
		t.Fatalf("announced %v, want e1 once", announced)
	}
}

// TestDrainTimeoutDoesNotCutOff checks that non-resumable requests are never cut off, however
// long they take.
func TestDrainTimeoutDoesNotCutOff(t *testing.T) {
	r := &Rollout{
		Weights: ampleTime{},
		Targets: &fakeStatus{loads: []loadview.TargetWork{{InFlight: 2, NotResumable: 1}}},
		OnOrder: func(ids.Target, ids.WeightsVersion, bool) {},
	}
	if m := r.drain(context.Background(), &Command{Target: "e1"}, "1"); m != Finish {
		t.Fatalf("got %v, want finish", m)
	}
}

// ampleTime lets old weights be used for another minute.
type ampleTime struct{}

func (ampleTime) Newest(ids.Model) ids.WeightsVersion      { return "2" }
func (ampleTime) Since(ids.Model, time.Time) time.Duration { return 0 }
func (ampleTime) Left(_ ids.Model, has ids.WeightsVersion, _ time.Time) (time.Duration, bool) {
	return time.Minute, has != "2"
}

// endedEngines reports another incarnation at every replica's address.
type endedEngines struct{ reads, orders int }

func (e *endedEngines) Read(context.Context, ids.Target, string) (State, error) {
	e.reads++
	return State{}, ErrGone
}

func (e *endedEngines) Order(context.Context, Command) error {
	e.orders++
	return ErrGone
}

type oneReplica struct{}

func (oneReplica) Records() []platform.Record {
	return []platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Weights: "1"}}
}
func (oneReplica) SetWeights(ids.Target, ids.WeightsVersion, string) {}

func (oneReplica) Restarted(ids.Target, ids.Incarnation, string) {}

// TestNoOrderToEndedReplica checks that a replica that has ended is reported and gets no order
// while it is still listed. Such replicas used to get order after order until their entries
// expired, and occupied the slots of live replicas in the rollout.
func TestNoOrderToEndedReplica(t *testing.T) {
	var gone []ids.Target
	calls := &endedEngines{}
	r := &Rollout{
		Client: calls, Replicas: oneReplica{}, Targets: &fakeStatus{loads: []loadview.TargetWork{{}}},
		OnGone: func(id ids.Target, _ ids.Incarnation) { gone = append(gone, id) },
	}
	err := r.Send(t.Context(), orders.Order{Target: "e1", Desired: orders.DesiredState{Weights: "2"}}, lease.Token{})
	if !errors.Is(err, ErrGone) || len(gone) != 1 || gone[0] != "e1" {
		t.Fatalf("got %v, reported as gone: %v, want ErrGone and e1 once", err, gone)
	}
	desired := map[ids.Target]orders.DesiredState{"e1": {Weights: "2"}}
	if plan := orders.Plan(desired, r.Engines(), func(ids.Model) orders.MaxUnavailable { return orders.MaxUnavailable{OneIn: 1} }); len(plan) != 0 || calls.orders != 0 {
		t.Fatalf("got the plan %v after %d orders, want no order", plan, calls.orders)
	}
}

// Deployed implements Replicas.
func (o oneReplica) Deployed() []platform.Deployed { return deployed(o.Records()) }

// Declines implements TargetStatus.
func (f *fakeStatus) Declines(ids.Target) bool { return false }
