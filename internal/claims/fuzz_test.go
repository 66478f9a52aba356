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

// try is one caller's try of one call through one VM, as the oracle sees it.
type try struct {
	key   string
	dead  atomic.Bool // the VM died: nothing it would do later happens
	ran   bool        // this try dispatched, and the target ran the call
	told  outcome.Outcome
	heard bool // the caller got an answer
}

// model runs tries against the real ledger with a store whose every call's order
// and fate is drawn.
type model struct {
	mu       sync.Mutex // of runs and of the fields of tries
	store    *storetest.Store
	runs     map[string]int
	tries    []*try
	weather  storetest.Weather
	deaths   bool
	maxTries int
}

// start begins a try in a goroutine, as a VM's request handler would. end draws
// what becomes of the dispatch.
func (m *model) start(vm int, key string, end outcome.Outcome) *try {
	x := &try{key: key}
	store := m.store.As(len(m.tries))
	m.tries = append(m.tries, x)
	settler := NewSettler(store)
	l := NewLedger(store, ids.VM(fmt.Sprint("vm", vm)), settler, nil)
	go func() {
		ctx := context.Background()
		defer drainSettler(ctx, settler, x)
		held, err := l.Claim(ctx, Call{Workspace: "w", Key: key, BodyHash: "h", Deadline: time.Now().Add(time.Hour)})
		if x.dead.Load() {
			return
		}
		if err != nil {
			m.refused(x, err)
			return
		}
		if end != outcome.NotRun { // an unknown end may have run: the worst case
			m.locked(func() { m.runs[key]++; x.ran = true })
		}
		l.Settle(ctx, held, end, &Response{})
		if !x.dead.Load() {
			m.locked(func() { x.told, x.heard = end, true })
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
		x.told, x.heard = outcome.Of(err).Outcome, true
		var ran *AlreadyRan
		if errors.As(err, &ran) {
			x.told = outcome.Ran
		}
	})
}

// drainSettler settles what is left, as the VM's settler duty would.
func drainSettler(ctx context.Context, s *Settler, x *try) {
	for s.Pending() > 0 && !x.dead.Load() {
		if item := <-s.ring.Out(); s.settle(ctx, item) != nil {
			s.put(item)
		}
	}
}

// TestAtMostOnce draws tries of few keys through several VMs, and for every call
// at the store its order and fate, with VMs that die between any two calls, and
// late writes that land at any time.
func TestAtMostOnce(t *testing.T) {
	storetest.Check(t, func(rt *rapid.T) {
		m := &model{store: storetest.New(), runs: map[string]int{}}
		defer m.store.Drain()
		m.weather = storetest.DrawWeather(rt)
		m.maxTries = rapid.SampledFrom([]int{1, 2, 3, 20}).Draw(rt, "tries")
		m.deaths = rapid.Bool().Draw(rt, "deaths")
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
		if m.deaths && len(m.tries) > 0 {
			m.tries[rapid.IntRange(0, len(m.tries)-1).Draw(rt, "dies")].dead.Store(true)
		}
	case 4, 5:
		if n := m.store.Late(); n > 0 {
			m.store.Land(rapid.IntRange(0, n-1).Draw(rt, "lands"))
		}
	case 6, 7:
		time.Sleep(time.Second) // read-backs pause before they go on
	default:
		if len(waiting) > 0 {
			c := waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "call")]
			m.store.Decide(c, m.weather.Draw(rt))
		}
	}
}

// check holds what must be true at every moment.
func (m *model) check(rt *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, n := range m.runs {
		if n > 1 {
			rt.Fatalf("call %s ran %d times", key, n)
		}
	}
	for i, x := range m.tries {
		if x.heard && x.told == outcome.NotRun && x.ran {
			rt.Fatalf("try %d of %s was told not-run and ran", i, x.key)
		}
		if x.heard && x.told == outcome.Ran && m.runs[x.key] == 0 {
			rt.Fatalf("try %d of %s was told that it ran, and it did not", i, x.key)
		}
	}
}

// finish checks, with the store healthy again and all settled, that a key which
// never ran can still be used unless a VM died with it: a refused call is not lost.
func (m *model) finish(rt *rapid.T) {
	open := map[string]bool{}
	for _, x := range m.tries {
		if x.dead.Load() {
			open[x.key] = true
		}
	}
	for _, key := range []string{"a", "b"} {
		before := m.runs[key]
		last := m.start(9, key, outcome.Ran)
		m.store.Drain()
		m.check(rt)
		if before == 0 && !open[key] && !last.ran {
			rt.Fatalf("key %s never ran and no try of it is open, and yet it was told %v", key, last.told)
		}
	}
}
