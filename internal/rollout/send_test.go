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

// TestNoLeaseDoesNotAffectMean loses the lease while an engine drains: the attempt is no
// sample of how long orders take, and the engine stays live for the next order.
func TestNoLeaseDoesNotAffectMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.work = loadview.TargetWork{InFlight: 3, NotResumable: 1} // the drain takes 1.5 s
		for range 4 {
			r.Lease = lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: time.Second}, nil)
			_ = r.Lease.Try(t.Context())
			_ = s.send(t, r)
		}
		if len(s.sent) != 0 {
			t.Fatal("an order was sent without the lease")
		}
		if got := r.orderTime.mean(time.Now(), 0); got != initialMean {
			t.Errorf("no order was sent, but the mean is %v", got)
		}
		if state := r.stateOf("e1"); state != routing.Live {
			t.Errorf("got state %v, want live", state)
		}
	})
}

// TestNonConsecutiveReadFailures fails two reads that are not consecutive: the update must go
// on.
func TestNonConsecutiveReadFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		reads := 0
		read := s.read
		var at time.Time
		s.order = func(Command) error { at = time.Now(); return nil }
		s.read = func() (State, error) {
			if len(s.sent) == 0 {
				return read()
			}
			reads++
			if reads == 2 || reads == 10 {
				return State{}, errNoResponse
			}
			if time.Since(at) > 4*time.Second {
				return has("2"), nil
			}
			st := has("1")
			st.Busy = true
			return st, nil
		}
		if err := s.send(t, r); err != nil {
			t.Errorf("two of %d reads failed, not consecutively: %v", reads, err)
		}
	})
}

// TestNoCutOffAfterLeaseWait checks that an order does not cut off non-resumable requests that
// arrive while it waits for the lease's renewal.
func TestNoCutOffAfterLeaseWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		r.Lease = lease.New(objectapi.NewMemory(), "orders", "vm", lease.Tuning{Duration: 900 * time.Millisecond}, nil)
		_ = r.Lease.Try(t.Context())
		time.AfterFunc(850*time.Millisecond, func() { _ = r.Lease.Try(t.Context()) })
		time.AfterFunc(600*time.Millisecond, func() { s.laterLoad.Store(&loadview.TargetWork{InFlight: 3, NotResumable: 1}) })
		_ = s.send(t, r)
		if len(s.sent) == 0 || s.sent[0].Method == CutOff {
			t.Errorf("the order cuts off non-resumable requests: %+v", s.sent)
		}
	})
}

// TestQuiesce checks that Quiesce waits for an order in transit, and that no order follows.
// Without the wait the lease was released at once, and the successor's first order came
// 2.6 s after the last order arrived.
func TestQuiesce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		arrived := false
		s.order = func(Command) error {
			time.Sleep(400 * time.Millisecond)
			arrived = true
			return errNoResponse
		}
		done := make(chan error)
		go func() { done <- s.send(t, r) }()
		time.Sleep(drainMin + 100*time.Millisecond)
		r.Quiesce()
		if !arrived || len(s.sent) != 1 {
			t.Fatalf("arrived %v, %d orders", arrived, len(s.sent))
		}
		if err := <-done; !errors.Is(err, errNoLease) || len(s.sent) != 1 {
			t.Errorf("got %v and %d orders, want none after Quiesce", err, len(s.sent))
		}
	})
}

// TestRefusingReplicaIsNotRetriedSoon checks that a replica that refuses its order for good
// accepts requests again at once, and is not drained again soon.
func TestRefusingReplicaIsNotRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		s.order = func(Command) error { return ErrRefused }
		var announced []bool
		r.OnOrder = func(_ ids.Target, _ ids.WeightsVersion, done bool) { announced = append(announced, done) }
		if err := s.send(t, r); !errors.Is(err, ErrRefused) {
			t.Fatalf("got %v, want ErrRefused", err)
		}
		if len(announced) == 0 || !announced[len(announced)-1] {
			t.Errorf("announced %v, want the last one to return the replica to service", announced)
		}
		time.Sleep(2 * retryPause)
		if state := r.stateOf("e1"); state != routing.Dead {
			t.Errorf("2 s later its state is %v, want dead", state)
		}
		time.Sleep(refusedPause)
		if state := r.stateOf("e1"); state != routing.Live {
			t.Errorf("30 s after that its state is %v, want live", state)
		}
	})
}

// TestShortDrainCutsOffNothing leaves less time than the VMs need to learn of a drain. Their
// requests at the engine are not fully known, so none may be cut off even though all known
// ones are resumable.
func TestShortDrainCutsOffNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		r.LoadGrace = 4 * time.Second
		s.within = time.Second
		s.work = loadview.TargetWork{InFlight: 3}
		if m := r.drain(t.Context(), &Command{Target: "e1", Model: "m"}, "1"); m != KeepOn {
			t.Errorf("got %v, want keep-on", m)
		}
	})
}

// TestNotIdleWhileCheckingLease checks that the lease holder does not report itself idle while
// an order is between the check of the lease and the send. A process may be suspended there:
// a successor would send orders concurrently with the one sent on resuming.
func TestNotIdleWhileCheckingLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(scenario{engines: 1})
		h := sim.newHolder(objectapi.NewMemory(), "vm-1")
		r := h.orders.Sender.(*Rollout)
		if err := h.lease.Try(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leaseTerm - 600*time.Millisecond - orderTimeout + time.Millisecond) // too little time is left, so the order waits
		go func() {
			_ = r.sendOrder(t.Context(), &Command{Target: "e000", Model: "m"}, sim.engines["e000"].state())
		}()
		synctest.Wait()
		if _, idle := r.IdleSince(sim.began); idle {
			t.Error("reports idle while an order checks the lease")
		}
		time.Sleep(2 * leaseWait)
		if since, idle := r.IdleSince(sim.began); !idle || !since.Equal(sim.began) {
			t.Errorf("idle %v since %v after an order that was not sent, want since the start", idle, since)
		}
	})
}
