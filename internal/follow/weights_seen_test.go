package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestPeerDoesNotMakeVersionYoungerThanKnown has a peer report a version as new that this VM has listed 1.9 s before.
func TestPeerDoesNotMakeVersionYoungerThanKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(11 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
		time.Sleep(3800 * time.Millisecond)
		version = 2
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, true)
		time.Sleep(1900 * time.Millisecond)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 0}, time.Now())
		if left, _ := w.Left("m", "1", time.Now()); left > 11*time.Second-1900*time.Millisecond {
			t.Errorf("%v left to version 1, want at most 9.1s", left)
		}
	})
}
