package forward

import (
	"os"
	"testing"

	"github.com/threadwall/threadwall/internal/clock"
)

// TestMain lets tests in virtual time also control package clock.
func TestMain(m *testing.M) {
	clock.UseVirtualTime()
	os.Exit(m.Run())
}
