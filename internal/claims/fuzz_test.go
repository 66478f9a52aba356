package claims

import (
	"context"
	"errors"
	"fmt"
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
	key     string
	dead    bool // the VM died: nothing it would do later happens
	ran     bool // this try dispatched, and the target ran the call
	told    outcome.Outcome
	heard   bool // the caller got an answer
	already bool // it was told that the call ran before
}

// model runs tries against the real ledger with a store whose every call's order
// and fate is drawn.
type model struct {
	store  *storetest.Store
	runs   map[string]int
	tries  []*try
	paused chan struct{}
}

// start begins a try in a goroutine, as a VM's request handler would. end draws
// what becomes of the dispatch.
func (m *model) start(vm int, key string, end outcome.Outcome) *try {
	x := &try{key: key}
	m.tries = append(m.tries, x)
	settler := NewSettler(m.store)
	l := NewLedger(m.store, ids.VM(fmt.Sprint("vm", vm)), settler, nil)
	go func() {
		ctx := context.Background()
		held, err := l.Claim(ctx, Call{Workspace: "w", Key: key, BodyHash: "h", Deadline: time.Now().Add(time.Hour)})
		if x.dead {
			return
		}
		if err != nil {
			var ran *AlreadyRan
			if x.already = errors.As(err, &ran); x.already {
				x.told = outcome.Ran
			} else {
				x.told = outcome.Of(err).Outcome
			}
			x.heard = true
			drainSettler(ctx, settler, x)
			return
		}
		if end != outcome.NotRun { // an unknown end may have run: the worst case
			m.runs[key]++
			x.ran = true
		}
		l.Settle(ctx, held, end, &Answer{})
		if !x.dead {
			x.told, x.heard = end, true
		}
		drainSettler(ctx, settler, x)
	}()
	return x
}

// drainSettler settles what is left, as the VM's settler duty would.
func drainSettler(ctx context.Context, s *Settler, x *try) {
	for s.Pending() > 0 && !x.dead {
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
		steps := rapid.IntRange(5, 60).Draw(rt, "steps")
		for range steps {
			m.step(rt)
			synctest.Wait()
			m.check(rt)
		}
		for m.store.Late() > 0 {
			m.store.Land(0)
		}
		m.store.Free()
		time.Sleep(time.Hour) // all that is left runs out
		synctest.Wait()
		m.check(rt)
		m.finish(rt)
	})
}

func (m *model) step(rt *rapid.T) {
	waiting := m.store.Waiting()
	switch rapid.IntRange(0, 9).Draw(rt, "action") {
	case 0, 1, 2:
		end := rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.Ran, outcome.NotRun, outcome.Unknown}).Draw(rt, "end")
		m.start(rapid.IntRange(0, 2).Draw(rt, "vm"), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key"), end)
	case 3:
		if len(m.tries) > 0 {
			m.tries[rapid.IntRange(0, len(m.tries)-1).Draw(rt, "dies")].dead = true
		}
	case 4:
		if n := m.store.Late(); n > 0 {
			m.store.Land(rapid.IntRange(0, n-1).Draw(rt, "lands"))
		}
	case 5:
		time.Sleep(time.Second) // read-backs pause before they go on
	default:
		if len(waiting) > 0 {
			c := waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "call")]
			m.store.Decide(c, storetest.Fate(rapid.IntRange(0, int(storetest.FateCount)-1).Draw(rt, "fate")))
		}
	}
}

// check holds what must be true at every moment.
func (m *model) check(rt *rapid.T) {
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

// finish checks, with the store healthy again, that a key whose tries all ended
// and none of which was dispatched can still be used: a refused call is not lost.
func (m *model) finish(rt *rapid.T) {
	open := map[string]bool{}
	for _, x := range m.tries {
		if x.dead || x.heard && x.told == outcome.Unknown {
			open[x.key] = true
		}
	}
	for _, key := range []string{"a", "b"} {
		before := m.runs[key]
		last := m.start(9, key, outcome.Ran)
		time.Sleep(time.Hour)
		synctest.Wait()
		m.check(rt)
		if before == 0 && !open[key] && !last.ran {
			rt.Fatalf("key %s never ran and no try of it is open, and yet it was told %v", key, last.told)
		}
	}
}
