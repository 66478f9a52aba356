package edge

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/settings"
)

// TestDemandIsShown guards against metrics and a status without the load of a service, or with hashes in
// place of the names of the configuration.
func TestDemandIsShown(t *testing.T) {
	d, err := New(settings.Settings{VM: "vm1", Edge: &settings.Edge{}}, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Log.Close()
	d.Catalog.Adopt(catalog.New(catalog.Declaration{
		Version: 1, Routes: []catalog.Route{{Name: "notes", Host: "h", PathPrefix: "/", Split: []catalog.Share{{Service: "models", Weight: 1}}}},
		Services: []catalog.Service{{Name: "models"}, {Name: "idle"}}, Workspaces: []catalog.Workspace{{Name: "w1"}},
	}))
	for i := range 10 {
		c := demand.Class{Service: "models", Route: "notes", Workspace: "w1"}
		admitted := i < 8
		d.demand.Decided(c, 0.5, admitted)
		if admitted {
			d.demand.FirstEvent(c, 0.5, 100*time.Millisecond, 150*time.Millisecond)
			d.demand.Ended(c, time.Second, i < 2, i == 2)
		}
	}
	for what, v := range map[string]any{"metrics": d.Metrics(), "status": d.Status()} {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var shown struct {
			Demand []demand.Status `json:"demand"`
		}
		if err := json.Unmarshal(text, &shown); err != nil {
			t.Fatal(err)
		}
		if len(shown.Demand) != 1 || len(shown.Demand[0].Routes) != 1 || len(shown.Demand[0].Workspaces) != 1 {
			t.Fatalf("%s show %+v, want one service with a route and a workspace", what, shown.Demand)
		}
		s := shown.Demand[0]
		r, w := s.Routes[0], s.Workspaces[0]
		near := func(got, want float64) bool { return got > want*0.9 && got < want*1.01 } // the sums decay
		if s.Service != "models" || r.Route != "notes" || !near(r.Calls, 5) || !near(r.Admitted, 4) || !near(r.Refused, 1) || !near(r.WaitMs, 150) || !near(r.Late, 1) || !near(r.Paused, 0.5) {
			t.Errorf("%s show the route %+v of %s", what, r, s.Service)
		}
		if w.Workspace != "w1" || !near(w.Offered, 2.5) || !near(w.Admitted, 2) {
			t.Errorf("%s show the workspace %+v", what, w)
		}
	}
}

// TestDemandLog guards against a log without the moment from which a VM no longer hears all others, and
// against a line for each check.
func TestDemandLog(t *testing.T) {
	var l demandLog
	now := time.Unix(1000, 0)
	lines := 0
	check := func(vms int) int {
		now = now.Add(demandCheckEvery)
		n := len(l.due([]demand.Status{{Service: "models", VMs: vms, Listed: 6}}, now))
		lines += n
		return n
	}
	for range 40 { // 20 s
		check(6)
	}
	if lines < 4 || lines > 5 {
		t.Errorf("%d lines in 20 s, want one each 5 s", lines)
	}
	for check(6) == 0 {
	}
	if check(5) != 1 || check(4) != 0 || check(6) != 1 {
		t.Error("want a line when a VM is no longer heard, none for a second one, and one when all are heard again")
	}
	if n := len(l.due(nil, now.Add(demandLogEvery))); n != 0 {
		t.Errorf("%d lines without load, want none", n)
	}
}
