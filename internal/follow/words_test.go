package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestProvenByTheQuestion lets a change's answer be 3 s under way; a version is named
// meanwhile, and the watch is lost. What the answer proves counts from its question.
func TestProvenByTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
		sent := time.Now()
		version = 2
		time.Sleep(3 * time.Second) // version 2 answered at once, on the way for 3 s; version 3 named 1 s in
		named3 := sent.Add(time.Second)
		w.Changed([]objectapi.Object{{}}, At{Sent: sent, Answered: time.Now()})
		version = 3
		time.Sleep(time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, true)
		if left, _ := w.Left("m", "2", time.Now()); left > 9*time.Second-time.Since(named3) {
			t.Errorf("%v left to version 2, and %v in truth", left, 9*time.Second-time.Since(named3))
		}
	})
}

// TestOnlyTheStoreNames takes in a peer's word of a version that nobody ever named: it is
// never wanted, and bounds the others for a short while only.
func TestOnlyTheStoreNames(t *testing.T) {
	w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: 2}, nil }}
	w.SetWithin(9 * time.Second)
	w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
	w.ApplyPeerAge(VersionAge{Model: "m", Version: 1 << 40, Age: time.Minute}, time.Now())
	w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
	if n := w.Newest("m"); n != "2" {
		t.Errorf("the newest is %s, the store says 2", n)
	}
	for after, want := range map[time.Duration]bool{0: true, rumorFor: false} {
		now := time.Now().Add(after)
		_, behind := w.Left("m", "2", now)
		newest, _, bounds := w.Wanted("m", now)
		if behind != want || newest != "2" || (len(bounds) == 1 && bounds[0].OlderThan == 1<<40) != want {
			t.Errorf("%v later: behind %v, newest %s, bounds %v", after, behind, newest, bounds)
		}
	}
}
