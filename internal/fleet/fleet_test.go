package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/cacheview"
	"github.com/threadwall/threadwall/internal/loadview"
	"github.com/threadwall/threadwall/internal/membership"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestSnapshotNeverGoesBack lets a duty refresh without pause while targets are
// added: a snapshot that was asked for after an addition must show it, though a
// refresh that began before ends later. Calls were refused for want of replicas
// right after a VM was ready (soak seeds 1 and 3).
func TestSnapshotNeverGoesBack(t *testing.T) {
	f := New(membership.New("vm", membership.DefaultTuning), cacheview.New(1024, nil), loadview.New(), routing.NewFetching(), nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					f.Refresh()
				}
			}
		})
	}
	defer wg.Wait()
	defer close(stop)
	var records []platform.Record
	for n := range 300 {
		records = append(records, platform.Record{ID: fmt.Sprint("t", n), Role: platform.RoleService, Service: "svc", Incarnation: 1})
		f.Members.Platform(records, time.Now())
		f.MarkDirty()
		for range 3 {
			if got := len(f.Snapshot().View.Targets); got != len(records) {
				t.Fatalf("the snapshot has %d targets, want %d", got, len(records))
			}
		}
	}
}
