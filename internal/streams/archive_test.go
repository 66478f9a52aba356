package streams

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// savingVM runs a VM without peers that saves its records, until the returned function is called.
func savingVM(t *testing.T, vm ids.VM, store objectapi.Store, needed bool) (*Directory, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	d, _ := alone()
	d.VM, d.Now, d.Collectors = vm, time.Now, func() []ids.VM { return []ids.VM{"vm0", "vm1"} }
	a := &Archive{
		VM: vm, Store: store, Directory: d,
		Needed: func() (needs, known bool) { return needed, true }, Loads: func() bool { return true }, Tidies: func() bool { return true },
	}
	go a.Run(ctx)
	time.Sleep(10 * time.Millisecond)
	return d, func() { cancel(); synctest.Wait() }
}

func idOf(i int) Key { return KeyOf("t1", "h", ids.Request(fmt.Sprint(i))) }

// beginAtRate begins n streams, one each pause, at versions in turn.
func beginAtRate(d *Directory, n int, pause time.Duration) {
	for i := range n {
		d.Begin(idOf(i), "llm", ids.SoftwareVersion(fmt.Sprint("v", i%2)))
		time.Sleep(pause)
	}
}

// countFound counts the streams that are found at their version, and fails for one at another.
func countFound(t *testing.T, d *Directory, n int) (found int) {
	t.Helper()
	for i := range n {
		v, r := d.Lookup(t.Context(), idOf(i), "llm")
		if r == Found && v != VersionOf("llm", ids.SoftwareVersion(fmt.Sprint("v", i%2))) {
			t.Errorf("stream %d is found at another version", i)
		}
		if r == Found {
			found++
		}
	}
	return found
}

// TestRecordsOutliveAllVMs guards against streams that nobody may take up since all VMs have forgotten where they began.
func TestRecordsOutliveAllVMs(t *testing.T) {
	const n, pause, lost = 3000, time.Millisecond, 250 // records may be lost that began within a save and its pause
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.NewMemory()
		d, kill := savingVM(t, "vm0", store, true)
		beginAtRate(d, n, pause)
		kill()
		_, kill = savingVM(t, "vm0", store, true) // it is killed again at once
		kill()
		for _, vm := range []ids.VM{"vm0", "vm1"} {
			d, kill := savingVM(t, vm, store, true)
			if found := countFound(t, d, n); found < n-lost {
				t.Errorf("%s found %d of %d", vm, found, n)
			}
			kill()
		}
	})
}

// TestSavedRecordsExpire checks that nothing is left in the store when the streams are over, also of VMs that are gone.
func TestSavedRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectapi.NewMemory()
		d, kill := savingVM(t, "vm0", store, true)
		beginAtRate(d, 3000, time.Millisecond)
		kill()
		_, kill = savingVM(t, "vm1", store, true)
		defer kill()
		time.Sleep(segmentTTL + 2*tidyEvery)
		if left, _, _ := store.List(t.Context(), ArchivePrefix); len(left) > 0 {
			t.Errorf("%d objects are left", len(left))
		}
	})
}

// countingStore counts writes, and is away when it is told so.
type countingStore struct {
	objectapi.Store
	writes, bytes atomic.Int64 // bytes of the largest one
	away          atomic.Bool
}

var errAway = errors.Join(objectapi.ErrUnavailable, errors.New("away"))

func (s *countingStore) count(value []byte) error {
	s.writes.Add(1)
	s.bytes.Store(max(s.bytes.Load(), int64(len(value))))
	if s.away.Load() {
		return errAway
	}
	return nil
}

func (s *countingStore) Create(ctx context.Context, key string, value []byte) (objectapi.Revision, error) {
	if err := s.count(value); err != nil {
		return 0, err
	}
	return s.Store.Create(ctx, key, value)
}

func (s *countingStore) Update(ctx context.Context, key string, value []byte, v objectapi.Revision) (objectapi.Revision, error) {
	if err := s.count(value); err != nil {
		return 0, err
	}
	return s.Store.Update(ctx, key, value, v)
}

// TestSavesAreBounded checks that a VM writes rarely and little at a time, whatever the rate of streams, and not at all
// while a service has one version.
func TestSavesAreBounded(t *testing.T) {
	const length, perSecond, maxBytes = 20 * time.Second, 5, 64 << 10
	for name, rate := range map[string]int{"few streams": 10, "many": 1900} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{Store: objectapi.NewMemory()}
				d, kill := savingVM(t, "vm0", store, true)
				defer kill()
				beginAtRate(d, int(length.Seconds())*rate, time.Second/time.Duration(rate))
				if most := int64(length.Seconds())*perSecond + 1; store.writes.Load() > most || store.bytes.Load() > maxBytes {
					t.Errorf("%d writes of up to %d bytes, want %d of %d", store.writes.Load(), store.bytes.Load(), most, maxBytes)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: objectapi.NewMemory()}
		d, kill := savingVM(t, "vm0", store, false)
		defer kill()
		d.Sole = func(uint64) Version { return VersionOf("llm", "v0") }
		for i := range 100 {
			d.Begin(idOf(i), "llm", "v0")
		}
		time.Sleep(time.Minute)
		if n := store.writes.Load(); n > 0 {
			t.Errorf("%d writes while there is one version", n)
		}
	})
}

// TestRecordsAreSavedAfterAnOutage checks that records of an outage of the store are saved when it is back.
func TestRecordsAreSavedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: objectapi.NewMemory()}
		store.away.Store(true)
		d, kill := savingVM(t, "vm0", store, true)
		beginAtRate(d, 1000, time.Millisecond)
		store.away.Store(false)
		time.Sleep(2 * failedPause)
		kill()
		d, kill = savingVM(t, "vm1", store, true)
		defer kill()
		if found := countFound(t, d, 1000); found < 1000 {
			t.Errorf("found %d of 1000", found)
		}
	})
}
