package edge

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/settings"
)

// TestProofsOutlastTheirWay checks for short and long lives of keys, and for VMs that
// read the store or a peer, that a proof is renewed before it is too old to send a call
// with a key. With key lives of 2 s, VMs that read from a peer refused calls for some
// tenths of a second again and again though nothing was wrong (soak, seeds 7000 and 7002).
func TestProofsOutlastTheirWay(t *testing.T) {
	for _, ttl := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		for _, vms := range []int{1, 40} {
			s := settings.Settings{VM: "vm0", FailureDomain: "z", Edge: &settings.Edge{
				KeyTTL: durations.Duration(ttl), ProofEvery: durations.Duration(ttl * 3 / 10), DirectFleet: 12,
			}}
			d, err := New(s, Options{Adapter: Adapter{Store: objectapi.NewMemory(), PrefixConfig: "config/"}, LogTo: io.Discard})
			if err != nil {
				t.Fatal(err)
			}
			d.vms.at = map[string]vmRecord{}
			for i := range vms {
				d.vms.at[fmt.Sprint(i)] = vmRecord{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: "z"}
			}
			oldest := 2 * d.wait("config/")()
			if vms > s.Edge.DirectFleet {
				oldest += 4 * d.reader.Wait // over the reader of the fleet and that of the domain
			}
			if limit := time.Duration(keyAge(ttl)); oldest > limit*19/20 {
				t.Errorf("keys that live %v, %d VMs: a proof gets %v old, at most %v are allowed", ttl, vms, oldest, limit)
			}
			d.Log.Close()
		}
	}
}

// TestOrderOfReaders checks that the VMs of a failure domain agree on who reads the store
// for whom: the first reads it itself, and nobody reads from a VM behind it.
func TestOrderOfReaders(t *testing.T) {
	const vms = 20
	before := map[ids.VM][]ids.VM{}
	for i := range vms {
		s := settings.Settings{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: "z", Edge: &settings.Edge{DirectFleet: 12}}
		d, err := New(s, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		d.vms.at = map[string]vmRecord{}
		for j := range vms {
			d.vms.at[fmt.Sprint(j)] = vmRecord{VM: ids.VM(fmt.Sprint("vm", j)), FailureDomain: "z"}
		}
		for _, p := range d.vms.before() {
			before[s.VM] = append(before[s.VM], p.VM)
		}
		d.Log.Close()
	}
	places := map[int]ids.VM{}
	for vm, all := range before {
		places[len(all)] = vm
	}
	if len(before) != vms-1 { // the first has none before it
		t.Fatalf("%d VMs read the store themselves", vms-len(before))
	}
	for vm, all := range before {
		for i, p := range all[1:] {
			if places[i+1] != p {
				t.Fatalf("%s reads from %v, the order is %v", vm, all, places)
			}
		}
	}
}

// TestRankPassesOverTheGone checks that VMs that are gone, whose entries stay, don't keep
// the others from looking often at the lease for orders: with the five first ones gone, a
// successor came after 20 to 65 s (worked out).
func TestRankPassesOverTheGone(t *testing.T) {
	for i := range 20 {
		s := settings.Settings{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: "z", Edge: &settings.Edge{DirectFleet: 12}}
		d, err := New(s, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		d.vms.at = map[string]vmRecord{}
		for j := range 20 {
			d.vms.at[fmt.Sprint(j)] = vmRecord{VM: ids.VM(fmt.Sprint("vm", j)), FailureDomain: "z"}
		}
		if rank := d.vms.rank(leaseName); rank != 0 {
			t.Errorf("vm%d, of which nobody else has told anything, has rank %d", i, rank)
		}
		d.Log.Close()
	}
}

// TestOneReaderForTheFleet checks that one VM of a fleet of six failure domains reads the
// store, one of each other domain reads from that one or from one between, and that no VM
// reads, over any number of others, from itself.
func TestOneReaderForTheFleet(t *testing.T) {
	at := map[string]vmRecord{}
	for domain := range 6 {
		for i := range 5 {
			vm := ids.VM(fmt.Sprintf("vm%d-%d", domain, i))
			at[string(vm)] = vmRecord{VM: vm, FailureDomain: ids.FailureDomain(fmt.Sprint("z", domain)), LinkMbps: 20 + 180*(i/4)}
		}
	}
	before := map[ids.VM][]ids.VM{}
	far := 0
	for _, r := range at {
		d, err := New(settings.Settings{VM: r.VM, FailureDomain: r.FailureDomain, Edge: &settings.Edge{DirectFleet: 12, LinkMbps: float64(r.LinkMbps)}},
			Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		d.vms.at = at
		for _, p := range d.vms.before() {
			before[r.VM] = append(before[r.VM], p.VM)
		}
		if peers := d.vms.before(); len(peers) > 0 && peers[0].CrossDomain {
			far++
		}
		d.Log.Close()
	}
	if readers := len(at) - len(before); readers != 1 || far != 5 {
		t.Errorf("%d VMs read the store and %d read from other domains, want 1 and 5", readers, far)
	}
	for vm := range before {
		seen := map[ids.VM]bool{}
		for next := before[vm]; len(next) > 0; next = next[1:] {
			if next[0] == vm {
				t.Fatalf("%s reads from itself over others", vm)
			}
			if !seen[next[0]] {
				seen[next[0]] = true
				next = append(next, before[next[0]]...)
			}
		}
	}
}

// unlisted is a store whose list of entry VMs is never answered.
type unlisted struct{ objectapi.Store }

func (s unlisted) List(ctx context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	if prefix == prefixVMs {
		return nil, 0, objectapi.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// TestStartsWithoutItsPeers starts a VM that can't read the list of VMs: it goes on to read
// the rest of the store by itself.
func TestStartsWithoutItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, err := New(settings.Settings{VM: "vm0", FailureDomain: "z", Edge: &settings.Edge{DirectFleet: 12}},
			Options{Adapter: Adapter{Store: unlisted{objectapi.NewMemory()}}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		d.listVMs(ctx)
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the VM waited %v for the list of its peers", took)
		}
		d.Log.Close()
	})
}
