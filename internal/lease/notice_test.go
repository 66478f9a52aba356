package lease

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/storetest"
)

// noticeTuning has a short HandoverDelay and a long WaitOut, so that a notice makes a
// difference.
var noticeTuning = Tuning{Duration: 10 * time.Second, Margin: 2 * time.Second, WaitOut: 20 * time.Second, HandoverDelay: 3 * time.Second}

// TestOneHolderWithNotices is TestOneHolder with holders that send notices when they have
// stopped. Notices arrive at once, late, twice or never. Actions under different fencing
// tokens must be at least HandoverDelay apart.
func TestOneHolderWithNotices(t *testing.T) {
	storetest.Check(t, func(rt *rapid.T) {
		m := &model{store: storetest.New(), faults: storetest.DrawFaultProfile(rt), busy: make([]atomic.Bool, vms)}
		for i := range vms {
			m.leases = append(m.leases, New(m.store.ForActor(i), "orders", ids.VM(fmt.Sprint("vm", i)), noticeTuning, nil))
		}
		defer m.store.Drain()
		var notices []Notice
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			switch rapid.IntRange(0, 3).Draw(rt, "notice") {
			case 0:
				if n, ok := m.noticeOf(vm); ok {
					notices = append(notices, n)
				}
			case 1:
				if len(notices) > 0 {
					m.leases[vm].ReceiveNotice(notices[rapid.IntRange(0, len(notices)-1).Draw(rt, "which")])
				}
			default:
				m.step(rt)
			}
			synctest.Wait()
			m.check(rt)
			for i, a := range m.actions {
				for _, b := range m.actions[:i] {
					if a.fence != b.fence && a.began.Sub(b.end) < noticeTuning.HandoverDelay {
						rt.Fatalf("actions under fences %d and %d are %v apart", b.fence, a.fence, a.began.Sub(b.end))
					}
				}
			}
		}
	})
}

// noticeOf returns a VM's notice as the daemon builds it: none during an action.
func (m *model) noticeOf(vm int) (Notice, bool) {
	n, ok := m.leases[vm].Lapsed()
	n.IdleFor = time.Hour
	for _, a := range m.actions {
		if a.fence == n.Fence {
			n.IdleFor = min(n.IdleFor, time.Since(a.end))
		}
	}
	return n, ok && n.IdleFor >= 0
}

// TestNoticeShortensTakeover cuts a holder off from the store but not from its peers. With
// its notice a successor takes over HandoverDelay after the holder's last action, without
// it after the full wait.
func TestNoticeShortensTakeover(t *testing.T) {
	for _, noticed := range []bool{false, true} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		store := objectapi.NewMemory()
		a, b := New(store, "orders", "a", noticeTuning, clock), New(store, "orders", "b", noticeTuning, clock)
		acquires := func(l *Lease) bool {
			t.Helper()
			if err := l.Try(context.Background()); err != nil {
				t.Fatal(err)
			}
			_, held := l.Held()
			return held
		}
		if !acquires(a) || acquires(b) {
			t.Fatal("want a, and not b, to acquire the free lease")
		}
		began := now
		for now.Sub(began) < time.Minute && !acquires(b) {
			now = now.Add(100 * time.Millisecond)
			if n, lapsed := a.Lapsed(); lapsed && noticed {
				n.IdleFor = now.Sub(began) // a has not acted at all
				b.ReceiveNotice(n)
			}
		}
		want := noticeTuning.Duration + noticeTuning.WaitOut
		if noticed {
			want = noticeTuning.Duration - noticeTuning.Margin
		}
		if waited := now.Sub(began); waited < want || waited > want+300*time.Millisecond {
			t.Errorf("with notice %v: b took over after %v, want %v", noticed, waited, want)
		}
		if n, lapsed := a.Lapsed(); noticed && !lapsed {
			t.Errorf("a reports no lapsed lease: %+v", n)
		}
		if acquires(a) {
			t.Error("a took the lease back from b at once")
		}
		if _, lapsed := a.Lapsed(); lapsed {
			t.Error("a reports a lapsed lease although b holds it")
		}
	}
}

// TestOutdatedNoticeIsIgnored checks that a notice about an earlier state of the record is
// void, since the holder has renewed the lease afterwards.
func TestOutdatedNoticeIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	store := objectapi.NewMemory()
	a, b := New(store, "orders", "a", noticeTuning, clock), New(store, "orders", "b", noticeTuning, clock)
	try := func(l *Lease) {
		t.Helper()
		if err := l.Try(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	try(a)
	now = now.Add(noticeTuning.Duration)
	n, ok := a.Lapsed()
	if !ok {
		t.Fatal("the lease has not lapsed")
	}
	n.IdleFor = time.Minute
	try(a) // a reaches the store again and renews
	b.ReceiveNotice(n)
	try(b)
	now = now.Add(time.Second)
	try(b)
	if _, held := b.Held(); held {
		t.Error("b took over from a holder that has renewed since its notice")
	}
}
