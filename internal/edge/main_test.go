package edge

import (
	"os"
	"testing"

	"github.com/threadwall/threadwall/internal/clock"
)

// TestMain has the tests in virtual time govern the clock of trust, too.
func TestMain(m *testing.M) {
	clock.UseVirtualTime()
	os.Exit(m.Run())
}
