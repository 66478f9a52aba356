package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestParse runs testdata/parse: which settings files are accepted, and the errors of those that
// are not.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input))
		if err != nil {
			return fmt.Sprintln("error:", err)
		}
		return fmt.Sprintf("vm %s, heartbeat %v, idle %v, policy %s\n", s.VM, s.Heartbeat.D(), s.IdleTimeout.D(), s.Policy)
	})
}

// TestWeightsAllWithin checks the default of WeightsAllWithin and that it may equal
// WeightsWithin.
func TestWeightsAllWithin(t *testing.T) {
	for edge, want := range map[string]time.Duration{
		``:                         14 * time.Second,
		`, "weights_within": "5s"`: 7 * time.Second,
		`, "weights_within": "5s", "weights_all_within": "5s"`: 5 * time.Second,
	} {
		s, err := Parse([]byte(`{"vm": "v1", "failure_domain": "fd", "listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "admin_listen": "127.0.0.1:3",
			"store": "http://127.0.0.1:4", "edge": {"ready_listen": "127.0.0.1:5"` + edge + `}}`))
		if err != nil {
			t.Errorf("%s: %v", edge, err)
			continue
		}
		if got := s.Edge.WeightsAllWithin.D(); got != want {
			t.Errorf("%s: got %v, want %v", edge, got, want)
		}
	}
}
