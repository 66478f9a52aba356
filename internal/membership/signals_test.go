package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestLeavingIsKept keeps a target that said that it leaves out of use for the rest of its
// incarnation, whoever it told and whatever its entry says later. A new incarnation ends that.
func TestLeavingIsKept(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	list := func(table *Table, state platform.State, inc ids.Incarnation) routing.State {
		table.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, State: state, Incarnation: inc}}, now)
		return table.State("t", now)
	}
	for name, leave := range map[string]func(*Table){
		"answer":  func(table *Table) { table.ApplySignals("t", 2, Signals{Leaving: true}, now, now) },
		"refusal": func(table *Table) { table.MarkLeaving("t", 2) },
		"entry":   func(table *Table) { list(table, platform.StateLeaving, 2) },
	} {
		table := New("vm", DefaultTuning)
		list(table, platform.StateLive, 2)
		leave(table)
		if got := list(table, platform.StateLive, 2); got != routing.Leaving {
			t.Errorf("%s: the entry says ready, and the target is %v", name, got)
		}
		table.Remove("t")
		if got := list(table, platform.StateLive, 2); got != routing.Leaving {
			t.Errorf("%s: the entry was gone and is back, and the target is %v", name, got)
		}
		if got := list(table, platform.StateLive, 3); got == routing.Leaving {
			t.Errorf("%s: the target has started again and still counts as leaving", name)
		}
		table.ApplySignals("t", 2, Signals{Leaving: true}, now, now)
		if got := list(table, platform.StateLive, 3); got == routing.Leaving {
			t.Errorf("%s: an answer of the incarnation before counts", name)
		}
	}
}

// TestSignalsAreForgotten bounds what is kept of targets that are gone.
func TestSignalsAreForgotten(t *testing.T) {
	now, table := time.Unix(1_000_000, 0), New("vm", DefaultTuning)
	for i := range 10 * signalsKept {
		table.ApplySignals(ids.Target(fmt.Sprint("t", i)), 1, Signals{Leaving: true}, now, now)
		now = now.Add(signalsFor / signalsKept)
	}
	if n := len(table.signals); n > 2*signalsKept {
		t.Errorf("%d targets' signals are kept", n)
	}
}

// TestRest lets a target rest by the longest that it asked this VM for, beside what else is
// wrong with it. What ends an order's pause does not end it, and nor does its entry.
func TestRest(t *testing.T) {
	now, table := time.Unix(1_000_000, 0), New("vm", DefaultTuning)
	list := func() {
		table.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, State: platform.StateLive, Incarnation: 1}}, now)
	}
	left := func() time.Duration { return table.Targets(now)[0].Rest }
	list()
	for _, asked := range []time.Duration{3 * time.Second, time.Second} {
		table.ApplySignals("t", 1, Signals{Rest: asked}, now, now)
		now = now.Add(time.Second)
	}
	table.Ready("t")
	if got := left(); got != time.Second {
		t.Errorf("%v of the rest is left, want 1s", got)
	}
	table.Remove("t")
	if list(); left() != time.Second {
		t.Error("the rest has gone with the entry")
	}
	if now = now.Add(time.Second); left() != 0 {
		t.Error("the rest does not end")
	}
	table.ApplySignals("t", 1, Signals{Rest: time.Hour}, now, now)
	table.ApplyPlatform([]platform.Record{{ID: "t", Role: platform.RoleService, State: platform.StateLive, Incarnation: 2}}, now)
	if left() != 0 {
		t.Error("a target that has started again has the rest of the incarnation before")
	}
}
