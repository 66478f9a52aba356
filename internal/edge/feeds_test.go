package edge

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab/loopback"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/settings"
)

// newDaemonInFleet returns the daemon vm0 of failure domain "z" in a fleet with the given VMs, and a
// function that sends it a message from one of them.
func newDaemonInFleet(t *testing.T, vms map[ids.VM]ids.FailureDomain) (*Daemon, func(ids.VM)) {
	t.Helper()
	addr := loopback.Addr()
	d, err := New(settings.Settings{VM: "vm0", FailureDomain: "z", PeerListen: addr, Edge: &settings.Edge{}},
		Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Log.Close)
	if err := d.news.Start(); err != nil {
		t.Fatal(err)
	}
	go d.news.Receive(t.Context())
	d.vms.records = map[string]vmRecord{}
	var peers []news.Peer
	for vm, domain := range vms {
		d.vms.records[string(vm)] = vmRecord{VM: vm, FailureDomain: domain}
		peers = append(peers, news.Peer{VM: vm, FailureDomain: domain, Addr: "127.0.0.1:1"})
	}
	d.news.SetPeers(peers)
	return d, func(vm ids.VM) {
		for deadline := time.Now().Add(10 * time.Second); !d.news.SeenWithin(vm, 500*time.Millisecond); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("no message of %s was received", vm)
			}
			sendNews(t, addr, vm)
		}
		time.Sleep(liveVMsFor) // until the snapshot of live VMs is renewed
	}
}

// TestFeedReaders checks which VMs read the feed of a target: two VMs of its own failure domain, and
// VMs of other domains only if its own has too few live ones.
func TestFeedReaders(t *testing.T) {
	d, receiveFrom := newDaemonInFleet(t, map[ids.VM]ids.FailureDomain{"near1": "y", "near2": "y", "near3": "y", "far1": "x", "far2": "x"})
	if got := d.vms.feedReaders("e1", "y"); len(got) != 1 || got[0] != "vm0" {
		t.Fatalf("%v read the feed without live peers", got)
	}
	receiveFrom("far1")
	receiveFrom("far2")
	if got := d.vms.feedReaders("e1", "y"); len(got) != readersPerFeed {
		t.Errorf("%v read the feed while only VMs of other domains are live", got)
	}
	receiveFrom("near2")
	if got := d.vms.feedReaders("e1", "y"); got[0] != "near2" || len(got) != readersPerFeed {
		t.Errorf("%v read the feed, want the VM of the target's domain first", got)
	}
	receiveFrom("near1")
	receiveFrom("near3")
	first := map[ids.VM]bool{}
	for i := range 64 {
		got := d.vms.feedReaders(ids.Target(fmt.Sprint("e", i)), "y")
		for _, vm := range got {
			if d.vms.domain(vm) != "y" {
				t.Errorf("%s reads a feed of another domain", vm)
			}
		}
		first[got[0]] = true
	}
	if len(first) != 3 {
		t.Errorf("of three VMs only %d report feeds", len(first))
	}
	if d.readsFeed("e1", "y") || d.reportsFeed("e1") {
		t.Error("this VM reads a feed of another domain although VMs are live there")
	}
}

// TestPartitionedDomainIsSuspect receives no more messages of the VMs of another failure domain, as
// in a network partition. An engine there, whose feed only they read, must become suspect, and must
// no longer be suspect as soon as one of these VMs sends a message again.
func TestPartitionedDomainIsSuspect(t *testing.T) {
	d, receiveFrom := newDaemonInFleet(t, map[ids.VM]ids.FailureDomain{"near1": "y", "near2": "y"})
	record := platform.Record{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 1, FailureDomain: "y"}
	d.Replicas.Decode = func(objectapi.Object) (platform.Record, error) { return record, nil }
	d.Replicas.Listed([]objectapi.Object{{}}, follow.At{}, false)
	receiveFrom("near1")
	receiveFrom("near2")
	state := func() routing.State { return d.Fleet.Members.State("e1", time.Now()) }
	d.checkReaders()
	if got := state(); got == routing.Suspect {
		t.Fatalf("the engine is %s while the readers of its feed are live", got)
	}
	time.Sleep(suspectAfter + 50*time.Millisecond)
	d.checkReaders()
	if got := state(); got != routing.Suspect {
		t.Errorf("the engine is %s although the readers of its feed are unresponsive", got)
	}
	receiveFrom("near2")
	d.checkReaders()
	if got := state(); got == routing.Suspect {
		t.Errorf("the engine is %s although a reader of its feed is live again", got)
	}
}

// TestFeedsWithoutLivePeers checks that a VM without live peers reads a bounded number of feeds,
// always the same ones. It guards against a VM that has just started and received no message yet: it
// took itself for the only reader of all feeds and started to connect to every engine, as did the
// 985 other VMs that had started at the same time.
func TestFeedsWithoutLivePeers(t *testing.T) {
	d, _ := newDaemonInFleet(t, nil)
	d.Replicas.Subset.Max = 256
	d.started = time.Now().Add(-time.Minute)
	d.Catalog.Adopt(catalog.New(catalog.Declaration{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{}}}}))
	var objects []objectapi.Object
	for i := range 9_756 {
		objects = append(objects, objectapi.Object{Key: fmt.Sprint("servers/", i), Version: 1})
	}
	d.Replicas.Decode = func(o objectapi.Object) (platform.Record, error) {
		return platform.Record{Key: o.Key, ID: o.Key, Role: platform.RoleEngine, Service: "s", Model: "m", Incarnation: 1, FailureDomain: "y"}, nil
	}
	d.Replicas.Listed(objects, follow.At{Revision: 1}, false)
	first := d.feedSources()
	if len(first) != maxFeeds {
		t.Fatalf("%d feeds, want %d", len(first), maxFeeds)
	}
	if again := d.feedSources(); !slices.Equal(first, again) {
		t.Error("repeated calls return different feeds")
	}
	if n := len(d.Replicas.Active()); n > 256+maxFeeds {
		t.Errorf("the VM works with %d replicas", n)
	}
}
