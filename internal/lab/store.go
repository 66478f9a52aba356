package lab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// FaultyStore wraps a store and injects faults of the platform: outages, delays, lost writes, and
// responses lost after the write took effect. It also counts calls. Safe for concurrent use.
type FaultyStore struct {
	objectapi.Store

	mu     sync.Mutex
	faults StoreFaults
	calls  StoreCalls
}

// StoreFaults are the faults injected into a store. The zero value is a healthy store.
type StoreFaults struct {
	Down         bool    `json:"down"`
	LostResponse float64 `json:"lost_answer"` // probability per write that succeeds without a response
	LostWrite    float64 `json:"lost_write"`  // probability per write that fails without effect
	DelayMS      int     `json:"delay_ms"`    // added to each call
}

// StoreCalls counts calls by kind.
type StoreCalls struct{ Reads, Writes, Watches int }

var _ objectapi.Store = (*FaultyStore)(nil)

// NewFaultyStore wraps a store. Until SetFaults is called it injects no faults.
func NewFaultyStore(s objectapi.Store) *FaultyStore { return &FaultyStore{Store: s} }

// SetFaults replaces the injected faults.
func (f *FaultyStore) SetFaults(faults StoreFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Calls returns the number of calls so far.
func (f *FaultyStore) Calls() StoreCalls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// begin counts a call in count, waits for the configured delay and returns the faults to inject.
func (f *FaultyStore) begin(count *int) StoreFaults {
	f.mu.Lock()
	*count++
	faults := f.faults
	f.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	return faults
}

// Get implements objectapi.Store.
func (f *FaultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if f.begin(&f.calls.Reads).Down {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return f.Store.Get(ctx, key)
}

// List implements objectapi.Store.
func (f *FaultyStore) List(ctx context.Context, prefix string) ([]objectapi.Object, objectapi.Revision, error) {
	if f.begin(&f.calls.Reads).Down {
		return nil, 0, objectapi.ErrUnavailable
	}
	return f.Store.List(ctx, prefix)
}

// Watch implements objectapi.Store.
func (f *FaultyStore) Watch(ctx context.Context, prefix string, after objectapi.Revision) ([]objectapi.Object, objectapi.Revision, error) {
	if f.begin(&f.calls.Watches).Down {
		return nil, 0, objectapi.ErrUnavailable
	}
	return f.Store.Watch(ctx, prefix, after)
}

// Create implements objectapi.Store.
func (f *FaultyStore) Create(ctx context.Context, key string, value []byte) (objectapi.Revision, error) {
	return f.write(func() (objectapi.Revision, error) { return f.Store.Create(ctx, key, value) })
}

// Update implements objectapi.Store.
func (f *FaultyStore) Update(ctx context.Context, key string, value []byte, version objectapi.Revision) (objectapi.Revision, error) {
	return f.write(func() (objectapi.Revision, error) { return f.Store.Update(ctx, key, value, version) })
}

// Delete implements objectapi.Store.
func (f *FaultyStore) Delete(ctx context.Context, key string, version objectapi.Revision) error {
	_, err := f.write(func() (objectapi.Revision, error) { return 0, f.Store.Delete(ctx, key, version) })
	return err
}

func (f *FaultyStore) write(do func() (objectapi.Revision, error)) (objectapi.Revision, error) {
	faults := f.begin(&f.calls.Writes)
	if faults.Down {
		return 0, objectapi.ErrUnavailable
	}
	if rand.Float64() < faults.LostWrite {
		return 0, objectapi.ErrAmbiguous
	}
	rev, err := do()
	if rand.Float64() < faults.LostResponse {
		return 0, objectapi.ErrAmbiguous
	}
	return rev, err
}

// Handler serves the store, its call counts and requests that set its faults.
func (f *FaultyStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", objectapi.Handler(f))
	mux.HandleFunc("POST /lab/trouble", func(w http.ResponseWriter, r *http.Request) {
		var faults StoreFaults
		if decode(w, r, &faults) {
			f.SetFaults(faults)
		}
	})
	mux.HandleFunc("GET /lab/calls", func(w http.ResponseWriter, _ *http.Request) { encode(w, f.Calls()) })
	return mux
}
