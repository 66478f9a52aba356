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

// TestProofsAreRenewedInTime checks, for short and long TTLs of keys and for VMs that read the store
// or a peer, that a proof is renewed before it is too old to admit a call with a key. With a TTL of
// 2 s, VMs that read from a peer repeatedly refused calls for some tenths of a second without any
// fault (soak, seeds 7000 and 7002).
func TestProofsAreRenewedInTime(t *testing.T) {
	for _, ttl := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		for _, vms := range []int{1, 40} {
			s := settings.Settings{VM: "vm0", FailureDomain: "z", Edge: &settings.Edge{
				KeyTTL: durations.Duration(ttl), ProofEvery: durations.Duration(ttl * 3 / 10), DirectFleet: 12,
			}}
			d, err := New(s, Options{Adapter: Adapter{Store: objectapi.NewMemory(), PrefixConfig: "config/"}, LogTo: io.Discard})
			if err != nil {
				t.Fatal(err)
			}
			d.vms.records = map[string]vmRecord{}
			for i := range vms {
				d.vms.records[fmt.Sprint(i)] = vmRecord{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: "z"}
			}
			oldest := 2 * d.wait("config/")()
			if vms > s.Edge.DirectFleet {
				oldest += 4 * d.reader.Wait // through the store reader and the reader of the domain
			}
			if limit := time.Duration(maxProofAge(ttl)); oldest > limit*19/20 {
				t.Errorf("key TTL %v, %d VMs: a proof gets %v old, at most %v is allowed", ttl, vms, oldest, limit)
			}
			d.Log.Close()
		}
	}
}

// TestOrderOfReaders checks that the VMs of a failure domain agree on the order in which they read
// the store for each other: the first reads it itself, and no VM reads from one that ranks after it.
func TestOrderOfReaders(t *testing.T) {
	const vms = 20
	upstreamOf := map[ids.VM][]ids.VM{}
	for i := range vms {
		s := settings.Settings{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: "z", Edge: &settings.Edge{DirectFleet: 12}}
		d, err := New(s, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		d.vms.records = map[string]vmRecord{}
		for j := range vms {
			d.vms.records[fmt.Sprint(j)] = vmRecord{VM: ids.VM(fmt.Sprint("vm", j)), FailureDomain: "z"}
		}
		for _, p := range d.vms.upstreamPeers() {
			upstreamOf[s.VM] = append(upstreamOf[s.VM], p.VM)
		}
		d.Log.Close()
	}
	ranks := map[int]ids.VM{}
	for vm, all := range upstreamOf {
		ranks[len(all)] = vm
	}
	if len(upstreamOf) != vms-1 { // the first has no upstream peer
		t.Fatalf("%d VMs read the store themselves, want 1", vms-len(upstreamOf))
	}
	for vm, all := range upstreamOf {
		for i, p := range all[1:] {
			if ranks[i+1] != p {
				t.Fatalf("%s reads from %v, the order is %v", vm, all, ranks)
			}
		}
	}
}

// TestRankSkipsGoneVMs checks that the entries of VMs that are gone do not keep others from reading
// the lease for orders often. With the five top-ranked VMs gone, a successor would take over only
// after 20 to 65 s (calculated).
func TestRankSkipsGoneVMs(t *testing.T) {
	for i := range 20 {
		s := settings.Settings{VM: ids.VM(fmt.Sprint("vm", i)), FailureDomain: "z", Edge: &settings.Edge{DirectFleet: 12}}
		d, err := New(s, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		d.vms.records = map[string]vmRecord{}
		for j := range 20 {
			d.vms.records[fmt.Sprint(j)] = vmRecord{VM: ids.VM(fmt.Sprint("vm", j)), FailureDomain: "z"}
		}
		if rank := d.vms.rank(leaseName); rank != 0 {
			t.Errorf("vm%d has rank %d without live peers, want 0", i, rank)
		}
		d.Log.Close()
	}
}

// TestOneReaderForTheFleet checks that in a fleet of six failure domains one VM reads the store, one
// VM of each other domain reads from another domain, and no VM reads from itself, directly or
// through others.
func TestOneReaderForTheFleet(t *testing.T) {
	at := map[string]vmRecord{}
	for domain := range 6 {
		for i := range 5 {
			vm := ids.VM(fmt.Sprintf("vm%d-%d", domain, i))
			at[string(vm)] = vmRecord{VM: vm, FailureDomain: ids.FailureDomain(fmt.Sprint("z", domain)), LinkMbps: 20 + 180*(i/4)}
		}
	}
	upstreamOf := map[ids.VM][]ids.VM{}
	crossDomain := 0
	for _, r := range at {
		d, err := New(settings.Settings{VM: r.VM, FailureDomain: r.FailureDomain, Edge: &settings.Edge{DirectFleet: 12, LinkMbps: float64(r.LinkMbps)}},
			Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		d.vms.records = at
		for _, p := range d.vms.upstreamPeers() {
			upstreamOf[r.VM] = append(upstreamOf[r.VM], p.VM)
		}
		if peers := d.vms.upstreamPeers(); len(peers) > 0 && peers[0].CrossDomain {
			crossDomain++
		}
		d.Log.Close()
	}
	if readers := len(at) - len(upstreamOf); readers != 1 || crossDomain != 5 {
		t.Errorf("%d VMs read the store and %d read from other domains, want 1 and 5", readers, crossDomain)
	}
	for vm := range upstreamOf {
		seen := map[ids.VM]bool{}
		for next := upstreamOf[vm]; len(next) > 0; next = next[1:] {
			if next[0] == vm {
				t.Fatalf("%s reads from itself through other VMs", vm)
			}
			if !seen[next[0]] {
				seen[next[0]] = true
				next = append(next, upstreamOf[next[0]]...)
			}
		}
	}
}

// unlisted is a store in which the list of entry VMs is unavailable.
type unlisted struct{ objectapi.Store }

func (s unlisted) List(ctx context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	if prefix == prefixVMs {
		return nil, 0, objectapi.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// TestStartsWithoutVMList starts a VM that can't read the list of VMs. It must soon give up and read
// the store itself.
func TestStartsWithoutVMList(t *testing.T) {
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
