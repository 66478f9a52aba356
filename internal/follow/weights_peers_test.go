package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestProvenTimeIsSendTime delays a response with a change by 3 s; another version is declared in
// that time, and the watch breaks. The response proves the state only as of the time at which the
// call was sent.
func TestProvenTimeIsSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
		sent := time.Now()
		version = 2
		time.Sleep(3 * time.Second) // the response with version 2 takes 3 s; version 3 is declared after 1 s
		declared3 := sent.Add(time.Second)
		w.Changed([]objectapi.Object{{}}, At{Sent: sent, Answered: time.Now()})
		version = 3
		time.Sleep(time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, true)
		if left, _ := w.Left("m", "2", time.Now()); left > 9*time.Second-time.Since(declared3) {
			t.Errorf("%v left to version 2, want at most %v", left, 9*time.Second-time.Since(declared3))
		}
	})
}

// TestOnlyStoreDeclaresVersions applies a peer's report of a version that was never declared: it never
// becomes the newest version, and bounds the others only for peerVersionTTL.
func TestOnlyStoreDeclaresVersions(t *testing.T) {
	w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: 2}, nil }}
	w.SetWithin(9 * time.Second)
	w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
	w.ApplyPeerAge(VersionAge{Model: "m", Version: 1 << 40, Age: time.Minute}, time.Now())
	w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
	if n := w.Newest("m"); n != "2" {
		t.Errorf("the newest version is %s, want 2 as in the store", n)
	}
	for after, want := range map[time.Duration]bool{0: true, peerVersionTTL: false} {
		now := time.Now().Add(after)
		_, behind := w.Left("m", "2", now)
		newest, _, bounds := w.Wanted("m", now)
		if behind != want || newest != "2" || (len(bounds) == 1 && bounds[0].OlderThan == 1<<40) != want {
			t.Errorf("%v later: behind %v, newest %s, bounds %v; want behind, with a bound for 1<<40, only until peerVersionTTL, and newest 2", after, behind, newest, bounds)
		}
	}
}
