package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// A VM that was started and told at once that its settings have changed was gone, without a
// line in its log: a daemon took SIGHUP only once its settings were read, 8 to 10 ms after the
// process began, and until then the signal ends a process. The soak found it: one start, a stop, and
// nothing after that in the log of a VM that had been started again (seed 221).

// TestHangupAtStart gets the signal before anything has asked for it. It is kept until then.
func TestHangupAtStart(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-Signals():
	case <-time.After(5 * time.Second):
		t.Fatal("the signal was lost")
	}
}
