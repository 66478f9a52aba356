package dispatch

import (
	"os"
	"testing"

	"github.com/threadwall/threadwall/internal/clock"
)

// TestMain makes package clock follow the virtual time of synctest bubbles.
func TestMain(m *testing.M) {
	clock.UseVirtualTime()
	os.Exit(m.Run())
}
