package edge

import (
	"io"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/settings"
)

// TestVMsSampleDifferentTargets checks that VMs that start at the same time do not sample the same
// targets, as they would if all seeds started at one.
func TestVMsSampleDifferentTargets(t *testing.T) {
	seen := map[uint64]bool{}
	for _, vm := range []ids.VM{"vm1", "vm2", "vm3"} {
		d, err := New(settings.Settings{VM: vm, Edge: &settings.Edge{}}, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		if seed := d.Fleet.Seed(); seen[seed] {
			t.Fatalf("two VMs start with the seed %d", seed)
		} else {
			seen[seed] = true
		}
		d.Log.Close()
	}
}
