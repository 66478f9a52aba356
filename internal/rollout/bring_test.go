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

// scripted is one engine, e1, that does as a test says, and what is known of it.
type scripted struct {
	read   func() (State, error)
	order  func(c Command) error
	work   loadview.PeerLoad
	later  atomic.Pointer[loadview.PeerLoad] // set: the work from now on
	member routing.State
	silent bool // as far as this VM's other calls know

	record platform.Record
	newest ids.WeightsVersion
	within time.Duration
	began  time.Time

	given   []Command
	ordered []ids.WeightsVersion // what the VMs were told while an order lasts
	done    []ids.WeightsVersion
	set     []ids.WeightsVersion
	gone    int
}

var (
	_ Engines  = (*scripted)(nil)
	_ Replicas = (*scripted)(nil)
	_ Loads    = (*scripted)(nil)
	_ Newest   = (*scripted)(nil)
)

func (s *scripted) Read(context.Context, ids.Target, string) (State, error) { return s.read() }

func (s *scripted) Order(_ context.Context, c Command) error {
	s.given = append(s.given, c)
	return s.order(c)
}

func (s *scripted) Records() []platform.Record { return []platform.Record{s.record} }

func (s *scripted) SetWeights(_ ids.Target, w ids.WeightsVersion, _ string) { s.set = append(s.set, w) }

func (s *scripted) Restarted(ids.Target, ids.Incarnation, string) {}

func (s *scripted) StateOf(ids.Target) routing.State { return s.member }

func (s *scripted) NoContact(ids.Target) bool { return s.silent }

func (s *scripted) WorkOf(ids.Target) (loadview.PeerLoad, time.Duration) {
	if later := s.later.Load(); later != nil {
		return *later, 0
	}
	return s.work, 0
}

func (s *scripted) Newest(ids.Model) ids.WeightsVersion { return s.newest }

func (s *scripted) Since(_ ids.Model, now time.Time) time.Duration { return now.Sub(s.began) }

func (s *scripted) Left(_ ids.Model, has ids.WeightsVersion, now time.Time) (time.Duration, bool) {
	if has >= s.newest {
		return 0, false
	}
	return s.within - now.Sub(s.began), true
}

// has is a state with the given weights.
func has(w ids.WeightsVersion) State {
	return State{Weights: map[ids.Model]ids.WeightsVersion{"m": w}}
}

// newScripted returns an engine with version 1 that takes each order, and what gives
// orders to it under a lease that holds.
func newScripted(t *testing.T) (*scripted, *Rollout) {
	t.Helper()
	state := has("1")
	s := &scripted{
		member: routing.Live, newest: "2", within: time.Minute, began: time.Now(),
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
		VM: "vm", Lease: l, Replicas: s, Named: s, Calls: s, Loads: s,
		Ordering: func(_ ids.Target, w ids.WeightsVersion, done bool) {
			if done {
				s.done = append(s.done, w)
			} else {
				s.ordered = append(s.ordered, w)
			}
		},
		Gone: func(ids.Target, ids.Incarnation) { s.gone++ },
	}
	return s, r
}

func (s *scripted) send(t *testing.T, r *Rollout) error {
	t.Helper()
	return r.Send(t.Context(), orders.Order{Target: "e1", Want: orders.Want{Weights: s.newest}}, lease.Token{})
}

// TestSpokenIsLive checks that an engine whose answer to a look has just come counts as
// alive for package orders, whatever this VM's other calls to it say, and not for longer.
func TestSpokenIsLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.silent = true
		want := func(state routing.State) {
			t.Helper()
			if got := r.Engines()[0].State; got != state {
				t.Errorf("got state %v, want %v", got, state)
			}
		}
		want(routing.Suspect)
		r.heard("e1")
		want(routing.Live)
		time.Sleep(spokeFor - time.Millisecond)
		want(routing.Live)
		time.Sleep(time.Millisecond)
		want(routing.Suspect)
	})
}

// TestLeavingGetsNoOrder checks that an engine that has told a VM it leaves gets no
// order, though its entry does not say so yet.
func TestLeavingGetsNoOrder(t *testing.T) {
	s, r := newScripted(t)
	s.member = routing.Leaving
	if got := r.Engines(); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// TestWantsNothingOlder checks that nothing is wanted of an engine whose weights this VM
// has not heard of yet.
func TestWantsNothingOlder(t *testing.T) {
	s, r := newScripted(t)
	for weights, want := range map[ids.WeightsVersion]int{"1": 1, "2": 0, "3": 0} {
		s.record.Weights = weights
		if wants, err := r.Wants(t.Context()); err != nil || len(wants) != want {
			t.Errorf("weights %s: got %v, %v, want %d wishes", weights, wants, err, want)
		}
	}
}

// TestOrderNamesTheNewest names a version while the order before is under way and gets
// lost: the second order names it, too.
func TestOrderNamesTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		take := s.order
		s.order = func(c Command) error {
			if len(s.given) > 1 {
				return take(c)
			}
			s.newest = "3"
			return errSilent
		}
		if err := s.send(t, r); err != nil || len(s.given) != 2 || s.given[0].Weights != "2" || s.given[1].Weights != "3" {
			t.Errorf("got %+v, %v", s.given, err)
		}
	})
}

// TestRefusedOrderIsNotGivenAnew refuses an order for good: it ends at once, and the
// engine gets none before others had their turn.
func TestRefusedOrderIsNotGivenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.order = func(Command) error { return ErrRefused }
		began := time.Now()
		if err := s.send(t, r); !errors.Is(err, ErrRefused) || len(s.given) != 1 || time.Since(began) > drainMost {
			t.Errorf("got %v after %d orders and %v", err, len(s.given), time.Since(began))
		}
		if got := r.Engines()[0].State; got != routing.Dead {
			t.Errorf("its state is %v", got)
		}
	})
}

// TestOneLookMayFail loses the answer to one look at an engine that loads: it counts as
// silent only after the second one.
func TestOneLookMayFail(t *testing.T) {
	for _, missed := range []int{1, missedReads} {
		synctest.Test(t, func(t *testing.T) {
			s, r := newScripted(t)
			looks, read := 0, s.read
			s.read = func() (State, error) {
				looks++
				if len(s.given) > 0 && looks <= 1+missed {
					return State{}, errSilent
				}
				return read()
			}
			began := time.Now()
			err := s.send(t, r)
			if (err != nil) != (missed >= missedReads) {
				t.Errorf("%d looks without an answer: got %v", missed, err)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("%d looks without an answer took %v", missed, took)
			}
		})
	}
}

// TestReportsLag lets an engine's reports lag behind the order that it has taken: it is
// not given anew before they would have shown it.
func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		began, read := time.Time{}, s.read
		s.order = func(Command) error {
			began = time.Now()
			return nil
		}
		s.read = func() (State, error) {
			switch since := time.Since(began); {
			case began.IsZero() || since < readEvery*(idleReads-1)+readEvery/2:
				return read()
			case since < 3*time.Second:
				state := has("1")
				state.Busy = true
				return state, nil
			}
			return has("2"), nil
		}
		if err := s.send(t, r); err != nil || len(s.given) != 1 {
			t.Errorf("got %d orders, %v", len(s.given), err)
		}
	})
}

// TestEngineEndsUnderAnOrder lets an engine end while it carries out its order: that is
// known at the next look.
func TestEngineEndsUnderAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		read, looks := s.read, 0
		s.read = func() (State, error) {
			if len(s.given) == 0 {
				return read()
			}
			looks++
			return State{}, ErrGone
		}
		if err := s.send(t, r); !errors.Is(err, ErrGone) || looks != 1 || s.gone != 1 {
			t.Errorf("got %v after %d looks, told %d times", err, looks, s.gone)
		}
	})
}

// TestDoneIsTold checks that an engine that has its weights is back in service for all
// VMs at once, and no sooner.
func TestDoneIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		if err := s.send(t, r); err != nil {
			t.Fatal(err)
		}
		if len(s.done) != 1 || s.done[0] != "2" || len(s.set) != 1 || s.set[0] != "2" {
			t.Errorf("told %v, set %v, want version 2 once", s.done, s.set)
		}
		if want := []ids.WeightsVersion{"", "2"}; len(s.ordered) != 2 || s.ordered[0] != want[0] || s.ordered[1] != want[1] {
			t.Errorf("before, the VMs were told %q, want %q: of the drain and of the order", s.ordered, want)
		}
	})
}

// TestBusyEngineIsWaitedFor takes over from a holder whose order an engine carries out:
// it is neither drained nor told again before that has ended.
func TestBusyEngineIsWaitedFor(t *testing.T) {
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
				t.Errorf("an order was given after %v", since)
			}
			return ErrRefused
		}
		if err := s.send(t, r); !errors.Is(err, ErrRefused) || len(s.given) != 1 {
			t.Errorf("got %v after %d orders, want one when the engine is free", err, len(s.given))
		}
		if drained := r.Stats.DrainMs.Load(); drained != 0 {
			t.Errorf("it was drained for %d ms", drained)
		}
	})
}

// TestDrainLeavesTime checks that draining takes a part of the time that is left only,
// and that many runs are not cut off though all could go on elsewhere.
func TestDrainLeavesTime(t *testing.T) {
	for _, c := range []struct {
		within time.Duration
		work   loadview.PeerLoad
		took   time.Duration
		want   Method
	}{
		{time.Minute, loadview.PeerLoad{InFlight: 3, NotResumable: 1}, drainMost, Finish},
		{2 * time.Second, loadview.PeerLoad{InFlight: 3, NotResumable: 1}, 500 * time.Millisecond, Finish},
		{-time.Second, loadview.PeerLoad{InFlight: 3, NotResumable: 1}, 0, Finish},
		{time.Minute, loadview.PeerLoad{InFlight: cutMost}, drainLeast, CutOff},
		{time.Minute, loadview.PeerLoad{InFlight: cutMost + 1}, drainMost, Finish},
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

// TestOrderWaitsForTheRenewal checks that an order leaves only when it arrives before the
// lease ends: where too little is left it waits for the renewal, and not for longer than
// the lease lasts.
func TestOrderWaitsForTheRenewal(t *testing.T) {
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
				t.Errorf("got %v after %v, with %v left to the lease", err, waited, left)
			}
		})
	}
}

// Deployed implements Replicas.
func (s *scripted) Deployed() []platform.Deployed { return deployed(s.Records()) }

// Declines implements Loads.
func (s *scripted) Declines(ids.Target) bool { return false }
