package hangup

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestHangupAtStart sends the signal before anything reads it; the signal must be kept until
// then. It guards against a daemon that installed its handler only after it had read its settings,
// 8 to 10 ms after the process started: a SIGHUP for changed settings in that time terminated a
// restarted VM without a log line (soak, seed 221).
func TestHangupAtStart(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-Signals():
	case <-time.After(5 * time.Second):
		t.Fatal("no signal received within 5 s, want the SIGHUP sent before")
	}
}
