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

// daemonAmong returns the daemon vm0 of domain "z" in a fleet with the given VMs, and a
// function that lets one of them speak to it.
func daemonAmong(t *testing.T, vms map[ids.VM]ids.FailureDomain) (*Daemon, func(ids.VM)) {
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
	d.vms.at = map[string]vmRecord{}
	var peers []news.Peer
	for vm, domain := range vms {
		d.vms.at[string(vm)] = vmRecord{VM: vm, FailureDomain: domain}
		peers = append(peers, news.Peer{VM: vm, FailureDomain: domain, Addr: "127.0.0.1:1"})
	}
	d.news.SetPeers(peers)
	return d, func(vm ids.VM) {
		for deadline := time.Now().Add(10 * time.Second); !d.news.SeenWithin(vm, 500*time.Millisecond); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s was not heard", vm)
			}
			tell(t, addr, vm)
		}
		time.Sleep(livingFor) // by then it is taken for alive
	}
}

// TestFeedsAreReadNearby checks who reads the feed of a target: two VMs of its own failure
// domain, and VMs of others only as long as none lives there.
func TestFeedsAreReadNearby(t *testing.T) {
	d, speak := daemonAmong(t, map[ids.VM]ids.FailureDomain{"near1": "y", "near2": "y", "near3": "y", "far1": "x", "far2": "x"})
	if got := d.vms.feedReaders("e1", "y"); len(got) != 1 || got[0] != "vm0" {
		t.Fatalf("%v read the feed when no peer was heard", got)
	}
	speak("far1")
	speak("far2")
	if got := d.vms.feedReaders("e1", "y"); len(got) != readersPerFeed {
		t.Errorf("%v read the feed when only VMs of other domains are heard", got)
	}
	speak("near2")
	if got := d.vms.feedReaders("e1", "y"); got[0] != "near2" || len(got) != readersPerFeed {
		t.Errorf("%v read the feed, want the VM of the target's domain first", got)
	}
	speak("near1")
	speak("near3")
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
		t.Errorf("of three VMs only %d tell what feeds say", len(first))
	}
	if d.reads("e1", "y") || d.tells("e1") {
		t.Error("this VM reads a feed of another domain though VMs live there")
	}
}

// TestCutDomainIsInDoubt lets all VMs of another failure domain fall silent, as when a link
// is cut: the engines there, whose feeds only they read, get no more calls while others
// serve, and get some as soon as one of the VMs is heard again.
func TestCutDomainIsInDoubt(t *testing.T) {
	d, speak := daemonAmong(t, map[ids.VM]ids.FailureDomain{"near1": "y", "near2": "y"})
	record := platform.Record{ID: "e1", Role: platform.RoleEngine, Model: "m", Incarnation: 1, FailureDomain: "y"}
	d.Replicas.Decode = func(objectapi.Object) (platform.Record, error) { return record, nil }
	d.Replicas.Listed([]objectapi.Object{{}}, follow.At{}, false)
	speak("near1")
	speak("near2")
	state := func() routing.State { return d.Fleet.Members.State("e1", time.Now()) }
	d.watchReaders()
	if got := state(); got == routing.Suspect {
		t.Fatalf("the engine is %s while the readers of its feed are heard", got)
	}
	time.Sleep(vouchWithin + 50*time.Millisecond)
	d.watchReaders()
	if got := state(); got != routing.Suspect {
		t.Errorf("the engine is %s though the readers of its feed are silent", got)
	}
	speak("near2")
	d.watchReaders()
	if got := state(); got == routing.Suspect {
		t.Errorf("the engine is %s though a reader of its feed is heard again", got)
	}
}

// A VM that had just started heard nobody yet, took itself for the only reader of all feeds, and
// began to connect to every engine there was, as did the 985 others that had started with it.

// TestFeedsOfAVMThatHearsNobody: it reads a bounded number of feeds, always the same ones.
func TestFeedsOfAVMThatHearsNobody(t *testing.T) {
	d, _ := daemonAmong(t, nil)
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
	if len(first) != mostFeeds {
		t.Fatalf("%d feeds, want %d", len(first), mostFeeds)
	}
	if again := d.feedSources(); !slices.Equal(first, again) {
		t.Error("the feeds differ from one look to the next")
	}
	if n := len(d.Replicas.Active()); n > 256+mostFeeds {
		t.Errorf("the VM works with %d replicas", n)
	}
}
