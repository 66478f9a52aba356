package settings

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse runs testdata/parse: what settings files are taken, and what is said
// of those that are not.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		s, err := Parse([]byte(d.Input))
		if err != nil {
			return fmt.Sprintln("error:", err)
		}
		return fmt.Sprintf("vm %s, heartbeat %v, idle %v, policy %s\n", s.VM, s.Heartbeat.D(), s.IdleTimeout.D(), s.Policy)
	})
}
