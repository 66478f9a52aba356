package edge

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/loopback"
	"github.com/threadwall/threadwall/internal/lease"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/settings"
)

func newDaemon(t *testing.T, e settings.Edge) *Daemon {
	t.Helper()
	d, err := New(settings.Settings{VM: "vm0", FailureDomain: "z", Edge: &e}, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Log.Close)
	return d
}

// TestOrderToFormerIncarnation receives a peer's notice of an order to an engine that has restarted
// since. The engine must keep receiving calls.
func TestOrderToFormerIncarnation(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	d.Fleet.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 200}}, time.Now())
	d.onOrder(news.Order{Target: "e1", Weights: "2", Incarnation: 100})
	if d.Fleet.Members.Targets(time.Now())[0].BreakerOpen {
		t.Error("calls are withheld for an order to a former incarnation")
	}
	d.onOrder(news.Order{Target: "e1", Weights: "2", Incarnation: 200})
	if !d.Fleet.Members.Targets(time.Now())[0].BreakerOpen {
		t.Error("calls are not withheld for an order to the current incarnation")
	}
}

// TestEndedIncarnation reports that another replica responds at the former address of a replica
// that has restarted at another address. The restarted replica must stay in service.
func TestEndedIncarnation(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	d.Fleet.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 200}}, time.Now())
	d.onReplicaEnded("e1", 100)
	if got := d.Fleet.StateOf("e1"); got == routing.Leaving {
		t.Error("the replica is leaving because of its former incarnation")
	}
	d.onReplicaEnded("e1", 200)
	if got := d.Fleet.StateOf("e1"); got != routing.Leaving {
		t.Errorf("the replica is %s although it has ended", got)
	}
}

// TestOrderWithholdsCalls receives a peer's notice of an order. The replica must receive no calls
// while the order lasts, and calls again as soon as it is done.
func TestOrderWithholdsCalls(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	d.Fleet.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 1}}, time.Now())
	open := func(at time.Time) bool { return d.Fleet.Members.Targets(at)[0].BreakerOpen }
	if open(time.Now()) {
		t.Fatal("the replica gets no calls before an order")
	}
	before := time.Now()
	d.onOrder(news.Order{Target: "e1", Weights: "2"})
	if !open(before.Add(orderTime-1)) || open(time.Now().Add(orderTime)) {
		t.Error("calls are not withheld for the duration of an order")
	}
	d.onOrder(news.Order{Target: "e1", Weights: "2", Done: true})
	if open(before) {
		t.Error("the replica gets no calls although the order is done")
	}
}

// TestClockObservesAllSpaces checks that the clock of the weights records the revision and time of
// reads of each key space.
func TestClockObservesAllSpaces(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	for i, s := range d.mirrors.Spaces {
		at := follow.At{Revision: objectapi.Revision(10 * (i + 1)), Sent: time.Now(), Answered: time.Now()}
		s.Listed(nil, at, false)
		if got := d.Weights.Clock.Before(at.Revision + 1); !got.Equal(at.Sent) {
			t.Errorf("space %d: by the clock, revision %d is later than %v", i, at.Revision+1, got)
		}
	}
}

// TestRolloutFollowsTheSettings checks that the settings determine the deadlines of a rollout.
func TestRolloutFollowsTheSettings(t *testing.T) {
	d := newDaemon(t, settings.Edge{WeightsWithin: durations.Duration(10 * time.Second), WeightsAllWithin: durations.Duration(17 * time.Second)})
	if d.Rollout.LoadGrace != 7*time.Second || d.Rollout.ThrottleFor != 3*time.Second {
		t.Errorf("LoadGrace %v, ThrottleFor %v", d.Rollout.LoadGrace, d.Rollout.ThrottleFor)
	}
}

// TestHandoverDelay checks the minimum time between the last order of one holder, which arrives
// before the holder stops, and the first order of the next, with a margin for clock drift.
func TestHandoverDelay(t *testing.T) {
	for _, handover := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		store := objectapi.NewMemory()
		a := lease.New(store, leaseName, "a", leaseTuning(handover), clock)
		b := lease.New(store, leaseName, "b", leaseTuning(handover), clock)
		for _, l := range []*lease.Lease{a, b} {
			if err := l.Try(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		last, held := a.Held()
		if !held {
			t.Fatal("a free lease was not acquired")
		}
		for !held || now.Equal(time.Unix(1000, 0)) {
			now = now.Add(10 * time.Millisecond)
			if err := b.Try(t.Context()); err != nil {
				t.Fatal(err)
			}
			_, held = b.Held()
		}
		if gap := now.Sub(last.Until); gap < handover+handoverMargin || gap > handover+2*handoverMargin {
			t.Errorf("handover %v: the next holder starts %v after the last one stops", handover, gap)
		}
	}
}

// TestLeasePause checks that a VM wakes up for a takeover that is possible before its next regular
// read of the lease, that the holder renews in time, and that otherwise the regular interval holds.
func TestLeasePause(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	tuning := leaseTuning(3 * time.Second)
	store := objectapi.NewMemory()
	other := lease.New(store, leaseName, "vm1", tuning, clock)
	d.Lease = lease.New(store, leaseName, "vm0", tuning, clock)
	for _, l := range []*lease.Lease{other, d.Lease} {
		if err := l.Try(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for range 100 {
		if pause := d.leasePause(false); pause < otherEvery/2 || pause >= otherEvery*3/2 {
			t.Fatalf("the VM reads the lease after %v although no takeover is due", pause)
		}
		if pause := d.leasePause(true); pause != holderEvery || pause >= tuning.Duration-tuning.Margin {
			t.Fatalf("the holder renews after %v", pause)
		}
	}
	due, _ := d.Lease.Takeover()
	const soon = 300 * time.Millisecond
	now = now.Add(due - soon)
	for range 100 {
		if pause := d.leasePause(false); pause <= soon || pause > soon+2*takeoverSpread {
			t.Fatalf("the VM reads the lease after %v, a takeover is possible in %v", pause, soon)
		}
	}
	now = now.Add(soon + 1) // as when the store has not answered
	for range 100 {
		if pause := d.leasePause(false); pause < otherEvery/2 {
			t.Fatalf("the VM reads the lease again after %v", pause)
		}
	}
}

// TestLowRankReadsLeaseRarely checks that a VM reads the lease rarely if enough live VMs rank before
// it, and that VMs without a recent message do not count.
func TestLowRankReadsLeaseRarely(t *testing.T) {
	addr := loopback.Addr()
	d, err := New(settings.Settings{VM: "vm0", FailureDomain: "z", PeerListen: addr, Edge: &settings.Edge{}},
		Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Log.Close()
	if err := d.news.Start(); err != nil {
		t.Fatal(err)
	}
	go d.news.Receive(t.Context())
	d.vms.records = map[string]vmRecord{}
	var peers []news.Peer
	for i := 0; len(peers) < candidates+1; i++ {
		vm := ids.VM(fmt.Sprint("peer", i))
		if routing.VMWeight(leaseName, vm) <= routing.VMWeight(leaseName, "vm0") {
			continue
		}
		d.vms.records[string(vm)] = vmRecord{VM: vm, FailureDomain: "z"}
		peers = append(peers, news.Peer{VM: vm, FailureDomain: "z", Addr: "127.0.0.1:1"})
	}
	d.news.SetPeers(peers)
	for range 20 {
		if pause := d.leasePause(false); pause >= lowRankEvery/2 {
			t.Fatalf("the VM reads the lease after %v although no other VM is live", pause)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); d.vms.rank(leaseName) != candidates; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("rank %d, with messages of %d VMs that rank before it", d.vms.rank(leaseName), candidates)
		}
		for _, p := range peers[:candidates] { // repeated in case the machine is slow
			sendNews(t, addr, p.VM)
		}
	}
	if pause := d.leasePause(false); pause < lowRankEvery/2 {
		t.Errorf("the VM reads the lease after %v although %d others read it often", pause, candidates)
	}
}

// sendNews sends a message to the address "to" as the VM "from".
func sendNews(t *testing.T, to string, from ids.VM) {
	t.Helper()
	c, err := net.Dial("udp4", to)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	data, err := news.Encode(&news.Message{VM: from, Seq: 1})
	if err == nil {
		_, err = c.Write(data)
	}
	if err != nil {
		t.Fatal(err)
	}
}
