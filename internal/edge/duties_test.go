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

// TestOrderToAFormerIncarnation takes in what a peer tells of an order to an engine that has
// started again since: the engine takes calls.
func TestOrderToAFormerIncarnation(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	d.Fleet.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 200}}, time.Now())
	d.ordered(news.Order{Target: "e1", Weights: "2", Incarnation: 100})
	if d.Fleet.Members.Targets(time.Now())[0].BreakerOpen {
		t.Error("calls are kept away for an order to the incarnation before")
	}
	d.ordered(news.Order{Target: "e1", Weights: "2", Incarnation: 200})
	if !d.Fleet.Members.Targets(time.Now())[0].BreakerOpen {
		t.Error("calls are not kept away for an order to this incarnation")
	}
}

// TestEndedIncarnation hears that the address of a replica belongs to another one, after the
// replica has started again elsewhere: it stays in service.
func TestEndedIncarnation(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	d.Fleet.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 200}}, time.Now())
	d.ended("e1", 100)
	if got := d.Fleet.StateOf("e1"); got == routing.Leaving {
		t.Error("the replica counts as leaving for what its incarnation before was told")
	}
	d.ended("e1", 200)
	if got := d.Fleet.StateOf("e1"); got != routing.Leaving {
		t.Errorf("the replica is %s though it has ended", got)
	}
}

// TestOrderedKeepsCallsAway takes in what a peer tells of an order: the replica gets no
// calls while it lasts, and gets some as soon as it is done, whatever it refused meanwhile.
func TestOrderedKeepsCallsAway(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	d.Fleet.Members.ApplyPlatform([]platform.Record{{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 1}}, time.Now())
	open := func(at time.Time) bool { return d.Fleet.Members.Targets(at)[0].BreakerOpen }
	if open(time.Now()) {
		t.Fatal("it gets no calls before an order")
	}
	before := time.Now()
	d.ordered(news.Order{Target: "e1", Weights: "2"})
	if !open(before.Add(orderTime-1)) || open(time.Now().Add(orderTime)) {
		t.Error("calls are not kept away for the time of an order")
	}
	d.ordered(news.Order{Target: "e1", Weights: "2", Done: true})
	if open(before) {
		t.Error("it gets no calls though it is done")
	}
}

// TestClockHearsAllSpaces checks that each key space that is read tells the clock of
// weights how far its answers reach.
func TestClockHearsAllSpaces(t *testing.T) {
	d := newDaemon(t, settings.Edge{})
	for i, s := range d.mirrors.Spaces {
		at := follow.At{Revision: objectapi.Revision(10 * (i + 1)), Sent: time.Now(), Answered: time.Now()}
		s.Listed(nil, at, false)
		if got := d.Weights.Clock.Before(at.Revision + 1); !got.Equal(at.Sent) {
			t.Errorf("space %d: revision %d was not there before %v, as far as the clock knows", i, at.Revision+1, got)
		}
	}
}

// TestBeyondFollowsTheSettings checks that a rollout knows by when all engines must have
// their weights.
func TestBeyondFollowsTheSettings(t *testing.T) {
	d := newDaemon(t, settings.Edge{WeightsWithin: durations.Duration(10 * time.Second), WeightsAllWithin: durations.Duration(17 * time.Second)})
	if d.Rollout.LoadGrace != 7*time.Second || d.Rollout.ThrottleFor != 3*time.Second {
		t.Errorf("beyond %v, hurry %v", d.Rollout.LoadGrace, d.Rollout.ThrottleFor)
	}
}

// TestTurnOfHolders checks that the last order of one holder, which arrives before the
// holder stops, and the first one of the next are at least a turn apart, and that clocks
// may drift.
func TestTurnOfHolders(t *testing.T) {
	for _, turn := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		store := objectapi.NewMemory()
		a := lease.New(store, leaseName, "a", leaseTuning(turn), clock)
		b := lease.New(store, leaseName, "b", leaseTuning(turn), clock)
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
		if gap := now.Sub(last.Until); gap < turn+turnMargin || gap > turn+2*turnMargin {
			t.Errorf("turns of %v: the next holder begins %v after the last one stops", turn, gap)
		}
	}
}

// TestWakesForTheTakeover checks that a VM which may take the lease over before its next
// look wakes for that, that one which holds it renews in time, and that VMs which don't
// look often stay with that.
func TestWakesForTheTakeover(t *testing.T) {
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
			t.Fatalf("it looks after %v though nothing is due", pause)
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
			t.Fatalf("it looks after %v, the lease may be taken over in %v", pause, soon)
		}
	}
	now = now.Add(soon + 1) // the store has not answered, say
	for range 100 {
		if pause := d.leasePause(false); pause < otherEvery/2 {
			t.Fatalf("it looks again after %v", pause)
		}
	}
}

// TestFarVMsLookSeldom lets a VM hear from more living VMs before it than look often at
// the lease: it looks seldom. Those that nobody hears of don't count.
func TestFarVMsLookSeldom(t *testing.T) {
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
	d.vms.at = map[string]vmRecord{}
	var peers []news.Peer
	for i := 0; len(peers) < candidates+1; i++ {
		vm := ids.VM(fmt.Sprint("peer", i))
		if routing.VMWeight(leaseName, vm) <= routing.VMWeight(leaseName, "vm0") {
			continue
		}
		d.vms.at[string(vm)] = vmRecord{VM: vm, FailureDomain: "z"}
		peers = append(peers, news.Peer{VM: vm, FailureDomain: "z", Addr: "127.0.0.1:1"})
	}
	d.news.SetPeers(peers)
	for range 20 {
		if pause := d.leasePause(false); pause >= farEvery/2 {
			t.Fatalf("it looks after %v though nobody else is heard", pause)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); d.vms.rank(leaseName) != candidates; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("rank %d, with news of %d VMs before it", d.vms.rank(leaseName), candidates)
		}
		for _, p := range peers[:candidates] { // again, should the machine be slow
			tell(t, addr, p.VM)
		}
	}
	if pause := d.leasePause(false); pause < farEvery/2 {
		t.Errorf("it looks after %v, though %d others look often", pause, candidates)
	}
}

// tell sends a VM's news.
func tell(t *testing.T, to string, from ids.VM) {
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
