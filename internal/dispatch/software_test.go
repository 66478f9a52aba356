package dispatch

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/hlc"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timeline"
)

// TestStartedResponseKeepsItsSoftwareVersion checks that a response of which the caller has a part continues only at
// targets of the same software version.
func TestStartedResponseKeepsItsSoftwareVersion(t *testing.T) {
	members := membership.New("vm", membership.DefaultTuning)
	var records []platform.Record
	for id, software := range map[string]ids.SoftwareVersion{"a": "v1", "b": "v1", "c": "v2", "d": "v2", "e": "v2"} {
		records = append(records, platform.Record{ID: id, Role: platform.RoleEngine, Model: "m", Addr: "127.0.0.1:1", Incarnation: 1, Software: software})
	}
	members.ApplyPlatform(records, time.Now())
	fl := fleet.New(members, cacheview.New(64, nil), loadview.New(), routing.NewFetching(), nil)
	fl.Refresh()
	weight := 1.0
	r := &run{
		d:       &Dispatcher{Fleet: fl, Events: timeline.NewLog("vm", hlc.New(nil), 16), Stats: &Stats{}},
		p:       &Prompt{Model: "m", Tokens: 10, Template: config.Prompt{RecomputeWeight: &weight}},
		started: true, software: "v1", tried: []ids.Target{"a"},
	}
	for range 20 {
		c, err := r.decide()
		if err != nil || c.target.ID != "b" {
			t.Fatalf("continues at %q of %q, %v", c.target.ID, c.target.Software, err)
		}
	}
	r.tried = append(r.tried, "b")
	if c, err := r.decide(); err == nil {
		t.Errorf("no target of the version is left, and the response continues at %q", c.target.ID)
	}
}
