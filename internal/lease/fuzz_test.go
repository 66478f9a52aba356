package lease

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	clock.UseVirtualTime() // tests in virtual time
	storetest.FixSeed()
	m.Run()
}

// action is one action under a token, as the test records it.
type action struct {
	vm         int
	fence      uint64
	began, end time.Time
}

// model runs VMs that compete for a lease and act under it. The test draws the order and
// the result of every store call. Actions take up to WaitOut.
type model struct {
	store   *storetest.Store
	faults  storetest.FaultProfile
	leases  []*Lease
	busy    []atomic.Bool
	actions []action
}

const vms = 3

func (m *model) try(i int) {
	if !m.busy[i].CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.busy[i].Store(false)
		_ = m.leases[i].Try(context.Background())
	}()
}

// act records an action of the given duration if the VM holds the lease at this moment.
func (m *model) act(i int, takes time.Duration) {
	token, ok := m.leases[i].Held()
	if !ok {
		return
	}
	now := time.Now()
	m.actions = append(m.actions, action{vm: i, fence: token.Fence, began: now, end: now.Add(takes)})
}

// TestOneHolder checks that actions under different fencing tokens never overlap, and
// that fencing tokens increase with time.
func TestOneHolder(t *testing.T) {
	storetest.Check(t, func(rt *rapid.T) {
		m := &model{store: storetest.New(), faults: storetest.DrawFaultProfile(rt), busy: make([]atomic.Bool, vms)}
		for i := range vms {
			m.leases = append(m.leases, New(m.store.ForActor(i), "orders", ids.VM(fmt.Sprint("vm", i)), DefaultTuning, nil))
		}
		defer m.store.Drain()
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			m.step(rt)
			synctest.Wait()
			m.check(rt)
		}
	})
}

func (m *model) step(rt *rapid.T) {
	vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
	switch rapid.IntRange(0, 9).Draw(rt, "step") {
	case 0, 1:
		m.try(vm)
	case 2, 3:
		m.act(vm, time.Duration(rapid.SampledFrom([]int{1, 10}).Draw(rt, "takes"))*time.Second)
	case 4:
		time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 3, 7, 11, 21}).Draw(rt, "seconds")) * time.Second)
	case 5:
		if n := m.store.DelayedWrites(); n > 0 {
			m.store.ApplyDelayed(rapid.IntRange(0, n-1).Draw(rt, "lands"))
		}
	default:
		if w := m.store.Waiting(); len(w) > 0 {
			m.store.Resolve(w[rapid.IntRange(0, len(w)-1).Draw(rt, "call")], m.faults.Draw(rt))
		}
	}
}

func (m *model) check(rt *rapid.T) {
	for i, a := range m.actions {
		for _, b := range m.actions[:i] {
			if a.fence == b.fence {
				continue
			}
			if a.fence < b.fence {
				rt.Fatalf("an action under fence %d began after one under %d", a.fence, b.fence)
			}
			if a.began.Before(b.end) {
				rt.Fatalf("actions under fences %d and %d overlap", b.fence, a.fence)
			}
		}
	}
}

// TestAcquireRenewExpire checks that a single VM acquires the lease, keeps it by renewing,
// and loses it when it stops renewing.
func TestAcquireRenewExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New()
		l := New(s.Store, "x", "vm0", DefaultTuning, nil)
		other := New(s.Store, "x", "vm1", DefaultTuning, nil)
		for range 10 {
			if err := l.Try(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, ok := l.Held(); !ok {
				t.Fatal("lease not held after Try")
			}
			_ = other.Try(t.Context())
			time.Sleep(3 * time.Second)
		}
		_ = other.Try(t.Context())
		time.Sleep(DefaultTuning.Duration + DefaultTuning.WaitOut + time.Second)
		if _, ok := l.Held(); ok {
			t.Fatal("lease still held without renewal")
		}
		_ = other.Try(t.Context())
		token, ok := other.Held()
		if !ok || token.Fence != 2 {
			t.Fatalf("the successor holds %+v, %v; want fence 2", token, ok)
		}
		if _ = l.Try(t.Context()); l.until != (time.Time{}) {
			t.Fatal("the former holder took the lease back at once")
		}
	})
}
