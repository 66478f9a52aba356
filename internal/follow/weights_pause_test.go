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

// TestRelayedChangeMayHaveWaitedAtPeer receives a version from a peer that answered 0.7 s before: it may have been declared right after that.
func TestRelayedChangeMayHaveWaitedAtPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(11 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: clock.Now(), Relayed: true}, false)
		answered := clock.Now()
		time.Sleep(700 * time.Millisecond)
		version = 2
		w.Changed([]objectapi.Object{{}}, At{Sent: answered, Answered: clock.Now(), Relayed: true, PeerAnswered: answered})
		if left, _ := w.Left("m", "1", clock.Now()); left != 10300*time.Millisecond {
			t.Errorf("%v left, want 10.3s", left)
		}
		if told := w.Recent(clock.Now()); len(told) != 0 {
			t.Errorf("peers are told %v", told)
		}
	})
}
