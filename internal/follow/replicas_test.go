package follow

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/prefix"
	"github.com/threadwall/threadwall/internal/routing"
)

// newReplicas returns Replicas whose entries are records encoded as JSON, and the targets passed to
// OnGone.
func newReplicas(t *testing.T) (*Replicas, *[]ids.Target) {
	t.Helper()
	tuning := membership.DefaultTuning
	tuning.Grace, tuning.SlowStart = time.Hour, 0
	gone := &[]ids.Target{}
	return &Replicas{
		Fleet: fleet.New(membership.New("vm0", tuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), nil),
		Decode: func(o objectapi.Object) (platform.Record, error) {
			var r platform.Record
			err := json.Unmarshal(o.Value, &r)
			r.Key = o.Key
			return r, err
		},
		OnGone: func(id ids.Target) { *gone = append(*gone, id) },
	}, gone
}

func entryOf(r platform.Record) objectapi.Object {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return objectapi.Object{Key: "servers/" + r.ID, Value: value}
}

func engineOf(id string, incarnation ids.Incarnation, state platform.State) platform.Record {
	return platform.Record{
		ID: id, Role: platform.RoleEngine, FailureDomain: "z", Addr: "10.0.0.1:80", Incarnation: incarnation, State: state,
		Model: "m", Weights: "3", Service: "s", Slots: 24,
	}
}

func (r *Replicas) find(id string) *platform.Record {
	all := r.Records()
	if i := slices.IndexFunc(all, func(p platform.Record) bool { return p.ID == id }); i >= 0 {
		return &all[i]
	}
	return nil
}

// TestRestartEndsDrain drains a replica that then restarts under its id: it takes work, and no
// state of the previous incarnation is left.
func TestRestartEndsDrain(t *testing.T) {
	for name, restart := range map[string]func(r *Replicas){
		"by its entry": func(r *Replicas) {
			r.Changed([]objectapi.Object{entryOf(engineOf("e1", 200, platform.StateLive))}, At{})
		},
		"in a new list": func(r *Replicas) {
			r.Listed([]objectapi.Object{entryOf(engineOf("e1", 200, platform.StateLive))}, At{}, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, gone := newReplicas(t)
			members, now := r.Fleet.Members, time.Now()
			r.Listed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLive))}, At{}, false)
			r.Fleet.Refresh()
			r.Fleet.Cache.Add("e1", cacheview.GenerationOf(100, "3"), []prefix.Level{{ID: 7}})
			members.Failed("e1", now)
			members.Busy("e1", now.Add(time.Hour))
			members.SuspectUntil("e1", now.Add(time.Hour))
			r.Changed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving))}, At{})
			if got := members.State("e1", time.Now()); got != routing.Leaving {
				t.Fatalf("the replica is %s while it drains, want leaving", got)
			}
			restart(r)
			r.Fleet.Refresh()
			if got := members.State("e1", time.Now()); got != routing.Live {
				t.Errorf("the replica is %s after its restart, want live", got)
			}
			if got := r.find("e1"); got == nil || got.State != platform.StateLive {
				t.Errorf("got record %+v, want live", got)
			}
			if !slices.Equal(*gone, []ids.Target{"e1"}) {
				t.Errorf("OnGone was called for %v, want e1 once", *gone)
			}
			if r.Fleet.Cache.Has("e1", 7) {
				t.Error("a cache view entry of the previous incarnation is left")
			}
			r.Changed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving))}, At{})
			if got := members.State("e1", time.Now()); got != routing.Live {
				t.Errorf("the replica is %s after a late entry of the previous incarnation, want live", got)
			}
		})
	}
}

// TestUnreadableEntryDisablesReplica overwrites the entry of a replica with an unreadable value and
// adds a thousand more unreadable entries: the replica gets no work until its own entry is
// written again, and is then still leaving as before; the other replica is unaffected.
func TestUnreadableEntryDisablesReplica(t *testing.T) {
	unreadable := []objectapi.Object{{Key: "servers/e1", Value: []byte(`"bytes of somebody`)}}
	for i := range 1000 {
		unreadable = append(unreadable, objectapi.Object{Key: fmt.Sprint("servers/x", i), Value: []byte{0xff, 0}})
	}
	own := []objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLeaving)), entryOf(engineOf("e2", 100, platform.StateLive))}
	for name, write := range map[string]func(r *Replicas){
		"a change":   func(r *Replicas) { r.Changed(unreadable, At{}) },
		"a new list": func(r *Replicas) { r.Listed(append(slices.Clone(unreadable), own[1]), At{}, false) },
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newReplicas(t)
			r.Listed(own, At{}, false)
			write(r)
			if got := r.Records(); len(got) != 1 || got[0].ID != "e2" {
				t.Fatalf("got records %v, want only e2", got)
			}
			if got := r.Fleet.Members.State("e1", time.Now()); got > routing.Leaving {
				t.Errorf("the replica is %s although its entry is unreadable", got)
			}
			if got := r.Fleet.Members.State("e2", time.Now()); got != routing.Live {
				t.Errorf("the other replica is %s, want live", got)
			}
			r.Changed([]objectapi.Object{entryOf(engineOf("e1", 100, platform.StateLive))}, At{})
			if got := r.Fleet.Members.State("e1", time.Now()); got != routing.Leaving {
				t.Errorf("the replica is %s, want leaving as before", got)
			}
		})
	}
}
