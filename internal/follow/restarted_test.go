package follow

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestRestartHeardBeforeTheEntry hears from a replica itself that it has started again. Its
// entry follows, an old one of it first.
func TestRestartHeardBeforeTheEntry(t *testing.T) {
	r, gone := newReplicas(t)
	r.Listed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving))}, At{}, false)
	r.Restarted("e1", 200, "feed")
	r.Restarted("e1", 150, "report") // late
	r.Changed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving))}, At{})
	if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Live {
		t.Errorf("the replica is %s", got)
	}
	r.Changed([]objectapi.Object{entryOf(engineOf("e1", 200, platform.StateLive))}, At{})
	if got := r.find("e1"); got == nil || got.Incarnation != 200 || got.State != platform.StateLive || len(*gone) != 1 {
		t.Errorf("the list says %+v, forgotten %v", got, *gone)
	}
	r.Changed([]objectapi.Object{entryOf(engineOf("e1", 200, platform.StateLeaving))}, At{})
	if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Leaving {
		t.Errorf("the replica is %s though it says that it leaves", got)
	}
}

// TestServicesThatAreNotNamed lists replicas of a service before the configuration names
// it.
func TestServicesThatAreNotNamed(t *testing.T) {
	r, _ := newReplicas(t)
	named := false
	r.Configured = func(string) bool { return named }
	r.Listed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLive))}, At{}, false)
	if got := r.Records(); len(got) != 0 {
		t.Errorf("the list names %v", got)
	}
	named = true
	r.Publish()
	if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Live {
		t.Errorf("the replica is %s after its service was named", got)
	}
}
