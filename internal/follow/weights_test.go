package follow

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestLeft follows two versions that are named one after the other: the time that is
// left to old weights counts from the first version that is newer than they are.
func TestLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{}, false)
		name := func(v uint64) {
			version = v
			w.Changed([]objectapi.Object{{}}, At{})
		}
		name(2)
		time.Sleep(4 * time.Second)
		name(3)
		time.Sleep(time.Second)
		for _, c := range []struct {
			has    ids.WeightsVersion
			left   time.Duration
			behind bool
		}{{"1", 4 * time.Second, true}, {"2", 8 * time.Second, true}, {"3", 0, false}, {"4", 0, false}, {"", 2700*time.Millisecond - 5*time.Second, true}} {
			if left, behind := w.Left("m", c.has, time.Now()); left != c.left || behind != c.behind {
				t.Errorf("weights %q: %v left, behind %v; want %v, %v", c.has, left, behind, c.left, c.behind)
			}
		}
		want := []routing.WeightsBound{{OlderThan: 1, StartWithin: -2.3}, {OlderThan: 2, StartWithin: 4}, {OlderThan: 3, StartWithin: 8}}
		if newest, since, bounds := w.Wanted("m", time.Now()); newest != "3" || since != time.Second || !slices.Equal(bounds, want) {
			t.Errorf("wanted: %q since %v, %v; want %v", newest, since, bounds, want)
		}
		time.Sleep(5 * time.Second)
		want = []routing.WeightsBound{{OlderThan: 2, StartWithin: -1}, {OlderThan: 3, StartWithin: 3}}
		if _, _, bounds := w.Wanted("m", time.Now()); !slices.Equal(bounds, want) {
			t.Errorf("5 s later: %v, want %v: the last version that is too old says it for all before", bounds, want)
		}
		if left, behind := w.Left("other", "1", time.Now()); left != 0 || behind {
			t.Errorf("a model without names: %v left, behind %v", left, behind)
		}
	})
}

// TestAgeFromPeers starts a VM 6 s after version 2 was named: what a peer says of its age
// goes before this VM's guess, and is not told on by those who only guess.
func TestAgeFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 9 * time.Second
		version := uint64(1)
		decode := func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }
		peer, starting := &Weights{Decode: decode}, &Weights{Decode: decode}
		peer.SetWithin(within)
		starting.SetWithin(within)
		peer.Listed([]objectapi.Object{{}}, At{}, false)
		if told := peer.Recent(time.Now()); len(told) != 0 {
			t.Fatalf("told %v, which is a guess", told)
		}
		version = 2
		peer.Changed([]objectapi.Object{{}}, At{})
		time.Sleep(6 * time.Second)
		starting.Listed([]objectapi.Object{{}}, At{}, false)
		want := []VersionAge{{Model: "m", Version: 2, Age: 6 * time.Second}}
		if told := peer.Recent(time.Now()); !slices.Equal(told, want) {
			t.Fatalf("told %v, want %v", told, want)
		}
		if left, _ := starting.Left("m", "1", time.Now()); left != 2700*time.Millisecond {
			t.Fatalf("%v left by this VM's guess", left)
		}
		starting.ApplyPeerAge(want[0], time.Now())
		if left, _ := starting.Left("m", "1", time.Now()); left != 3*time.Second {
			t.Fatalf("%v left, want 3s", left)
		}
		starting.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: time.Second}, time.Now())
		if left, _ := starting.Left("m", "1", time.Now()); left != 3*time.Second {
			t.Fatalf("%v left after a peer that heard later", left)
		}
	})
}

// TestVersionFromPeers tells a VM whose watch of the store is silent of a version that
// was named meanwhile: old weights are bounded from its naming on.
func TestVersionFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: 1}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{}, false)
		time.Sleep(time.Minute)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 3, Age: time.Second}, time.Now())
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 4 * time.Second}, time.Now())
		if newest := w.Newest("m"); newest != "1" {
			t.Errorf("the newest is %q, which the store has not shown", newest)
		}
		if left, behind := w.Left("m", "1", time.Now()); left != 5*time.Second || !behind {
			t.Errorf("%v left to version 1, behind %v", left, behind)
		}
		if left, behind := w.Left("m", "2", time.Now()); left != 8*time.Second || !behind {
			t.Errorf("%v left to version 2, behind %v", left, behind)
		}
	})
}

// TestNamedWhileOutOfTouch lists the store anew after a watch has gone silent: a version
// that is new in the list counts from when this VM last knew everything.
func TestNamedWhileOutOfTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
		time.Sleep(time.Minute)
		w.Unchanged(At{Sent: time.Now()})
		time.Sleep(5 * time.Second)
		version = 2
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, true)
		if left, _ := w.Left("m", "1", time.Now()); left != 4*time.Second {
			t.Errorf("%v left, want 4s", left)
		}
		if told := w.Recent(time.Now()); len(told) != 0 {
			t.Errorf("told %v, which is a guess", told)
		}
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: time.Second}, time.Now())
		if left, _ := w.Left("m", "1", time.Now()); left != 8*time.Second {
			t.Errorf("%v left, want 8s after a peer's word", left)
		}
	})
}

// TestClockNarrowsTheGuess lets another key space's answers tell that a version was not
// there yet, while this one's watch was silent: taking the last answer of this space, a
// version that was 1 s old counted as 8 s old, and all engines were told at once.
func TestClockNarrowsTheGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Clock: &Clock{}, Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }}
		w.SetWithin(9 * time.Second)
		other := w.Clock.Wrap(noHandler{})
		w.Listed([]objectapi.Object{{Version: 10}}, At{Revision: 10, Sent: time.Now()}, false)
		time.Sleep(6 * time.Second)
		other.Unchanged(At{Revision: 20, Sent: time.Now()})
		time.Sleep(time.Second)
		version = 2
		other.Unchanged(At{Revision: 31, Sent: time.Now()}) // after the version, at revision 30
		time.Sleep(time.Second)
		w.Listed([]objectapi.Object{{Version: 30}}, At{Revision: 31, Sent: time.Now()}, true)
		if left, _ := w.Left("m", "1", time.Now()); left != 7*time.Second {
			t.Errorf("%v left, want 7s: version 2 was not there 2 s ago", left)
		}
	})
}

// decoder decodes every object as version *v of model m.
func decoder(v *uint64) func([]byte) (DesiredWeights, error) {
	return func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: *v}, nil }
}

// TestClockBefore checks what answers tell of since when a revision can be there.
func TestClockBefore(t *testing.T) {
	t0 := time.Now()
	at := func(rev objectapi.Revision, seconds time.Duration) At {
		return At{Revision: rev, Sent: t0.Add(seconds * time.Second), Answered: t0.Add(time.Hour)}
	}
	c := &Clock{}
	h := c.Wrap(noHandler{})
	if got := c.Before(5); !got.IsZero() {
		t.Errorf("nothing is known, and yet %v", got)
	}
	h.Listed(nil, at(10, 1), false)
	h.Unchanged(at(20, 2))
	h.Unchanged(at(0, 4)) // a store that tells no revision
	for rev, want := range map[objectapi.Revision]time.Time{5: {}, 10: {}, 11: t0.Add(time.Second), 20: t0.Add(time.Second), 21: t0.Add(2 * time.Second), 30: t0.Add(2 * time.Second)} {
		if got := c.Before(rev); !got.Equal(want) {
			t.Errorf("revision %d: %v, want %v", rev, got.Sub(t0), want.Sub(t0))
		}
	}
	h.Unchanged(at(22, 1)) // from a peer, older than what is known
	if got := c.Before(30); !got.Equal(t0.Add(2 * time.Second)) {
		t.Errorf("an older answer went before a newer one: %v", got.Sub(t0))
	}
	var none *Clock
	if got := none.Before(5); !got.IsZero() {
		t.Errorf("without a clock: %v", got)
	}
}

// TestListIsNotItsOwnProof lists a version whose revision is above that of the list, as
// one of several pages may: that list does not tell since when it is there.
func TestListIsNotItsOwnProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Clock: &Clock{}, Decode: decoder(&version)}
		w.SetWithin(9 * time.Second)
		h := w.Clock.Wrap(w)
		h.Listed([]objectapi.Object{{Version: 10}}, At{Revision: 10, Sent: time.Now()}, false)
		time.Sleep(3 * time.Second)
		version = 2
		h.Listed([]objectapi.Object{{Version: 31}}, At{Revision: 30, Sent: time.Now()}, true)
		if left, _ := w.Left("m", "1", time.Now()); left != 6*time.Second {
			t.Errorf("%v left, want 6s", left)
		}
	})
}

// TestFirstListIsAGuess starts a VM that has read another key space shortly before it
// reads the weights: what its first list brings may be old all the same.
func TestFirstListIsAGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Clock: &Clock{}, Decode: decoder(&version)}
		w.SetWithin(10 * time.Second)
		w.Clock.Wrap(noHandler{}).Listed(nil, At{Revision: 5, Sent: time.Now()}, false)
		time.Sleep(time.Second)
		w.Listed([]objectapi.Object{{Version: 10}}, At{Revision: 10, Sent: time.Now()}, false)
		if left, _ := w.Left("m", "", time.Now()); left != 3*time.Second {
			t.Errorf("%v left, want 3s", left)
		}
	})
}

// TestChangeIsAProof lists the store anew after a change had come: what is new in the list
// counts from the question that the change answered.
func TestChangeIsAProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
		time.Sleep(5 * time.Second)
		version = 2
		w.Changed([]objectapi.Object{{}}, At{Sent: time.Now().Add(-time.Second), Answered: time.Now()})
		time.Sleep(2 * time.Second)
		version = 3
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, true)
		if left, _ := w.Left("m", "2", time.Now()); left != 6*time.Second {
			t.Errorf("%v left to version 2, want 6s", left)
		}
	})
}

// TestOlderNeverNamedLater hears of a newer version that is older than what is known of
// the ones before it: these were named before it, and it bounds them all.
func TestOlderNeverNamedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false)
		time.Sleep(time.Minute)
		for version = 2; version <= 3; version++ {
			w.Changed([]objectapi.Object{{}}, At{Answered: time.Now()})
		}
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 3, Age: 5 * time.Second}, time.Now())
		if left, _ := w.Left("m", "1", time.Now()); left != 4*time.Second {
			t.Errorf("a known version: %v left, want 4s", left)
		}
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 4, Age: 6 * time.Second}, time.Now())
		if left, _ := w.Left("m", "1", time.Now()); left != 3*time.Second {
			t.Errorf("an unknown version: %v left, want 3s", left)
		}
	})
}

// TestWordsOfPeers checks which words of peers count, and are told on: one that makes a
// version older, or one in place of a guess, which is no guess then.
func TestWordsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(10 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false) // taken to be 7 s old
		age := func(after string, want time.Duration, told int) {
			t.Helper()
			if got := w.Since("m", time.Now()); got != want || len(w.Recent(time.Now())) != told {
				t.Errorf("%s: %v old and told %v; want %v, %d", after, got, w.Recent(time.Now()), want, told)
			}
		}
		age("a guess", 7*time.Second, 0)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 1, Age: 2 * time.Second}, time.Now())
		age("a younger word", 2*time.Second, 1)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 1, Age: time.Second}, time.Now())
		age("a still younger word", 2*time.Second, 1)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 1, Age: 4 * time.Second}, time.Now())
		age("an older word", 4*time.Second, 1)
		w.ApplyPeerAge(VersionAge{Model: "other", Version: 1, Age: 9 * time.Second}, time.Now())
		age("a word of another model, which the store has not shown", 4*time.Second, 1)
		time.Sleep(16 * time.Second)
		age("twice the time", 20*time.Second, 0)
	})
}

// TestManyVersions names more versions than are remembered: the newest ones are.
func TestManyVersions(t *testing.T) {
	version := uint64(1)
	w := &Weights{Decode: decoder(&version)}
	w.SetWithin(9 * time.Second)
	w.Listed(nil, At{Sent: time.Now()}, false)
	for ; version <= 3*keepVersions; version++ {
		w.Changed([]objectapi.Object{{}}, At{Answered: time.Now()})
	}
	if kept := len(w.models["m"]); kept != keepVersions || w.Newest("m") != FormatVersion(3*keepVersions) {
		t.Errorf("%d are kept, the newest is %s", kept, w.Newest("m"))
	}
}
