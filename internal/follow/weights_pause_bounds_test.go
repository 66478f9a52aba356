package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestProofAfterPauseNarrowsDate reads a version after a pause, and before it a response that was sent after the pause and lacks it: it was declared after that.
func TestProofAfterPauseNarrowsDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := pausedVM(t, &version, 2800*time.Millisecond)
		w.Clock = &Clock{}
		sent := clock.Now()
		w.Clock.record(At{Revision: 5, Sent: sent})
		time.Sleep(100 * time.Millisecond)
		w.Changed([]objectapi.Object{{Version: 6}}, At{Revision: 6, Sent: sent})
		if age := w.Since("m", clock.Now()); age != 100*time.Millisecond {
			t.Errorf("%v old, want 100ms", age)
		}
	})
}

// TestReportThatWaitedLeavesEstimate reads after a pause an old report on a version that this VM has listed before: the estimate stays one, and peers are told nothing.
func TestReportThatWaitedLeavesEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(2)
		w := &Weights{Decode: decoder(&version), Pauses: &clock.Pauses{}}
		w.SetWithin(11 * time.Second)
		go w.Pauses.Run(t.Context())
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now()}, false)
		time.Sleep(time.Second)
		left, _ := w.Left("m", "1", clock.Now())
		const pause = 2800 * time.Millisecond
		clock.Skip(pause)
		defer clock.Skip(-pause)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 72 * time.Millisecond}, clock.Now())
		if now, _ := w.Left("m", "1", clock.Now()); now != left-pause {
			t.Errorf("%v left, want %v", now, left-pause)
		}
		if told := w.Recent(clock.Now()); len(told) != 0 {
			t.Errorf("peers are told %v as exact", told)
		}
	})
}
