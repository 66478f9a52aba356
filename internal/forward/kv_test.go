package forward

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/kvcache"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
)

const storeAddr = "10.0.0.9:1"

// newPlan plans a prompt of one shared part for the given choice.
func newPlan(p *Planner, choiceID string, rendezvousIndex int) choice {
	parts := []kvcache.Part{{ID: "p1", Tokens: 800}}
	req := routing.Request{Levels: kvcache.Levels("shared", "m", parts), Tokens: 1000}
	snap := &fleet.Snapshot{View: routing.View{Targets: []routing.Target{
		{ID: "a", Addr: "10.0.0.1:1", Service: "svc"}, {ID: "b", Addr: "10.0.0.2:1", Service: "svc"},
	}}}
	sc := &fleet.Scratch{Inputs: []routing.Input{{State: routing.Live}, {State: routing.Live}}}
	c := choice{levels: req.Levels, salt: "1/shared", work: 1000}
	for _, t := range snap.View.Targets {
		if string(t.ID) == choiceID {
			c.target = t
		}
	}
	c.rendezvous = rendezvousAddr(&c, snap, rendezvousIndex)
	p.plan(&c, &req, snap, sc, &catalog.KVStore{Addr: storeAddr}, "shared", "m", parts)
	p.sendStarted(&c, "m", parts)
	return c
}

// TestUncachedPrefixFetchedFromRendezvousTarget checks where a replica fetches a prefix that no
// replica is known to hold: the rendezvous target itself from the store, any other replica from the
// rendezvous target.
func TestUncachedPrefixFetchedFromRendezvousTarget(t *testing.T) {
	p := &Planner{Cache: cacheview.New(1024, nil)}
	if c := newPlan(p, "b", 0); c.fetch != "10.0.0.1:1" {
		t.Fatalf("another replica fetches from %q, want from the rendezvous target", c.fetch)
	}
	if c := newPlan(p, "a", 0); c.fetch != storeAddr {
		t.Fatalf("the rendezvous target fetches from %q, want from the store", c.fetch)
	}
}

// TestPrefixesSpreadOverStores checks that prefixes are spread over the KV stores, and that those
// of an unresponsive store go to the others until it is back. It guards against a fault in which
// only the first of three stores was used (run "solano grown").
func TestPrefixesSpreadOverStores(t *testing.T) {
	c := catalog.New(catalog.Declaration{Services: []catalog.Service{
		{Name: "kv1", KVStore: &catalog.KVStore{Addr: "s1"}},
		{Name: "kv2", KVStore: &catalog.KVStore{Addr: "s2"}},
		{Name: "kv3", KVStore: &catalog.KVStore{Addr: "s3"}},
	}})
	p := &Planner{}
	count := func() map[string]int {
		n := map[string]int{}
		for prefix := range uint64(300) {
			n[c.KVStoreOf(prefix, p.usable).Addr]++
		}
		return n
	}
	if n := count(); n["s1"] < 60 || n["s2"] < 60 || n["s3"] < 60 {
		t.Fatalf("the stores get %v of 300 prefixes, want at least 60 each", n)
	}
	p.StoreDown("s2", true, time.Now())
	if n := count(); n["s2"] != 0 || n["s1"] < 100 {
		t.Fatalf("while s2 is down the stores get %v, want none for s2 and at least 100 for s1", n)
	}
	r := &run{f: &Forwarder{KV: p}, catalog: c}
	for id := range prefix.ID(300) {
		if kv := r.kvStore([]prefix.Level{{ID: id}}); kv.Addr == "s2" {
			t.Fatalf("a call with the prefix %d uses the store that is down", id)
		}
	}
	p.StoreDown("s2", false, time.Now())
	if n := count(); n["s2"] < 60 {
		t.Fatalf("after s2 is back the stores get %v, want at least 60 for s2", n)
	}
	if catalog.New(catalog.Declaration{}).KVStoreOf(1, p.usable) != nil {
		t.Fatal("a store is returned although none is declared")
	}
}

// TestRequestedSaveNotAssumedDone checks that a requested save does not count as done before the
// store's feed reports it, and that the VM does not request it again at once.
func TestRequestedSaveNotAssumedDone(t *testing.T) {
	p := &Planner{Cache: cacheview.New(1024, nil)}
	if c := newPlan(p, "a", 0); c.save != storeAddr {
		t.Fatalf("the first call saves to %q, want to the store", c.save)
	}
	c := newPlan(p, "a", 0)
	if c.save != "" {
		t.Fatal("the save was requested twice within its timeout")
	}
	if c.work != 1000 {
		t.Fatalf("%d tokens are to be computed, want all: the store has reported none", c.work)
	}
	store := StoreTarget(storeAddr)
	p.Cache.Add(store, StoreGeneration(p.Cache, store), []prefix.Level{{ID: StoreLevel("1/shared", "m", "p1")}})
	if c := newPlan(p, "a", 0); c.work != 200 || c.save != "" {
		t.Fatalf("%d tokens are to be computed, saved to %q, after the store reported the part, want 200 and no save", c.work, c.save)
	}
}
