package follow

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestRestartReportedBeforeEntry has a replica report its restart itself before its entry changes:
// an entry of the previous incarnation comes first, then that of the new one.
func TestRestartReportedBeforeEntry(t *testing.T) {
	r, gone := newReplicas(t)
	r.Listed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving))}, At{}, false)
	r.Restarted("e1", 200, "feed")
	r.Restarted("e1", 150, "report") // late
	r.Changed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving))}, At{})
	if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Live {
		t.Errorf("the replica is %s after its restart, want live", got)
	}
	r.Changed([]objectapi.Object{entryOf(engineOf("e1", 200, platform.StateLive))}, At{})
	if got := r.find("e1"); got == nil || got.Incarnation != 200 || got.State != platform.StateLive || len(*gone) != 1 {
		t.Errorf("got record %+v, OnGone was called for %v; want incarnation 200 live, one call", got, *gone)
	}
	r.Changed([]objectapi.Object{entryOf(engineOf("e1", 200, platform.StateLeaving))}, At{})
	if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Leaving {
		t.Errorf("the replica is %s although its entry says that it leaves", got)
	}
}

// TestUnconfiguredServiceIsNotPublished checks that replicas of a service are published only once
// the configuration names the service.
func TestUnconfiguredServiceIsNotPublished(t *testing.T) {
	r, _ := newReplicas(t)
	configured := false
	r.Configured = func(string) bool { return configured }
	r.Listed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLive))}, At{}, false)
	if got := r.Records(); len(got) != 0 {
		t.Errorf("got records %v, want none", got)
	}
	configured = true
	r.Publish()
	if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Live {
		t.Errorf("the replica is %s after its service was configured, want live", got)
	}
}
