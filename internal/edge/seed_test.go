package edge

import (
	"io"
	"testing"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/settings"
)

// TestVMsDrawApart checks that VMs which start at the same moment do not draw the same
// targets, as they would with seeds that all count from one.
func TestVMsDrawApart(t *testing.T) {
	seen := map[uint64]bool{}
	for _, vm := range []ids.VM{"vm1", "vm2", "vm3"} {
		d, err := New(settings.Settings{VM: vm, Edge: &settings.Edge{}}, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		if seed := d.Fleet.Seed(); seen[seed] {
			t.Fatalf("two VMs begin with the seed %d", seed)
		} else {
			seen[seed] = true
		}
		d.Log.Close()
	}
}
