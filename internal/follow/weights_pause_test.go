package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// pausedVM returns the weights of a VM that knows version 1, runs for 10 s and then pauses.
func pausedVM(t *testing.T, version *uint64, pause time.Duration) *Weights {
	t.Helper()
	w := &Weights{Decode: decoder(version), Pauses: &clock.Pauses{}}
	w.SetWithin(11 * time.Second)
	go w.Pauses.Run(t.Context())
	w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now()}, false)
	time.Sleep(10 * time.Second)
	clock.Skip(pause)
	t.Cleanup(func() { clock.Skip(-pause) })
	*version = 2
	return w
}

// TestChangeDuringPauseIsNotReportedAsExact reads a version that was declared during a pause: its age is a bound, and peers are not told it.
func TestChangeDuringPauseIsNotReportedAsExact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := pausedVM(t, &version, 2800*time.Millisecond)
		w.Changed([]objectapi.Object{{}}, At{Sent: clock.Now().Add(-4 * time.Second), Answered: clock.Now()})
		if age := w.Since("m", clock.Now()); age < 2800*time.Millisecond || age > 3*time.Second {
			t.Errorf("%v old, want the pause and up to 0.2s", age)
		}
		if told := w.Recent(clock.Now()); len(told) != 0 {
			t.Errorf("peers are told %v", told)
		}
	})
}

// TestReportThatWaitedDuringPause reads a peer's report that waited during a pause: the version is no younger than that, and a fresh report corrects it.
func TestReportThatWaitedDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := pausedVM(t, &version, 2800*time.Millisecond)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 72 * time.Millisecond}, clock.Now())
		if left, _ := w.Left("m", "1", clock.Now()); left > 11*time.Second-2872*time.Millisecond {
			t.Errorf("%v left after a report that waited", left)
		}
		time.Sleep(2 * time.Second)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 4 * time.Second}, clock.Now())
		if left, _ := w.Left("m", "1", clock.Now()); left != 7*time.Second {
			t.Errorf("%v left after a fresh report, want 7s", left)
		}
	})
}

// TestChangeReadLateByTheOneReader reads a version in a process that is seconds behind without a pause: its latest proof of any key space is 3 s old, so the version may be.
func TestChangeReadLateByTheOneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		c := &Clock{}
		w := &Weights{Decode: decoder(&version), Pauses: &clock.Pauses{}, Clock: c, OneReader: func() bool { return true }}
		w.SetWithin(11 * time.Second)
		go w.Pauses.Run(t.Context())
		time.Sleep(time.Second)
		h := c.Wrap(w)
		h.Listed([]objectapi.Object{{Version: 1}}, At{Revision: 1, Sent: clock.Now()}, false)
		proven := clock.Now()
		time.Sleep(3 * time.Second)
		version = 2
		h.Changed([]objectapi.Object{{Version: 2}}, At{Revision: 2, Sent: proven, Answered: clock.Now()})
		if left, _ := w.Left("m", "1", clock.Now()); left > 8*time.Second {
			t.Errorf("%v left to version 1, want at most 8s", left)
		}
		if told := w.Recent(clock.Now()); len(told) != 0 {
			t.Errorf("peers are told %v as exact", told)
		}
	})
}
