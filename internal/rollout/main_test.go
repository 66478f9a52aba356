package rollout

import (
	"os"
	"testing"

	"github.com/threadwall/threadwall/internal/clock"
)

// TestMain makes package clock follow the virtual time of the tests.
func TestMain(m *testing.M) {
	clock.UseVirtualTime()
	os.Exit(m.Run())
}
