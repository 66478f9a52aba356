package lab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// FaultyStore wraps a store and injects faults of the platform: outages, delay, and responses
// lost after the write took effect. Safe for concurrent use.
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
	DelayMS      int     `json:"delay_ms"`
}

// StoreCalls counts calls by kind.
type StoreCalls struct{ Reads, Writes, Watches int }

var _ objectapi.Store = (*FaultyStore)(nil)

// NewFaultyStore wraps a store without any faults.
func NewFaultyStore(s objectapi.Store) *FaultyStore { return &FaultyStore{Store: s} }

// SetFaults replaces the injected faults.
func (f *FaultyStore) SetFaults(t StoreFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = t
}

// Calls returns the number of calls so far.
func (f *FaultyStore) Calls() StoreCalls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *FaultyStore) begin(count *int) StoreFaults {
	f.mu.Lock()
	*count++
	t := f.faults
	f.mu.Unlock()
	time.Sleep(time.Duration(t.DelayMS) * time.Millisecond)
	return t
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
	t := f.begin(&f.calls.Writes)
	if t.Down {
		return 0, objectapi.ErrUnavailable
	}
	if rand.Float64() < t.LostWrite {
		return 0, objectapi.ErrAmbiguous
	}
	rev, err := do()
	if rand.Float64() < t.LostResponse {
		return 0, objectapi.ErrAmbiguous
	}
	return rev, err
}

// Handler serves the store, its call counts and requests that set its faults.
func (f *FaultyStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", objectapi.Handler(f))
	mux.HandleFunc("POST /lab/trouble", func(w http.ResponseWriter, r *http.Request) {
		var t StoreFaults
		if decode(w, r, &t) {
			f.SetFaults(t)
		}
	})
	mux.HandleFunc("GET /lab/calls", func(w http.ResponseWriter, _ *http.Request) { encode(w, f.Calls()) })
	return mux
}
