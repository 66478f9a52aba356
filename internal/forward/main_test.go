package forward

import (
	"os"
	"testing"

	"github.com/threadwall/threadwall/internal/clock"
)

// TestMain makes package clock follow the virtual time of package testing/synctest.
func TestMain(m *testing.M) {
	clock.UseVirtualTime()
	os.Exit(m.Run())
}
