package fleet

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestSnapshotShowsMarkedChanges blocks a refresh that was started for a new target and
// checks that a concurrent decision sees the target. Such a decision used to get the previous
// snapshot, so requests were refused for lack of replicas right after a VM became ready (soak
// seeds 1, 3 and 110).
func TestSnapshotShowsMarkedChanges(t *testing.T) {
	var hold atomic.Bool
	entered, release := make(chan struct{}), make(chan struct{})
	now := func() time.Time {
		if hold.CompareAndSwap(true, false) {
			close(entered)
			<-release
		}
		return time.Now()
	}
	f := New(membership.New("vm", membership.DefaultTuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), now)
	f.Members.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, Service: "svc", Incarnation: 1}}, time.Now())
	f.MarkDirty()
	hold.Store(true)
	go f.Refresh()
	<-entered
	got := make(chan int)
	go func() { got <- len(f.Snapshot().View.Targets) }()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	if n := <-got; n != 1 {
		t.Fatalf("the snapshot has %d targets, want 1", n)
	}
}
