package lease

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/storetest"
)

// In these tests the store comes back from an older copy, so that a lease, a renewal or a release that
// it had acknowledged is gone, and revisions are given out again.

// drilled is some VMs' leases over a store that can be restored, on a clock that the test moves.
type drilled struct {
	t      *testing.T
	now    time.Time
	store  *objectapi.Memory
	leases map[ids.VM]*Lease
	holder map[uint64]ids.VM // by fencing token
	last   uint64            // highest fencing token that was held
}

var drilledTuning = Tuning{Duration: 2200 * time.Millisecond, Margin: 600 * time.Millisecond, WaitOut: 2600 * time.Millisecond, HandoverDelay: 3200 * time.Millisecond, ReclaimOwn: true}

func newDrilled(t *testing.T, vms ...ids.VM) *drilled {
	d := &drilled{t: t, now: time.Unix(1000, 0), store: objectapi.NewMemory(), leases: map[ids.VM]*Lease{}, holder: map[uint64]ids.VM{}}
	for _, vm := range vms {
		d.start(vm)
	}
	return d
}

// start starts a new incarnation of a VM.
func (d *drilled) start(vm ids.VM) {
	d.leases[vm] = New(d.store, "orders", vm, drilledTuning, func() time.Time { return d.now })
}

// try has VMs try the lease, and checks that at most one VM holds it and that each fencing token has
// one holder and is not below an earlier one.
func (d *drilled) try(vms ...ids.VM) {
	d.t.Helper()
	for _, vm := range vms {
		if err := d.leases[vm].Try(context.Background()); err != nil {
			d.t.Fatal(err)
		}
		d.check()
	}
}

func (d *drilled) check() {
	d.t.Helper()
	holders := map[ids.VM]uint64{}
	for vm, l := range d.leases {
		if token, held := l.Held(); held {
			holders[vm] = token.Fence
		}
	}
	if len(holders) > 1 {
		d.t.Fatalf("VMs with their fencing tokens hold the lease at the same time: %v", holders)
	}
	for vm, fence := range holders {
		if other, used := d.holder[fence]; used && other != vm || fence < d.last {
			d.t.Fatalf("%s acts under fencing token %d, which %s had; the last one was %d", vm, fence, other, d.last)
		}
		d.holder[fence], d.last = vm, fence
	}
}

func (d *drilled) held(vm ids.VM) bool {
	_, held := d.leases[vm].Held()
	return held
}

// run has VMs try the lease every 0.7 s for a time.
func (d *drilled) run(length time.Duration, vms ...ids.VM) {
	d.t.Helper()
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(700 * time.Millisecond) {
		d.try(vms...)
	}
}

// write puts other objects into the store, so that its revision grows by n.
func (d *drilled) write(n int) {
	d.t.Helper()
	for i := range n {
		if _, err := d.store.Create(context.Background(), fmt.Sprintf("filler/%d-%d", d.now.UnixNano(), i), nil); err != nil {
			d.t.Fatal(err)
		}
	}
}

// takeOver has one VM become the holder, while no other one tries.
func (d *drilled) takeOver(vm ids.VM) {
	d.t.Helper()
	d.run(6*time.Second, vm)
	if !d.held(vm) {
		d.t.Fatalf("%s does not hold the lease", vm)
	}
}

// wantHolder checks that one of the VMs holds the lease within the time of a lost lease.
func (d *drilled) wantHolder(vms ...ids.VM) {
	d.t.Helper()
	d.run(7*time.Second, vms...)
	for _, vm := range vms {
		if d.held(vm) {
			return
		}
	}
	d.t.Error("nobody holds the lease 7 s after the drill")
}

func TestFormerHolderInCopyDoesNotAct(t *testing.T) {
	d := newDrilled(t, "a", "b")
	d.takeOver("a")
	old := d.store.Snapshot()
	d.takeOver("b")
	d.store.Restore(old) // names a
	d.try("a", "b")
	d.wantHolder("a", "b")
}

func TestFormerHolderInCopyRestarts(t *testing.T) {
	d := newDrilled(t, "a", "b")
	d.takeOver("a")
	old := d.store.Snapshot()
	d.takeOver("b")
	d.store.Restore(old)
	d.start("a") // a VM takes over at once from its own former incarnation
	d.try("a", "b")
	d.wantHolder("a", "b")
}

func TestFenceIsNotUsedAgainAfterDrill(t *testing.T) {
	d := newDrilled(t, "a", "b", "c")
	d.takeOver("a")
	old := d.store.Snapshot()
	d.takeOver("b")
	d.store.Restore(old)
	d.now = d.now.Add(3 * time.Second) // b's lease ends
	d.wantHolder("c")
}

func TestRenewalInCopyWasSeenBefore(t *testing.T) {
	d := newDrilled(t, "a", "b")
	d.takeOver("a")
	d.try("b") // sees the record that the copy holds
	old := d.store.Snapshot()
	d.run(10*time.Second, "a")
	d.store.Restore(old)
	d.try("b", "a")
	d.wantHolder("a", "b")
}

// TestRenewalAtRevisionGivenOutAgain pauses a holder right before it sends a renewal. The store comes
// back from a copy meanwhile, and another VM renews its lease at the number on which the renewal is
// conditional.
func TestRenewalAtRevisionGivenOutAgain(t *testing.T) {
	d := newDrilled(t, "a", "b")
	d.takeOver("b")
	old := d.store.Snapshot()
	d.write(3)
	d.takeOver("a")
	at := d.leases["a"].version.Number()
	pause := func() {
		d.store.Restore(old)
		d.now = d.now.Add(3 * time.Second)
		d.takeOver("b")
		_, rev, err := d.store.List(context.Background(), "")
		if err != nil {
			t.Fatal(err)
		}
		d.write(int(at-rev.Number()) - 1)
		d.try("b")
		if got := d.leases["b"].version.Number(); got != at {
			t.Fatalf("b's record has number %d, want that of a's, %d", got, at)
		}
	}
	d.leases["a"].store = &hookedUpdates{Store: d.store, before: pause, after: func() {}}
	d.try("a", "b", "a")
	d.wantHolder("a", "b")
}

func TestNoticeBeforeDrillIsVoid(t *testing.T) {
	d := newDrilled(t, "a", "b", "c")
	d.takeOver("a")
	old := d.store.Snapshot()
	d.now = d.now.Add(2 * time.Second)
	n, lapsed := d.leases["a"].Lapsed()
	if !lapsed {
		t.Fatal("the lease has not lapsed")
	}
	n.IdleFor = 10 * time.Second
	d.leases["c"].ReceiveNotice(n)
	d.takeOver("b")
	d.store.Restore(old) // the record that the notice is about
	d.try("c", "b")
	d.wantHolder("b", "c")
}

func TestLeaseMissingInCopy(t *testing.T) {
	d := newDrilled(t, "a", "b")
	old := d.store.Snapshot()
	d.takeOver("a")
	d.try("b")
	d.store.Restore(old)
	d.try("b", "a")
	d.wantHolder("a", "b")
}

// TestHolderStaysAfterShortDrill checks that a holder that can renew before its lease ends goes on.
func TestHolderStaysAfterShortDrill(t *testing.T) {
	d := newDrilled(t, "a", "b")
	d.takeOver("a")
	old := d.store.Snapshot()
	d.run(2*time.Second, "a", "b")
	d.store.Restore(old)
	d.try("a", "b")
	if !d.held("a") {
		t.Error("the holder lost its lease")
	}
	d.run(10*time.Second, "a", "b")
	if !d.held("a") {
		t.Error("the holder lost its lease later")
	}
}

// TestTwoDrillsAndTakeover plays a second drill to the same copy while a successor waits.
func TestTwoDrillsAndTakeover(t *testing.T) {
	d := newDrilled(t, "a", "b", "c")
	d.takeOver("a")
	old := d.store.Snapshot()
	d.takeOver("b")
	for range 2 {
		d.store.Restore(old)
		d.run(4*time.Second, "c", "a")
		d.wantHolder("c", "a")
	}
}

// drillTuning lets VMs reclaim their own leases and notices shorten a takeover, as in the daemon.
var drillTuning = Tuning{Duration: 10 * time.Second, Margin: 2 * time.Second, WaitOut: 10 * time.Second, HandoverDelay: 3 * time.Second, ReclaimOwn: true}

// TestOneHolderWithDrills is TestOneHolder with a store that comes back from older copies, with notices,
// and with VMs that restart. Calls may be answered, and writes land, in a later era than they were sent in.
func TestOneHolderWithDrills(t *testing.T) {
	storetest.Check(t, func(rt *rapid.T) {
		m := &model{store: storetest.New(), faults: storetest.DrawFaultProfile(rt), busy: make([]atomic.Bool, vms)}
		start := func(i int) *Lease {
			return New(m.store.ForActor(i), "orders", ids.VM(fmt.Sprint("vm", i)), drillTuning, nil)
		}
		for i := range vms {
			m.leases = append(m.leases, start(i))
		}
		defer m.store.Drain()
		memory := m.store.Store.(*objectapi.Memory)
		copies := []objectapi.Snapshot{memory.Snapshot()}
		var notices []Notice
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			switch rapid.IntRange(0, 19).Draw(rt, "drill") {
			case 0, 1:
				copies = append(copies, memory.Snapshot())
			case 2:
				memory.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")])
			case 3:
				if !m.busy[vm].Load() {
					m.endActions(vm)
					m.leases[vm] = start(vm)
				}
			case 4:
				if n, ok := m.noticeOf(vm); ok {
					notices = append(notices, n)
				}
			case 5:
				if len(notices) > 0 {
					m.leases[vm].ReceiveNotice(notices[rapid.IntRange(0, len(notices)-1).Draw(rt, "which")])
				}
			case 6, 7, 8, 9, 10, 11:
				m.tryToEnd(vm)
				m.act(vm, time.Second)
			case 12, 13:
				time.Sleep(time.Duration(rapid.SampledFrom([]int{2, 7, 13, 21}).Draw(rt, "seconds")) * time.Second)
			default:
				m.step(rt)
			}
			synctest.Wait()
			m.check(rt)
		}
	})
}

// tryToEnd has a VM try the lease and the store answer all its calls, unless it waits for one already.
func (m *model) tryToEnd(vm int) {
	if m.busy[vm].Load() {
		return
	}
	m.try(vm)
	for synctest.Wait(); m.busy[vm].Load(); synctest.Wait() {
		i := slices.IndexFunc(m.store.Waiting(), func(c *storetest.Call) bool { return c.Actor == vm })
		if i < 0 {
			time.Sleep(time.Millisecond) // between two attempts of a write
			continue
		}
		m.store.Resolve(m.store.Waiting()[i], storetest.Normal)
	}
}

// endActions ends the actions of a VM whose process ends.
func (m *model) endActions(vm int) {
	now := time.Now()
	for i := range m.actions {
		if a := &m.actions[i]; a.vm == vm && a.end.After(now) {
			a.end = now
		}
	}
}
