package mirror

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestGraceIsNotRenewedByPeer guards against a wait for expired entries that begins anew at each VM that
// reads the list from another one (docs/incidents/requests-after-entry-removed.md). A VM gets the list 1.5 s after
// its peer has regained the store: it waits for a missing entry for what is left of the two seconds.
func TestGraceIsNotRenewedByPeer(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	replicas := &follow.Replicas{
		Fleet:  fleet.New(membership.New("vm1", membership.DefaultTuning), cacheview.New(64, nil), loadview.New(), routing.NewFetching(), nil),
		Decode: decodeRecord, OnGone: func(ids.Target) {}, ReturnGrace: grace, Heartbeat: time.Second,
	}
	upstream := &Space{Prefix: "p/", Next: &testVM{}, Notifier: &Notifier{}}
	reader := &Space{Prefix: "p/", Next: replicas, Notifier: &Notifier{}}
	c := &client{spaces: []*Space{reader}, have: make([]position, 1), partials: make([]partialCopy, 1)}
	read := func() {
		u, ok := upstream.since(c.have[0])
		if !ok {
			t.Fatal("the peer has no copy")
		}
		now := clock.Now()
		p := part("p/", &u, now)
		if len(p.Packed) > 0 {
			var err error
			if p.Objects, err = unpack(p.Packed); err != nil {
				t.Fatal(err)
			}
		}
		c.apply(0, p, now)
	}
	upstream.Listed([]objectapi.Object{entry("e1", 1), entry("e2", 2)}, atNow(5), false)
	read()
	upstream.Listed([]objectapi.Object{entry("e2", 2)}, atNow(9), true)
	regained := clock.Now()
	time.Sleep(1500 * time.Millisecond)
	read()
	if len(replicas.Records()) != 2 {
		t.Errorf("%d replicas are used, want 2: one whose entry may have expired in the outage was dropped at once", len(replicas.Records()))
	}
	time.Sleep(time.Until(regained.Add(grace + 100*time.Millisecond)))
	replicas.Sweep()
	if len(replicas.Records()) != 1 {
		t.Error("a replica whose entry is missing is still used after the grace of the peer's outage")
	}
}

func atNow(rev objectapi.Revision) follow.At {
	return follow.At{Revision: rev, Sent: clock.Now(), Answered: clock.Now()}
}

func entry(id string, rev objectapi.Revision) objectapi.Object {
	value, err := json.Marshal(platform.Record{ID: id, Role: platform.RoleService, FailureDomain: "z", Addr: "10.0.0.1:80", Incarnation: 1, State: platform.StateLive, Service: "s", Slots: 4})
	if err != nil {
		panic(err)
	}
	return objectapi.Object{Key: "p/" + id, Value: value, Version: rev}
}

func decodeRecord(o objectapi.Object) (platform.Record, error) {
	var r platform.Record
	err := json.Unmarshal(o.Value, &r)
	r.Key = o.Key
	return r, err
}
