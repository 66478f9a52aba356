package objectapi_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/threadwall/threadwall/internal/lab"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// casInput is one resolved conditional write, or a read if value is empty.
type casInput struct {
	version objectapi.Revision
	value   string
}

// casOutput is the result that the caller of a casInput observed.
type casOutput struct {
	ok      bool
	unclear bool
	version objectapi.Revision
	value   string
}

type register struct {
	version objectapi.Revision
	value   string
}

// model is a register with conditional writes. A write whose outcome is unclear may or may not
// have taken effect.
var model = porcupine.NondeterministicModel{
	Init: func() []interface{} { return []interface{}{register{version: 1, value: "start"}} },
	Step: func(state, input, output interface{}) []interface{} {
		s, in, out := state.(register), input.(casInput), output.(casOutput)
		if in.value == "" {
			if out.version == s.version && out.value == s.value {
				return []interface{}{s}
			}
			return nil
		}
		fits := s.version == in.version
		next := register{version: out.version, value: in.value}
		switch {
		case out.unclear && fits:
			return []interface{}{s, register{version: s.version + 1, value: in.value}}
		case out.unclear || !out.ok && !fits:
			return []interface{}{s}
		case out.ok && fits && out.version == s.version+1:
			return []interface{}{next}
		}
		return nil
	},
	Equal: func(a, b interface{}) bool { return a == b },
}

// TestResolvedWritesAreLinearizable checks that the outcomes of conditional writes, under lost
// responses and lost writes, are those of one register.
func TestResolvedWritesAreLinearizable(t *testing.T) {
	memory := objectapi.NewMemory()
	if _, err := memory.Create(t.Context(), "k", []byte("start")); err != nil {
		t.Fatal(err)
	}
	store := lab.NewFaultyStore(memory)
	store.SetFaults(lab.StoreFaults{LostResponse: 0.4, LostWrite: 0.2})
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	start := time.Now()
	for client := range 5 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(7, uint64(client)))
			for i := range 25 {
				op := porcupine.Operation{ClientId: client}
				read, err := store.Get(t.Context(), "k")
				if err != nil {
					t.Error(err)
					return
				}
				in := casInput{}
				if r.IntN(4) > 0 {
					in = casInput{version: read.Version, value: fmt.Sprintf("%d-%d", client, i)}
				}
				op.Call = time.Since(start).Nanoseconds()
				out := resolveInput(t, store, in)
				op.Input, op.Output, op.Return = in, out, time.Since(start).Nanoseconds()
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if !porcupine.CheckOperations(model.ToModel(), history) {
		t.Fatal("the history is not linearizable")
	}
}

func resolveInput(t *testing.T, s objectapi.Store, in casInput) casOutput {
	if in.value == "" {
		o, err := s.Get(t.Context(), "k")
		if err != nil {
			t.Error(err)
		}
		return casOutput{ok: true, version: o.Version, value: string(o.Value)}
	}
	mine := func(b []byte) bool { return string(b) == in.value }
	o, err := objectapi.ResolveUpdate(t.Context(), s, "k", []byte(in.value), in.version, mine)
	switch {
	case err == nil:
		return casOutput{ok: true, version: o.Version, value: in.value}
	case errors.Is(err, objectapi.ErrAmbiguous), errors.Is(err, objectapi.ErrOverwritten):
		return casOutput{unclear: true}
	case errors.Is(err, objectapi.ErrConflict):
		return casOutput{}
	default:
		t.Error(err)
		return casOutput{}
	}
}

// overwritingStore is a store whose first update takes effect, loses its response, and is
// overwritten by another writer before it can be read back.
type overwritingStore struct {
	*objectapi.Memory
	done bool
}

// Update implements objectapi.Store.
func (o *overwritingStore) Update(ctx context.Context, key string, value []byte, v objectapi.Revision) (objectapi.Revision, error) {
	if o.done {
		return o.Memory.Update(ctx, key, value, v)
	}
	o.done = true
	mine, err := o.Memory.Update(ctx, key, value, v)
	if err != nil {
		return 0, err
	}
	if _, err := o.Memory.Update(ctx, key, []byte("another's"), mine); err != nil {
		return 0, err
	}
	return 0, objectapi.ErrAmbiguous
}

// TestOverwrittenWrite checks that a write that took effect and was overwritten before its
// read-back is not reported as one that did not take effect.
func TestOverwrittenWrite(t *testing.T) {
	s := &overwritingStore{Memory: objectapi.NewMemory()}
	v, err := s.Create(t.Context(), "k", []byte("start"))
	if err != nil {
		t.Fatal(err)
	}
	mine := func(b []byte) bool { return string(b) == "mine" }
	o, err := objectapi.ResolveUpdate(t.Context(), s, "k", []byte("mine"), v, mine)
	if !errors.Is(err, objectapi.ErrOverwritten) || !errors.Is(err, objectapi.ErrConflict) || string(o.Value) != "another's" {
		t.Fatalf("got value %q, error %v; want another's, ErrConflict joined with ErrOverwritten", o.Value, err)
	}
}
