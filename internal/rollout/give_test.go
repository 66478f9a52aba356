package rollout

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestMeanWithoutLease loses the lease while engines drain: that says nothing of how long
// orders take, and the engine gets its order as soon as there is a lease.
func TestMeanWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.work = loadview.PeerLoad{InFlight: 3, NotResumable: 1} // drains 1.5 s
		for range 4 {
			r.Lease = lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: time.Second}, nil)
			_ = r.Lease.Try(t.Context())
			_ = s.send(t, r)
		}
		if len(s.given) != 0 {
			t.Fatal("given")
		}
		if got := r.orderTime.mean(time.Now(), 0); got != firstMean {
			t.Errorf("no order was given, the mean is %v", got)
		}
		if state := r.stateOf("e1"); state != routing.Live {
			t.Errorf("the engine counts as %v", state)
		}
	})
}

// TestMissedNotInARow loses two looks that don't follow each other: the order goes on.
func TestMissedNotInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		looks := 0
		read := s.read
		var at time.Time
		s.order = func(Command) error { at = time.Now(); return nil }
		s.read = func() (State, error) {
			if len(s.given) == 0 {
				return read()
			}
			looks++
			if looks == 2 || looks == 10 {
				return State{}, errSilent
			}
			if time.Since(at) > 4*time.Second {
				return has("2"), nil
			}
			st := has("1")
			st.Busy = true
			return st, nil
		}
		if err := s.send(t, r); err != nil {
			t.Errorf("two of %d looks were lost, not in a row: %v", looks, err)
		}
	})
}

// TestNoCutOffAfterTheWait lets calls come that can't go on elsewhere while an order waits
// for the lease's renewal: they are not cut off.
func TestNoCutOffAfterTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		r.Lease = lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: 900 * time.Millisecond}, nil)
		_ = r.Lease.Try(t.Context())
		time.AfterFunc(850*time.Millisecond, func() { _ = r.Lease.Try(t.Context()) })
		time.AfterFunc(600*time.Millisecond, func() { s.later.Store(&loadview.PeerLoad{InFlight: 3, NotResumable: 1}) })
		_ = s.send(t, r)
		if len(s.given) == 0 || s.given[0].Method == CutOff {
			t.Errorf("cuts off bound calls: %+v", s.given)
		}
	})
}

// TestQuiesce stops the giving of orders while one is on its way: it is waited for, and
// none follows. Before, the lease was released at once, and the successor's first order
// came 2.6 s after the last one arrived.
func TestQuiesce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		arrived := false
		s.order = func(Command) error {
			time.Sleep(400 * time.Millisecond)
			arrived = true
			return errSilent
		}
		done := make(chan error)
		go func() { done <- s.send(t, r) }()
		time.Sleep(drainLeast + 100*time.Millisecond)
		r.Quiesce()
		if !arrived || len(s.given) != 1 {
			t.Fatalf("arrived %v, %d orders", arrived, len(s.given))
		}
		if err := <-done; !errors.Is(err, errNoLease) || len(s.given) != 1 {
			t.Errorf("got %v and %d orders, want none after the stop", err, len(s.given))
		}
	})
}

// TestRefusedIsLeftAlone lets a replica refuse its order for good: it takes calls again at
// once, and is not drained again soon.
func TestRefusedIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.order = func(Command) error { return ErrRefused }
		var told []bool
		r.Ordering = func(_ ids.Target, _ ids.WeightsVersion, done bool) { told = append(told, done) }
		if err := s.send(t, r); !errors.Is(err, ErrRefused) {
			t.Fatalf("got %v", err)
		}
		if len(told) == 0 || !told[len(told)-1] {
			t.Errorf("the VMs were told %v, want at last that it takes calls", told)
		}
		time.Sleep(2 * retryPause)
		if state := r.stateOf("e1"); state != routing.Dead {
			t.Errorf("2 s later it counts as %v", state)
		}
		time.Sleep(refusedPause)
		if state := r.stateOf("e1"); state != routing.Live {
			t.Errorf("30 s later it counts as %v", state)
		}
	})
}

// TestShortDrainCutsOffNothing has less time than the VMs need to hear of a drain: what they
// have there is not known, so nothing is cut off though nothing seems bound.
func TestShortDrainCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		r.Beyond = 4 * time.Second
		s.within = time.Second
		s.work = loadview.PeerLoad{InFlight: 3}
		if m := r.drain(t.Context(), &Command{Target: "e1", Model: "m"}, "1"); m != KeepOn {
			t.Errorf("got %v, want them to go on", m)
		}
	})
}

// TestNotQuietBeforeTheLeaseIsChecked looks at the holder while an order is between its
// look at the lease and its send, where a process may freeze: it must not say that it has
// stopped, since a successor would give orders beside the one that leaves on waking.
func TestNotQuietBeforeTheLeaseIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(scenario{engines: 1})
		h := w.newHolder(objectapi.NewMemory(), "vm-1")
		r := h.orders.Sender.(*Rollout)
		if err := h.lease.Try(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leaseTerm - 600*time.Millisecond - orderTimeout + time.Millisecond) // too little is left: the order waits
		go func() { _ = r.give(t.Context(), &Command{Target: "e000", Model: "m"}, w.engines["e000"].state()) }()
		synctest.Wait()
		if _, quiet := r.QuietSince(w.began); quiet {
			t.Error("it says that it is quiet while an order looks at the lease")
		}
		time.Sleep(2 * leaseWait)
		if since, quiet := r.QuietSince(w.began); !quiet || !since.Equal(w.began) {
			t.Errorf("quiet %v since %v after an order that was not given, want since the start", quiet, since)
		}
	})
}
