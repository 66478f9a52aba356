package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// scriptedEngine is one engine, e1, with scripted behaviour, and what the VM knows of it.
type scriptedEngine struct {
	read         func() (State, error)
	order        func(c Command) error
	work         loadview.TargetWork
	laterLoad    atomic.Pointer[loadview.TargetWork] // if set, replaces work
	state        routing.State
	unresponsive bool // according to this VM's other calls

	record platform.Record
	newest ids.WeightsVersion
	within time.Duration // how long after began older weights may be used
	began  time.Time

	sent      []Command
	announced []ids.WeightsVersion // weights announced to the VMs during the order
	completed []ids.WeightsVersion
	set       []ids.WeightsVersion
	goneCalls int
}

var (
	_ EngineClient   = (*scriptedEngine)(nil)
	_ Replicas       = (*scriptedEngine)(nil)
	_ TargetStatus   = (*scriptedEngine)(nil)
	_ DesiredWeights = (*scriptedEngine)(nil)
)

func (s *scriptedEngine) Read(context.Context, ids.Target, string) (State, error) { return s.read() }

func (s *scriptedEngine) Order(_ context.Context, c Command) error {
	s.sent = append(s.sent, c)
	return s.order(c)
}

func (s *scriptedEngine) Records() []platform.Record { return []platform.Record{s.record} }

func (s *scriptedEngine) SetWeights(_ ids.Target, w ids.WeightsVersion, _ string) {
	s.set = append(s.set, w)
}

func (s *scriptedEngine) Restarted(ids.Target, ids.Incarnation, string) {}

func (s *scriptedEngine) StateOf(ids.Target) routing.State { return s.state }

func (s *scriptedEngine) Unresponsive(ids.Target) bool { return s.unresponsive }

func (s *scriptedEngine) WorkOf(ids.Target) (loadview.TargetWork, time.Duration) {
	if later := s.laterLoad.Load(); later != nil {
		return *later, 0
	}
	return s.work, 0
}

func (s *scriptedEngine) Newest(ids.Model) ids.WeightsVersion { return s.newest }

func (s *scriptedEngine) Since(_ ids.Model, now time.Time) time.Duration { return now.Sub(s.began) }

func (s *scriptedEngine) Left(_ ids.Model, has ids.WeightsVersion, now time.Time) (time.Duration, bool) {
	if has >= s.newest {
		return 0, false
	}
	return s.within - now.Sub(s.began), true
}

// has returns a state with the given weights.
func has(w ids.WeightsVersion) State {
	return State{Weights: map[ids.Model]ids.WeightsVersion{"m": w}}
}

// newScripted returns an engine with version 1 that accepts each order, and a rollout that
// holds the lease.
func newScripted(t *testing.T) (*scriptedEngine, *Rollout) {
	t.Helper()
	state := has("1")
	s := &scriptedEngine{
		state: routing.Live, newest: "2", within: time.Minute, began: time.Now(),
		record: platform.Record{ID: "e1", Role: platform.RoleEngine, Model: "m", Weights: "1"},
		read:   func() (State, error) { return state, nil },
		order: func(c Command) error {
			state = has(c.Weights)
			return nil
		},
	}
	l := lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: time.Hour}, nil)
	if err := l.Try(t.Context()); err != nil {
		t.Fatal(err)
	}
	r := &Rollout{
		VM: "vm", Lease: l, Replicas: s, Weights: s, Client: s, Targets: s,
		OnOrder: func(_ ids.Target, w ids.WeightsVersion, done bool) {
			if done {
				s.completed = append(s.completed, w)
			} else {
				s.announced = append(s.announced, w)
			}
		},
		OnGone: func(ids.Target, ids.Incarnation) { s.goneCalls++ },
	}
	return s, r
}

func (s *scriptedEngine) send(t *testing.T, r *Rollout) error {
	t.Helper()
	return r.Send(t.Context(), orders.Order{Target: "e1", Desired: orders.DesiredState{Weights: s.newest}}, lease.Token{})
}

// TestRespondingEngineIsLive checks that an engine counts as live for package orders for
// responsiveFor after a read of its state, regardless of this VM's other calls to it.
func TestRespondingEngineIsLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.unresponsive = true
		want := func(state routing.State) {
			t.Helper()
			if got := r.Engines()[0].State; got != state {
				t.Errorf("got state %v, want %v", got, state)
			}
		}
		want(routing.Suspect)
		r.recordResponse("e1")
		want(routing.Live)
		time.Sleep(responsiveFor - time.Millisecond)
		want(routing.Live)
		time.Sleep(time.Millisecond)
		want(routing.Suspect)
	})
}

// TestLeavingGetsNoOrder checks that an engine that has reported to a VM that it leaves gets
// no order, even before its record says so.
func TestLeavingGetsNoOrder(t *testing.T) {
	s, r := newScripted(t)
	s.state = routing.Leaving
	if got := r.Engines(); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// TestNoDesiredStateForNewerWeights checks that there is no desired state for an engine with
// newer weights than this VM knows of.
func TestNoDesiredStateForNewerWeights(t *testing.T) {
	s, r := newScripted(t)
	for weights, want := range map[ids.WeightsVersion]int{"1": 1, "2": 0, "3": 0} {
		s.record.Weights = weights
		if desired, err := r.DesiredStates(t.Context()); err != nil || len(desired) != want {
			t.Errorf("weights %s: got %v, %v, want %d desired states", weights, desired, err, want)
		}
	}
}

// TestResentOrderUsesNewestWeights sets a new version while an order is in transit and gets
// lost: the second order must be for the new version.
func TestResentOrderUsesNewestWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		accept := s.order
		s.order = func(c Command) error {
			if len(s.sent) > 1 {
				return accept(c)
			}
			s.newest = "3"
			return errNoResponse
		}
		if err := s.send(t, r); err != nil || len(s.sent) != 2 || s.sent[0].Weights != "2" || s.sent[1].Weights != "3" {
			t.Errorf("got %+v, %v", s.sent, err)
		}
	})
}

// TestRefusedOrderIsNotResent checks that an update ends at once when the engine refuses the
// order for good, and that the engine then counts as dead.
func TestRefusedOrderIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.order = func(Command) error { return ErrRefused }
		began := time.Now()
		if err := s.send(t, r); !errors.Is(err, ErrRefused) || len(s.sent) != 1 || time.Since(began) > drainMax {
			t.Errorf("got %v after %d orders and %v", err, len(s.sent), time.Since(began))
		}
		if got := r.Engines()[0].State; got != routing.Dead {
			t.Errorf("got state %v, want dead", got)
		}
	})
}

// TestSingleFailedReadIsTolerated fails reads of the state of an engine that loads weights:
// the engine counts as unresponsive only after the second consecutive failure.
func TestSingleFailedReadIsTolerated(t *testing.T) {
	for _, missed := range []int{1, maxFailedReads} {
		synctest.Test(t, func(t *testing.T) {
			s, r := newScripted(t)
			reads, read := 0, s.read
			s.read = func() (State, error) {
				reads++
				if len(s.sent) > 0 && reads <= 1+missed {
					return State{}, errNoResponse
				}
				return read()
			}
			began := time.Now()
			err := s.send(t, r)
			if (err != nil) != (missed >= maxFailedReads) {
				t.Errorf("%d failed reads: got %v", missed, err)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("%d failed reads took %v", missed, took)
			}
		})
	}
}

// TestNoResendWhileReportsLag checks that an order is not sent again while the engine's
// reported state may lag behind the order that it has accepted.
func TestNoResendWhileReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		began, read := time.Time{}, s.read
		s.order = func(Command) error {
			began = time.Now()
			return nil
		}
		s.read = func() (State, error) {
			switch since := time.Since(began); {
			case began.IsZero() || since < readInterval*(maxIdleReads-1)+readInterval/2:
				return read()
			case since < 3*time.Second:
				state := has("1")
				state.Busy = true
				return state, nil
			}
			return has("2"), nil
		}
		if err := s.send(t, r); err != nil || len(s.sent) != 1 {
			t.Errorf("got %d orders, %v", len(s.sent), err)
		}
	})
}

// TestEngineEndsDuringOrder checks that the next read of the state detects an engine that
// ends while it carries out its order.
func TestEngineEndsDuringOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		read, reads := s.read, 0
		s.read = func() (State, error) {
			if len(s.sent) == 0 {
				return read()
			}
			reads++
			return State{}, ErrGone
		}
		if err := s.send(t, r); !errors.Is(err, ErrGone) || reads != 1 || s.goneCalls != 1 {
			t.Errorf("got %v after %d reads, reported %d times", err, reads, s.goneCalls)
		}
	})
}

// TestCompletionIsAnnounced checks that an engine returns to service for all VMs as soon as it
// has its weights, and not before.
func TestCompletionIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		if err := s.send(t, r); err != nil {
			t.Fatal(err)
		}
		if len(s.completed) != 1 || s.completed[0] != "2" || len(s.set) != 1 || s.set[0] != "2" {
			t.Errorf("announced %v, recorded %v, want version 2 once", s.completed, s.set)
		}
		if want := []ids.WeightsVersion{"", "2"}; len(s.announced) != 2 || s.announced[0] != want[0] || s.announced[1] != want[1] {
			t.Errorf("before that announced %q, want %q: for the drain and for the order", s.announced, want)
		}
	})
}

// TestWaitsForBusyEngine takes over from a lease holder whose order an engine carries out:
// the engine must be neither drained nor sent another order before that order has ended.
func TestWaitsForBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		began := time.Now()
		state := s.read
		s.read = func() (State, error) {
			now, err := state()
			now.Busy = time.Since(began) < 3*time.Second
			return now, err
		}
		s.order = func(Command) error {
			if since := time.Since(began); since < 3*time.Second {
				t.Errorf("an order was sent after %v", since)
			}
			return ErrRefused
		}
		if err := s.send(t, r); !errors.Is(err, ErrRefused) || len(s.sent) != 1 {
			t.Errorf("got %v after %d orders, want one once the engine is idle", err, len(s.sent))
		}
		if drained := r.Stats.DrainMs.Load(); drained != 0 {
			t.Errorf("the engine was drained for %d ms", drained)
		}
	})
}

// TestDrainTimeIsBounded checks that a drain takes only a fraction of the time left, and that
// more than maxCutOff requests are not cut off even if all could resume elsewhere.
func TestDrainTimeIsBounded(t *testing.T) {
	for _, c := range []struct {
		within time.Duration
		work   loadview.TargetWork
		took   time.Duration
		want   Method
	}{
		{time.Minute, loadview.TargetWork{InFlight: 3, NotResumable: 1}, drainMax, Finish},
		{2 * time.Second, loadview.TargetWork{InFlight: 3, NotResumable: 1}, 500 * time.Millisecond, Finish},
		{-time.Second, loadview.TargetWork{InFlight: 3, NotResumable: 1}, 0, Finish},
		{time.Minute, loadview.TargetWork{InFlight: maxCutOff}, drainMin, CutOff},
		{time.Minute, loadview.TargetWork{InFlight: maxCutOff + 1}, drainMax, Finish},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, r := newScripted(t)
			s.within, s.work = c.within, c.work
			method := r.drain(t.Context(), &Command{Target: "e1", Model: "m"}, "1")
			if took := time.Since(s.began); method != c.want || took != c.took {
				t.Errorf("%v left, %+v: %v after %v, want %v after %v", c.within, c.work, method, took, c.want, c.took)
			}
		})
	}
}

// TestOrderWaitsForLeaseRenewal checks that an order is sent only if it arrives before the
// lease ends. If too little time is left, it waits for the renewal, but no longer than the
// lease lasts.
func TestOrderWaitsForLeaseRenewal(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			_, r := newScripted(t)
			r.Lease = lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: 2 * time.Second}, nil)
			if err := r.Lease.Try(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2*time.Second - orderTimeout + time.Millisecond)
			if renewed {
				time.AfterFunc(200*time.Millisecond, func() { _ = r.Lease.Try(t.Context()) })
			}
			began := time.Now()
			token, err := r.token(t.Context())
			waited, left := time.Since(began), time.Until(token.Until)
			switch {
			case !renewed && (!errors.Is(err, errNoLease) || waited > orderTimeout):
				t.Errorf("without a renewal: %+v, %v after %v", token, err, waited)
			case renewed && (err != nil || left < orderTimeout || waited < 200*time.Millisecond):
				t.Errorf("got %v after %v, with %v left of the lease", err, waited, left)
			}
		})
	}
}

// Deployed implements Replicas.
func (s *scriptedEngine) Deployed() []platform.Deployed { return deployed(s.Records()) }

// Declines implements TargetStatus.
func (s *scriptedEngine) Declines(ids.Target) bool { return false }
