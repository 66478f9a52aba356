package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
)

// atRevision returns an entry with a version.
func atRevision(o objectapi.Object, rev objectapi.Revision) objectapi.Object {
	o.Version = rev
	return o
}

// TestGoneReplicaInCopy has a replica go, and the store come back from a copy that has its entry. The
// replica is used again once it has written its entry or has restarted, or if its entry stays listed
// although the store has removed those of silent replicas.
func TestGoneReplicaInCopy(t *testing.T) {
	const heartbeat = time.Second
	era := objectapi.StartOf(1)
	live := entryOf(engineOf("e1", 100, platform.StateLive))
	for name, back := range map[string]func(r *Replicas){
		"writes its entry": func(r *Replicas) {
			r.Changed([]objectapi.Object{atRevision(live, era+21)}, At{Revision: era + 21})
		},
		"is listed with a later write": func(r *Replicas) {
			r.Listed([]objectapi.Object{atRevision(live, era+21)}, At{Revision: era + 30}, false)
		},
		"restarts": func(r *Replicas) {
			r.Listed([]objectapi.Object{atRevision(entryOf(engineOf("e1", 200, platform.StateLive)), era+9)}, At{Revision: era + 20}, false)
		},
		"stays listed": func(r *Replicas) {
			time.Sleep(silentHeartbeats * heartbeat)
			r.Sweep()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newReplicas(t)
				r.ReturnGrace, r.Heartbeat = 2*time.Second, heartbeat
				time.Sleep(time.Hour)
				r.Listed([]objectapi.Object{atRevision(live, 10)}, At{Revision: 30}, false)
				r.Changed([]objectapi.Object{{Key: live.Key, Version: 40, Deleted: true}}, At{Revision: 40})
				r.Listed([]objectapi.Object{atRevision(live, era+10)}, At{Revision: era + 20}, true)
				r.Sweep()
				if r.find("e1") != nil {
					t.Fatal("a replica that is gone is used because of the copy")
				}
				back(r)
				if r.find("e1") == nil {
					t.Error("the replica is not used again")
				}
			})
		})
	}
}

// TestGoneReplicaRemovedFromCopy checks that a replica whose restored entry is removed stays gone, whether
// the VM sees the removal or a list without the entry (soak with drills, seed 6008).
func TestGoneReplicaRemovedFromCopy(t *testing.T) {
	for name, removed := range map[string]func(r *Replicas, key string, rev objectapi.Revision){
		"a change": func(r *Replicas, key string, rev objectapi.Revision) {
			r.Changed([]objectapi.Object{{Key: key, Version: rev, Deleted: true}}, At{Revision: rev})
		},
		"a list": func(r *Replicas, _ string, rev objectapi.Revision) { r.Listed(nil, At{Revision: rev}, true) },
	} {
		t.Run(name, func(t *testing.T) { testGoneReplicaRemoved(t, removed) })
	}
}

func testGoneReplicaRemoved(t *testing.T, removed func(r *Replicas, key string, rev objectapi.Revision)) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newReplicas(t)
		r.ReturnGrace, r.Heartbeat = 2*time.Second, time.Second
		time.Sleep(time.Hour)
		era := objectapi.StartOf(1)
		live := entryOf(engineOf("e1", 100, platform.StateLive))
		r.Listed([]objectapi.Object{atRevision(live, 10)}, At{Revision: 30}, false)
		r.Changed([]objectapi.Object{{Key: live.Key, Version: 40, Deleted: true}}, At{Revision: 40})
		r.Listed([]objectapi.Object{atRevision(live, era+10)}, At{Revision: era + 20}, true)
		removed(r, live.Key, era+25)
		time.Sleep(time.Minute)
		r.Sweep()
		if r.find("e1") != nil {
			t.Error("the replica is used although its entry was removed again")
		}
		if n := len(r.restored.gone); n != 0 {
			t.Errorf("%d replicas are remembered as gone after a minute", n)
		}
	})
}

// TestWeightsInCopy has a replica load weights, and the store come back from a copy with its earlier
// ones. An entry that was written in the new era counts.
func TestWeightsInCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newReplicas(t)
		time.Sleep(time.Hour)
		era := objectapi.StartOf(1)
		with := func(weights string, rev objectapi.Revision) []objectapi.Object {
			rec := engineOf("e1", 100, platform.StateLive)
			rec.Weights = ids.WeightsVersion(weights)
			return []objectapi.Object{atRevision(entryOf(rec), rev)}
		}
		r.Listed(with("3", 10), At{Revision: 30}, false)
		r.Changed(with("12", 40), At{Revision: 40})
		time.Sleep(time.Minute)
		r.Listed(with("3", era+10), At{Revision: era + 20}, true)
		if got := r.find("e1").Weights; got != "12" {
			t.Errorf("weights %s after the drill, want 12 as before", got)
		}
		r.Changed(with("3", era+25), At{Revision: era + 25})
		if got := r.find("e1").Weights; got != "3" {
			t.Errorf("weights %s, want 3, which the replica has written since", got)
		}
	})
}
