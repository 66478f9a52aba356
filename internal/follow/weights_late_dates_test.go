package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestDisprovedReportLeavesEstimate has a peer report a version as new that this VM has known for 1.9 s: the report is wrong, so the estimate stays and peers are told nothing.
func TestDisprovedReportLeavesEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(11 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now()}, false)
		time.Sleep(3800 * time.Millisecond)
		version = 2 // declared at any time in these 3.8 s
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now()}, true)
		time.Sleep(1900 * time.Millisecond)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 0}, clock.Now())
		if left, _ := w.Left("m", "1", clock.Now()); left > 5300*time.Millisecond {
			t.Errorf("%v left to version 1, want at most 5.3s", left)
		}
		if told := w.Recent(clock.Now()); len(told) != 0 {
			t.Errorf("peers are told %v as exact", told)
		}
	})
}

// TestRelayedChangeIsAsOldAsPeersProof receives a version from a peer that had answered 0.1 s before, with a copy that was proven complete 1.1 s before.
func TestRelayedChangeIsAsOldAsPeersProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(11 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now(), Relayed: true}, false)
		time.Sleep(2 * time.Second)
		proven := clock.Now()
		time.Sleep(time.Second)
		w.Unchanged(At{Sent: proven, Answered: proven, Relayed: true})
		time.Sleep(100 * time.Millisecond)
		version = 2 // declared at any time since proven: the peer reads the store through another one, which stood still
		w.Changed([]objectapi.Object{{}}, At{Sent: clock.Now(), Answered: clock.Now(), Relayed: true})
		if left, _ := w.Left("m", "1", clock.Now()); left > 9900*time.Millisecond {
			t.Errorf("%v left to version 1, want at most 9.9s", left)
		}
	})
}

// TestRewrittenVersionReadAfterSettleTime reads after a pause a version that was written again, in the new era, during the pause and the settle time.
func TestRewrittenVersionReadAfterSettleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version), Pauses: &clock.Pauses{}, SettleTime: 2 * time.Second}
		w.SetWithin(11 * time.Second)
		go w.Pauses.Run(t.Context())
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now()}, false)
		proven := clock.Now()
		time.Sleep(5 * time.Second) // the store has lost its writes of these 5 s
		since := clock.Now()
		w.Listed([]objectapi.Object{{}}, At{Revision: objectapi.Revision(1) << 48, Sent: since, EraSince: since}, true)
		if w.era == 0 {
			t.Fatal("the revision is of no new era")
		}
		time.Sleep(time.Second)
		const pause = 3 * time.Second
		clock.Skip(pause)
		defer clock.Skip(-pause)
		version = 2
		w.Changed([]objectapi.Object{{}}, At{Revision: objectapi.Revision(1)<<48 + 1, Sent: since, EraSince: since})
		if age := w.Since("m", clock.Now()); age < clock.Since(proven) {
			t.Errorf("%v old, may be %v", age, clock.Since(proven))
		}
	})
}

// TestRewrittenVersionInSecondList lists, in the settle time of a new era, a version that was declared before the store lost it.
func TestRewrittenVersionInSecondList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version), SettleTime: 2 * time.Second}
		w.SetWithin(11 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now()}, false)
		proven := clock.Now()
		time.Sleep(5 * time.Second)
		since := clock.Now()
		w.Listed([]objectapi.Object{{}}, At{Revision: objectapi.Revision(1) << 48, Sent: since, EraSince: since}, true)
		time.Sleep(time.Second)
		version = 2
		w.Listed([]objectapi.Object{{}}, At{Revision: objectapi.Revision(1)<<48 + 1, Sent: clock.Now(), EraSince: since}, true)
		if age := w.Since("m", clock.Now()); age < clock.Since(proven) {
			t.Errorf("%v old, may be %v", age, clock.Since(proven))
		}
	})
}
