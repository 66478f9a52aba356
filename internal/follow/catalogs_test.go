package follow

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/objectapi"
)

const settleTime = 2 * time.Second

// newCatalogs returns Catalogs whose objects hold the number of their version, with version 19 in
// force, written at 60, and proven.
func newCatalogs() *Catalogs {
	c := &Catalogs{Current: &catalog.Current{}, Key: "config/main", SettleTime: settleTime, Decode: func(value []byte) (catalog.Declaration, error) {
		v, err := strconv.ParseUint(string(value), 10, 64)
		return catalog.Declaration{Version: v}, err
	}}
	c.Listed(configAt(19, 60), At{Revision: 63, Sent: time.Now()}, false)
	return c
}

func configAt(version int, rev objectapi.Revision) []objectapi.Object {
	return []objectapi.Object{{Key: "config/main", Value: []byte(strconv.Itoa(version)), Version: rev}}
}

// TestProofAfterDrill has the store come back from a copy. What it answers proves the configuration in
// force only from when operators have written it in the new era, or had the time to.
func TestProofAfterDrill(t *testing.T) {
	const era = objectapi.Revision(1) << 48
	for name, tc := range map[string]struct {
		listed  []objectapi.Object // the first list of the new era
		changed []objectapi.Object // a change, a second after it
		version uint64             // in force afterwards
		// proven says after which of the two the configuration is proven.
		provenListed, provenChanged bool
	}{
		"the copy has an earlier version": {listed: configAt(15, era+52), version: 19},
		"it is written again later":       {listed: configAt(15, era+52), changed: configAt(19, era+56), version: 19, provenChanged: true},
		"a newer one is written later":    {listed: configAt(15, era+52), changed: configAt(21, era+56), version: 21, provenChanged: true},
		"an earlier one is written later": {listed: configAt(13, era+52), changed: configAt(15, era+56), version: 19},
		"the copy has the version":        {listed: configAt(19, era+60), version: 19},
		"it was written again":            {listed: configAt(19, era+55), version: 19, provenListed: true, provenChanged: true},
		"the copy may have a newer one":   {listed: configAt(21, era+64), version: 21},
		"the copy has none":               {version: 19},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCatalogs()
				time.Sleep(10 * time.Second)
				since := time.Now()
				at := func() At { return At{Revision: era + 70, Sent: time.Now(), EraSince: since} }
				proven := func() bool { return c.Current.ProofAge(time.Now()) == 0 }
				c.Listed(tc.listed, at(), true)
				if got := proven(); got != tc.provenListed {
					t.Errorf("proven by the first list: %v, want %v", got, tc.provenListed)
				}
				time.Sleep(time.Second)
				if tc.changed != nil {
					c.Changed(tc.changed, at())
				} else {
					c.Unchanged(at())
				}
				if got := proven(); got != tc.provenChanged {
					t.Errorf("proven a second later: %v, want %v", got, tc.provenChanged)
				}
				if got := c.Current.Get().Version; got != tc.version {
					t.Errorf("version %d is in force, want %d", got, tc.version)
				}
				time.Sleep(time.Second)
				if c.Unchanged(at()); !proven() {
					t.Errorf("not proven %v after the store's return", settleTime)
				}
			})
		})
	}
}

// TestWaitEndsWithProof checks that a watch in a new era does not wait beyond the time from which its
// answers prove the configuration: calls with keys are refused until then.
func TestWaitEndsWithProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCatalogs()
		if got := c.Wait(time.Minute); got != time.Minute {
			t.Errorf("a watch waits for %v, want a minute", got)
		}
		era, since := objectapi.StartOf(1), time.Now()
		c.Listed(configAt(19, era+60), At{Revision: era + 70, Sent: since, EraSince: since}, true)
		if got := c.Wait(time.Minute); got != settleTime {
			t.Errorf("a watch waits for %v, want %v", got, settleTime)
		}
		time.Sleep(settleTime)
		if got := c.Wait(time.Minute); got != 0 {
			t.Errorf("the watch that brings the proof waits for %v, want 0", got)
		}
		c.Unchanged(At{Revision: era + 70, Sent: time.Now(), EraSince: since})
		if got := c.Wait(time.Minute); got != time.Minute {
			t.Errorf("a watch waits for %v after the proof, want a minute", got)
		}
	})
}

// TestProofAfterTwoDrills has the store come back from one copy twice. In between the configuration is
// written again; the second time the copy has it with the number of its first write, which proves
// nothing.
func TestProofAfterTwoDrills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCatalogs()
		listed := func(era objectapi.Era, number objectapi.Revision) {
			time.Sleep(10 * time.Second)
			start := objectapi.StartOf(era)
			c.Listed(configAt(19, start+number), At{Revision: start + 70, Sent: time.Now(), EraSince: time.Now()}, true)
		}
		listed(1, 55)
		if c.Current.ProofAge(time.Now()) != 0 {
			t.Error("not proven although it was written again")
		}
		listed(2, 60)
		if c.Current.ProofAge(time.Now()) == 0 {
			t.Error("proven by the copy")
		}
	})
}
