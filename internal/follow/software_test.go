package follow

import (
	"fmt"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/streams"
)

func softwareEntry(id string, v ids.SoftwareVersion) objectapi.Object {
	return entryOf(platform.Record{ID: id, Role: platform.RoleService, Service: "llm", FailureDomain: "z1", Addr: "127.0.0.1:" + id, Incarnation: 1, Software: v})
}

// TestRareVersionBeyondSubset checks that a VM of a large fleet finds the replicas of a version that its subset
// lacks, and makes them active.
func TestRareVersionBeyondSubset(t *testing.T) {
	r, _ := newReplicas(t)
	r.Subset = Subset{VM: "vm0", Domain: "z1", Max: 8}
	var all []objectapi.Object
	for i := range 200 {
		all = append(all, softwareEntry(fmt.Sprint(1000+i), "v1"))
	}
	r.Listed(all, At{}, false)
	var rare []objectapi.Object
	for i := range 200 {
		id := fmt.Sprint(3000 + i)
		rare = append(rare, softwareEntry(id, ids.SoftwareVersion("rare-"+fmt.Sprint(i/2))))
	}
	r.Changed(rare, At{})
	missing := 0
	for i := range 100 {
		v := ids.SoftwareVersion("rare-" + fmt.Sprint(i))
		service, software, ok := r.FindSoftware([]string{"other", "llm"}, streams.VersionOf("llm", v), uint64(i))
		if !ok || service != "llm" || software != v {
			t.Fatalf("%s: found %q %q %v", v, service, software, ok)
		}
		active := 0
		for _, rec := range r.Active() {
			if rec.Software == v {
				active++
			}
		}
		if active != 2 {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("of %d versions not all replicas are active", missing)
	}
	if n := len(r.Active()); n > 8+maxRendezvous {
		t.Errorf("%d replicas are active", n)
	}
	if _, _, ok := r.FindSoftware([]string{"llm"}, streams.VersionOf("llm", "v9"), 1); ok {
		t.Error("found a version that no replica runs")
	}
}

// TestSoleSoftware checks that a version counts as the only one until another appears, and no longer when that one
// is gone.
func TestSoleSoftware(t *testing.T) {
	r, _ := newReplicas(t)
	further := 0
	r.OnNewSoftware = func() { further++ }
	r.Listed([]objectapi.Object{softwareEntry("1", "v1"), softwareEntry("2", "v1")}, At{}, false)
	if v, ok := r.SoleSoftware("llm"); !ok || v != "v1" || further != 0 {
		t.Errorf("one version: %q %v, %d further", v, ok, further)
	}
	if v := r.SoleVersion(streams.ServiceHash("llm")); v != 0 {
		t.Error("a version counts as the only one for all streams right after the first list")
	}
	r.Changed([]objectapi.Object{softwareEntry("3", "v2")}, At{})
	if _, ok := r.SoleSoftware("llm"); ok || further != 1 {
		t.Errorf("two versions: %v, %d further", ok, further)
	}
	r.Changed([]objectapi.Object{{Key: "servers/3", Deleted: true}}, At{})
	if _, ok := r.SoleSoftware("llm"); ok {
		t.Error("a version counts as the only one although streams of another may go on")
	}
}
