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

// TestLeft declares two versions one after the other: the remaining time of old weights counts from
// the first version that is newer.
func TestLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{}, false)
		declare := func(v uint64) {
			version = v
			w.Changed([]objectapi.Object{{}}, At{})
		}
		declare(2)
		time.Sleep(4 * time.Second)
		declare(3)
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
			t.Errorf("5 s later: %v, want %v: bounds that are over are merged into the last of them", bounds, want)
		}
		if left, behind := w.Left("other", "1", time.Now()); left != 0 || behind {
			t.Errorf("a model without declared versions: %v left, behind %v; want 0s, false", left, behind)
		}
	})
}

// TestAgeFromPeers starts a VM 6 s after version 2 was declared: the age that a peer reports
// overrides this VM's estimate. VMs do not report ages that are estimates.
func TestAgeFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 9 * time.Second
		version := uint64(1)
		decode := func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: version}, nil }
		peer, starting := &Weights{Decode: decode}, &Weights{Decode: decode}
		peer.SetWithin(within)
		peer.Listed([]objectapi.Object{{}}, At{}, false)
		if reported := peer.Recent(time.Now()); len(reported) != 0 {
			t.Fatalf("reported %v, want nothing: the age is an estimate", reported)
		}
		version = 2
		peer.Changed([]objectapi.Object{{}}, At{})
		time.Sleep(6 * time.Second)
		starting.SetWithin(within)
		starting.Listed([]objectapi.Object{{}}, At{}, false)
		want := []VersionAge{{Model: "m", Version: 2, Age: 6 * time.Second}}
		if reported := peer.Recent(time.Now()); !slices.Equal(reported, want) {
			t.Fatalf("reported %v, want %v", reported, want)
		}
		if left, _ := starting.Left("m", "1", time.Now()); left != 2700*time.Millisecond {
			t.Fatalf("%v left by this VM's estimate, want 2.7s", left)
		}
		starting.ApplyPeerAge(want[0], time.Now())
		if left, _ := starting.Left("m", "1", time.Now()); left != 3*time.Second {
			t.Fatalf("%v left, want 3s", left)
		}
		starting.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: time.Second}, time.Now())
		if left, _ := starting.Left("m", "1", time.Now()); left != 3*time.Second {
			t.Fatalf("%v left after a peer reported a smaller age, want 3s", left)
		}
	})
}

// TestVersionFromPeers reports a new version to a VM whose watch of the store is unresponsive: the
// time of old weights counts from the declaration of that version.
func TestVersionFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &Weights{Decode: func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: 1}, nil }}
		w.SetWithin(9 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{}, false)
		time.Sleep(time.Minute)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 3, Age: time.Second}, time.Now())
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: 4 * time.Second}, time.Now())
		if newest := w.Newest("m"); newest != "1" {
			t.Errorf("the newest is %q, want 1: the store has returned no other", newest)
		}
		if left, behind := w.Left("m", "1", time.Now()); left != 5*time.Second || !behind {
			t.Errorf("%v left to version 1, behind %v; want 5s, true", left, behind)
		}
		if left, behind := w.Left("m", "2", time.Now()); left != 8*time.Second || !behind {
			t.Errorf("%v left to version 2, behind %v; want 8s, true", left, behind)
		}
	})
}

// TestVersionDeclaredDuringOutage lists the store again after a watch became unresponsive: a version
// that is new in the list counts as declared when the last answered call was sent.
func TestVersionDeclaredDuringOutage(t *testing.T) {
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
		if reported := w.Recent(time.Now()); len(reported) != 0 {
			t.Errorf("reported %v, want nothing: the age is an estimate", reported)
		}
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 2, Age: time.Second}, time.Now())
		if left, _ := w.Left("m", "1", time.Now()); left != 8*time.Second {
			t.Errorf("%v left, want 8s after a peer's report", left)
		}
	})
}

// TestClockNarrowsEstimate has responses for another key space prove that a version did not exist
// yet while this one's watch was unresponsive. Based on the last response for this key space
// alone, a version that was 1 s old counted as 8 s old, and all engines were updated at once.
func TestClockNarrowsEstimate(t *testing.T) {
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
			t.Errorf("%v left, want 7s: version 2 did not exist 2 s ago", left)
		}
	})
}

// decoder returns a Decode function that decodes every object as version *v of model m.
func decoder(v *uint64) func([]byte) (DesiredWeights, error) {
	return func([]byte) (DesiredWeights, error) { return DesiredWeights{Model: "m", Version: *v}, nil }
}

// TestClockBefore checks the bound that responses set for the age of a revision.
func TestClockBefore(t *testing.T) {
	t0 := time.Now()
	at := func(rev objectapi.Revision, seconds time.Duration) At {
		return At{Revision: rev, Sent: t0.Add(seconds * time.Second), Answered: t0.Add(time.Hour)}
	}
	c := &Clock{}
	h := c.Wrap(noHandler{})
	if got := c.Before(5); !got.IsZero() {
		t.Errorf("%v without any response, want zero", got)
	}
	h.Listed(nil, at(10, 1), false)
	h.Unchanged(at(20, 2))
	h.Unchanged(at(0, 4)) // a store that returns no revision
	for rev, want := range map[objectapi.Revision]time.Time{5: {}, 10: {}, 11: t0.Add(time.Second), 20: t0.Add(time.Second), 21: t0.Add(2 * time.Second), 30: t0.Add(2 * time.Second)} {
		if got := c.Before(rev); !got.Equal(want) {
			t.Errorf("revision %d: %v, want %v", rev, got.Sub(t0), want.Sub(t0))
		}
	}
	h.Unchanged(at(22, 1)) // from a peer, older than the recorded responses
	if got := c.Before(30); !got.Equal(t0.Add(2 * time.Second)) {
		t.Errorf("an older response replaced a newer one: %v, want 2s", got.Sub(t0))
	}
	var none *Clock
	if got := none.Before(5); !got.IsZero() {
		t.Errorf("without a clock: %v, want zero", got)
	}
}

// TestListDoesNotDateItsOwnVersions lists a version whose revision is above that of the list, as one
// of several pages may have: the list does not bound the age of that version.
func TestListDoesNotDateItsOwnVersions(t *testing.T) {
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

// TestFirstListIsEstimated starts a VM that reads another key space shortly before it reads the
// weights: the versions of its first list may still be old.
func TestFirstListIsEstimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Clock: &Clock{}, Decode: decoder(&version)}
		w.SetWithin(10 * time.Second)
		w.Clock.Wrap(noHandler{}).Listed(nil, At{Revision: 5, Sent: time.Now()}, false)
		time.Sleep(time.Second)
		w.Listed([]objectapi.Object{{Version: 10}}, At{Revision: 10, Sent: time.Now()}, false)
		if left, _ := w.Left("m", "", time.Now()); left != 2*time.Second {
			t.Errorf("%v left, want 2s: 3s from the start", left)
		}
	})
}

// TestChangeUpdatesProvenTime lists the store again after a change: versions that are new in the list
// count from the time at which the call that returned the change was sent.
func TestChangeUpdatesProvenTime(t *testing.T) {
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

// TestDeclarationTimesAreMonotonic receives a newer version with a greater age than recorded for the
// versions before it: these were declared earlier, and it bounds them all.
func TestDeclarationTimesAreMonotonic(t *testing.T) {
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

// TestAgesReportedByPeers checks which reports of peers are applied and reported further: one that
// makes a version older, and one that replaces an estimate.
func TestAgesReportedByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Decode: decoder(&version)}
		w.SetWithin(10 * time.Second)
		w.Listed([]objectapi.Object{{}}, At{Sent: time.Now()}, false) // taken to be 7 s old
		age := func(after string, want time.Duration, reported int) {
			t.Helper()
			if got := w.Since("m", time.Now()); got != want || len(w.Recent(time.Now())) != reported {
				t.Errorf("%s: %v old and reported %v; want %v, %d", after, got, w.Recent(time.Now()), want, reported)
			}
		}
		age("an estimate", 7*time.Second, 0)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 1, Age: 2 * time.Second}, time.Now())
		age("a smaller age", 2*time.Second, 1)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 1, Age: time.Second}, time.Now())
		age("a still smaller age", 2*time.Second, 1)
		w.ApplyPeerAge(VersionAge{Model: "m", Version: 1, Age: 4 * time.Second}, time.Now())
		age("a greater age", 4*time.Second, 1)
		w.ApplyPeerAge(VersionAge{Model: "other", Version: 1, Age: 9 * time.Second}, time.Now())
		age("a report on another model, which the store has not returned", 4*time.Second, 1)
		time.Sleep(16 * time.Second)
		age("twice the limit", 20*time.Second, 0)
	})
}

// TestManyVersions declares more versions than are kept: the newest ones are kept.
func TestManyVersions(t *testing.T) {
	version := uint64(1)
	w := &Weights{Decode: decoder(&version)}
	w.SetWithin(9 * time.Second)
	w.Listed(nil, At{Sent: time.Now()}, false)
	for ; version <= 3*maxVersions; version++ {
		w.Changed([]objectapi.Object{{}}, At{Answered: time.Now()})
	}
	if kept := len(w.models["m"]); kept != maxVersions || w.Newest("m") != FormatVersion(3*maxVersions) {
		t.Errorf("%d versions are kept, the newest is %s; want maxVersions and 3*maxVersions", kept, w.Newest("m"))
	}
}

// TestWeightsWrittenAgainAfterDrill has a version declared that only the store knows when it is lost, and
// written again after the store's return. It counts from when this VM last knew all versions, so
// that older weights are not used for longer than allowed. A version that is declared once operators have
// written again what was lost counts from then.
func TestWeightsWrittenAgainAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		version := uint64(1)
		w := &Weights{Clock: &Clock{}, Decode: decoder(&version), SettleTime: 2 * time.Second}
		h := w.Clock.Wrap(w)
		w.SetWithin(10 * time.Second)
		h.Listed([]objectapi.Object{{Version: 10}}, At{Revision: 10, Sent: time.Now()}, false)
		time.Sleep(time.Minute)
		h.Unchanged(At{Revision: 40, Sent: time.Now()})
		time.Sleep(3 * time.Second) // the version is declared, and the store lost
		era, since := objectapi.StartOf(1), time.Now()
		h.Listed([]objectapi.Object{{Version: era + 10}}, At{Revision: era + 30, Sent: since, EraSince: since}, true)
		time.Sleep(time.Second)
		version = 2
		h.Changed([]objectapi.Object{{Version: era + 31}}, At{Revision: era + 31, Sent: since, EraSince: since})
		if got := w.Since("m", time.Now()); got != 4*time.Second {
			t.Errorf("the version written again is %v old, want 4s: all were known until then", got)
		}
		time.Sleep(2 * time.Second)
		version = 3
		h.Changed([]objectapi.Object{{Version: era + 32}}, At{Revision: era + 32, Sent: time.Now(), EraSince: since})
		if got := w.Since("m", time.Now()); got != 0 {
			t.Errorf("the version declared later is %v old, want 0", got)
		}
	})
}

// TestListOfNewEraIsNotDatedByOldOne checks that responses of an earlier era do not narrow the age of a
// version in the list of a new one: the version may have had a lower number there.
func TestListOfNewEraIsNotDatedByOldOne(t *testing.T) {
	var c Clock
	c.record(At{Revision: 30, Sent: time.Unix(100, 0)})
	if got := c.Before(objectapi.StartOf(1) + 20); !got.IsZero() {
		t.Errorf("an object of a new era did not exist at %v because of an earlier era", got)
	}
	c.record(At{Revision: objectapi.StartOf(1) + 10, Sent: time.Unix(200, 0)})
	if got := c.Before(objectapi.StartOf(1) + 20); got != time.Unix(200, 0) {
		t.Errorf("got %v, want the time of the response of its era", got)
	}
}
