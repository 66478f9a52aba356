package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// try is one caller's try of a call through one VM, as the oracle sees it.
type try struct {
	key       string
	crashed   atomic.Bool // the VM crashed and does nothing more
	ran       bool        // this try dispatched, and the target ran the call
	reported  outcome.Outcome
	responded bool // the caller got a response
}

// model runs tries against the real ledger, with a store for which the test chooses
// the order and outcome of every call.
type model struct {
	mu       sync.Mutex // guards runs and the fields of tries
	store    *storetest.Store
	runs     map[string]int
	tries    []*try
	faults   storetest.FaultProfile
	crashes  bool
	maxTries int
}

// start begins a try in a goroutine, as a VM's request handler would. end is
// the outcome of the dispatch.
func (m *model) start(vm int, key string, end outcome.Outcome) *try {
	x := &try{key: key}
	store := m.store.ForActor(len(m.tries))
	m.tries = append(m.tries, x)
	settler := NewSettler(store)
	l := NewLedger(store, ids.VM(fmt.Sprint("vm", vm)), settler, nil)
	go func() {
		ctx := context.Background()
		defer drainSettler(ctx, settler, x)
		held, err := l.Claim(ctx, Call{Workspace: "w", Key: key, BodyHash: "h", Deadline: time.Now().Add(time.Hour)})
		if x.crashed.Load() {
			return
		}
		if err != nil {
			m.refused(x, err)
			return
		}
		if end != outcome.NotRun { // an unknown outcome counts as run, which is the worst case
			m.locked(func() { m.runs[key]++; x.ran = true })
		}
		l.Settle(ctx, held, end, &Response{})
		if !x.crashed.Load() {
			m.locked(func() { x.reported, x.responded = end, true })
		}
	}()
	return x
}

func (m *model) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *model) refused(x *try, err error) {
	m.locked(func() {
		x.reported, x.responded = outcome.Of(err).Outcome, true
		var ran *AlreadyRan
		if errors.As(err, &ran) {
			x.reported = outcome.Ran
		}
	})
}

// drainSettler writes the pending settlements, as Settler.Run does on a VM.
func drainSettler(ctx context.Context, s *Settler, x *try) {
	for s.Pending() > 0 && !x.crashed.Load() {
		if item := <-s.ring.Out(); s.settle(ctx, item) != nil {
			s.put(item)
		}
	}
}

// TestAtMostOnce generates tries of few keys through several VMs, and the order and
// outcome of every store call, with VMs that crash between any two calls and late writes
// that take effect at any time.
func TestAtMostOnce(t *testing.T) {
	storetest.Check(t, func(rt *rapid.T) {
		m := &model{store: storetest.New(), runs: map[string]int{}}
		defer m.store.Drain()
		m.faults = storetest.DrawFaultProfile(rt)
		m.maxTries = rapid.SampledFrom([]int{1, 2, 3, 20}).Draw(rt, "tries")
		m.crashes = rapid.Bool().Draw(rt, "crashes")
		steps := rapid.IntRange(10, 120).Draw(rt, "steps")
		for range steps {
			m.step(rt)
			synctest.Wait()
			m.check(rt)
		}
		m.store.Drain()
		m.check(rt)
		m.finish(rt)
	})
}

func (m *model) step(rt *rapid.T) {
	waiting := m.store.Waiting()
	switch rapid.IntRange(0, 19).Draw(rt, "action") {
	case 0, 1, 2:
		if len(m.tries) >= m.maxTries {
			return
		}
		end := rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.Ran, outcome.NotRun, outcome.Unknown}).Draw(rt, "end")
		m.start(rapid.IntRange(0, 2).Draw(rt, "vm"), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"), end)
	case 3:
		if m.crashes && len(m.tries) > 0 {
			m.tries[rapid.IntRange(0, len(m.tries)-1).Draw(rt, "crash")].crashed.Store(true)
		}
	case 4, 5:
		if n := m.store.DelayedWrites(); n > 0 {
			m.store.ApplyDelayed(rapid.IntRange(0, n-1).Draw(rt, "lands"))
		}
	case 6, 7:
		time.Sleep(time.Second) // lets the backoff between repeated writes pass
	default:
		if len(waiting) > 0 {
			c := waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "call")]
			m.store.Resolve(c, m.faults.Draw(rt))
		}
	}
}

// check verifies the invariants that hold at every moment.
func (m *model) check(rt *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, n := range m.runs {
		if n > 1 {
			rt.Fatalf("call %s ran %d times, want at most once", key, n)
		}
	}
	for i, x := range m.tries {
		if x.responded && x.reported == outcome.NotRun && x.ran {
			rt.Fatalf("try %d of %s reported not-run and ran", i, x.key)
		}
		if x.responded && x.reported == outcome.Ran && m.runs[x.key] == 0 {
			rt.Fatalf("try %d of %s reported ran and did not run", i, x.key)
		}
	}
}

// finish checks, with a healthy store and all claims settled, that a key whose call
// never ran can still be used unless a VM crashed during a try: a refused call is not lost.
func (m *model) finish(rt *rapid.T) {
	crashed := map[string]bool{}
	for _, x := range m.tries {
		if x.crashed.Load() {
			crashed[x.key] = true
		}
	}
	for _, key := range []string{"a", "b"} {
		before := m.runs[key]
		last := m.start(9, key, outcome.Ran)
		m.store.Drain()
		m.check(rt)
		if before == 0 && !crashed[key] && !last.ran {
			rt.Fatalf("the call with key %s never ran and no VM crashed during a try, but a new try got %v, want ran", key, last.reported)
		}
	}
}
