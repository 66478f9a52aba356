package follow

import (
	"fmt"
	"slices"
	"testing"
	"time"

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

// listedVersions is a StreamVersions with fixed contents.
type listedVersions struct {
	listed []ids.SoftwareVersion
	count  Count
	woken  int
}

func (l *listedVersions) Lists(_ string, v ids.SoftwareVersion) bool {
	return slices.Contains(l.listed, v)
}

func (l *listedVersions) Sole(string) (ids.SoftwareVersion, Count) {
	if l.count == OneVersion {
		return l.listed[0], OneVersion
	}
	return "", l.count
}

func (l *listedVersions) Wake() { l.woken++ }

// published returns the versions of the replicas that decisions may pick.
func published(r *Replicas) (out []ids.SoftwareVersion) {
	for _, rec := range r.directory.published {
		out = append(out, rec.Software)
	}
	slices.Sort(out)
	return out
}

// TestUnlistedVersionBeginsNoStreams guards against streams at a version of which nobody knows after a kill of all VMs.
func TestUnlistedVersionBeginsNoStreams(t *testing.T) {
	r, _ := newReplicas(t)
	l := &listedVersions{listed: []ids.SoftwareVersion{"v1"}, count: OneVersion}
	r.StreamVersions, r.HasStreams = l, func(service string) (has, known bool) { return service == "llm", true }
	r.Listed([]objectapi.Object{softwareEntry("1", "v1"), softwareEntry("2", "v2")}, At{}, false)
	if got := published(r); !slices.Equal(got, l.listed) || l.woken == 0 {
		t.Errorf("published %v, woken %d times", got, l.woken)
	}
	time.Sleep(unlistedWait + 2*sweepInterval)
	r.Sweep()
	if got := published(r); !slices.Equal(got, l.listed) {
		t.Errorf("published %v while a listed version serves", got)
	}
	r.Changed([]objectapi.Object{{Key: "servers/1", Deleted: true}}, At{})
	if got := published(r); !slices.Equal(got, []ids.SoftwareVersion{"v2"}) {
		t.Errorf("published %v when no listed version serves", got)
	}
}

// TestSoleVersionGoesByWhatIsListed guards against guesses from what a VM has seen since it started.
func TestSoleVersionGoesByWhatIsListed(t *testing.T) {
	for name, c := range map[string]struct {
		l    listedVersions
		want streams.Version
	}{
		"the same":         {listedVersions{listed: []ids.SoftwareVersion{"v2"}, count: OneVersion}, streams.VersionOf("llm", "v2")},
		"another":          {listedVersions{listed: []ids.SoftwareVersion{"v1"}, count: OneVersion}, streams.Several},
		"several":          {listedVersions{listed: []ids.SoftwareVersion{"v1", "v2"}, count: SeveralVersions}, streams.Several},
		"nobody knows yet": {listedVersions{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newReplicas(t)
			r.StreamVersions, r.HasStreams = &c.l, func(string) (has, known bool) { return true, true }
			r.Listed([]objectapi.Object{softwareEntry("1", "v2")}, At{}, false)
			if got := r.SoleVersion(streams.ServiceHash("llm")); got != c.want {
				t.Errorf("got %x, want %x", got, c.want)
			}
			if _, ok := r.SoleSoftware("llm"); ok != (c.want == streams.VersionOf("llm", "v2")) {
				t.Errorf("a call that names no stream: %v", ok)
			}
		})
	}
}
