package canary

import (
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

func newGate() *Gate { return &Gate{Log: eventlog.New(io.Discard, nil)} }

// view has n targets of each version, all alive.
func view(n map[ids.SoftwareVersion]int) (*routing.View, func(int) routing.State) {
	v := &routing.View{}
	for version, k := range n {
		for i := range k {
			id := ids.Target(fmt.Sprint(version, i))
			v.Targets = append(v.Targets, routing.Target{ID: id, Service: "s", Software: version, Hash: routing.HashTarget(id)})
		}
	}
	return v, func(int) routing.State { return routing.Live }
}

// TestOlder orders versions as their operators count them.
func TestOlder(t *testing.T) {
	for _, c := range []struct{ a, b ids.SoftwareVersion }{{"v1", "v2"}, {"v9", "v10"}, {"", "v1"}, {"1.9.3", "1.10.0"}, {"v2", "v2-rc"}, {"a3", "b1"}} {
		if !Older(c.a, c.b) || Older(c.b, c.a) {
			t.Errorf("%q should be older than %q", c.a, c.b)
		}
	}
}

// TestChoices: calls go to the version in service, to others only where none of its targets is
// left, and never to one that was rolled back.
func TestChoices(t *testing.T) {
	both := map[ids.SoftwareVersion]int{"v1": 2, "v2": 2}
	for name, c := range map[string]struct {
		record  Record
		targets map[ids.SoftwareVersion]int
		want    string
	}{
		"nothing is written down":       {Record{}, both, "[v1]"},
		"no order":                      {Record{Stable: "v2"}, both, "[v2]"},
		"none of it is left":            {Record{Stable: "v0"}, both, "[v0 v1]"},
		"none is left, one rolled back": {Record{Stable: "v0", Barred: []ids.SoftwareVersion{"v1"}}, both, "[v0 v2]"},
		"only one rolled back is left":  {Record{Stable: "v0", Barred: []ids.SoftwareVersion{"v2"}}, map[ids.SoftwareVersion]int{"v2": 3}, "[v0]"},
		"promoting":                     {Record{Stable: "v1", Canary: "v2", Stage: Promoting, Share: 1}, both, "[v2]"},
	} {
		g := newGate()
		if c.record.Stable != "" {
			c.record.Service = "s"
			g.Apply(c.record, 1)
		}
		v, state := view(c.targets)
		got := []ids.SoftwareVersion{}
		for _, choice := range g.Choices("s", v, state, ChoiceParams{FirstAttempt: true, Seed: 7}) {
			got = append(got, choice.Version)
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: %v, want %s", name, got, c.want)
		}
	}
}

// TestShare: a canary gets its share of first attempts, and no call that has failed before.
func TestShare(t *testing.T) {
	g := newGate()
	g.Apply(Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Proving, Share: 0.1, Part: 1}, 1)
	v, state := view(map[ids.SoftwareVersion]int{"v1": 2, "v2": 2})
	n := 0
	for seed := range uint64(1000) {
		if g.Choices("s", v, state, ChoiceParams{FirstAttempt: true, Seed: seed})[0].Version == "v2" {
			n++
		}
		if c := g.Choices("s", v, state, ChoiceParams{Seed: seed}); len(c) != 1 || c[0].Version != "v1" {
			t.Fatalf("a call that has failed goes to %v", c)
		}
	}
	if n < 90 || n > 110 {
		t.Errorf("%d of 1000 calls went to the canary, want 100", n)
	}
}

// TestCallsAreCleared: a VM counts as done with the old version only when its calls there have
// ended, and lets none in once it has the record that says so.
func TestCallsAreCleared(t *testing.T) {
	g := newGate()
	r := Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Loading, Share: 0.5, Part: 0.5, Order: OrderID{1, "v2"}, By: "holder"}
	g.Apply(r, 5)
	pass, ok := g.Admit("s", "v1")
	if !ok {
		t.Fatal("a call to the version in service was not let in")
	}
	r.Stage, r.Share = Promoting, 1
	g.Apply(r, 6)
	if _, ok := g.Admit("s", "v1"); ok {
		t.Error("a call was let in to a version that is to be stopped")
	}
	l := NewLedger(r.Order, &Sequential{})
	tell := func() bool {
		for _, report := range g.Reports(true)["holder"] {
			l.Merge("a", 1, &report, time.Time{})
		}
		return l.Drained("a", 6)
	}
	if tell() {
		t.Error("the VM counts as done while a call is left")
	}
	pass.Release()
	pass.Release()
	if !tell() {
		t.Error("the VM does not count as done")
	}
	if l.Drained("b", 6) {
		t.Error("a VM that has said nothing counts as done")
	}
}

// TestReportsAddUp: reports that are lost, late or told twice, and VMs that start again, change
// nothing of what is counted.
func TestReportsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		judge := &fixedWindow{}
		l := NewLedger(OrderID{1, "v2"}, judge)
		sent, before := uint32(0), uint32(0)
		var c counts
		life := int64(1)
		var held []Report
		tell := func(all bool) {
			r := Report{Service: "s", Order: OrderID{1, "v2"}, Cells: c.told(all)}
			switch rapid.IntRange(0, 3).Draw(rt, "way") {
			case 0: // lost
			case 1:
				held = append(held, r)
			case 2:
				l.Merge("a", life, &r, time.Time{})
				fallthrough
			default:
				l.Merge("a", life, &r, time.Time{})
			}
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				tell(false)
			case 1:
				tell(true)
			case 2:
				if len(held) > 0 {
					l.Merge("a", life, &held[0], time.Time{})
					held = held[1:]
				}
			case 3:
				r := Report{Service: "s", Order: OrderID{1, "v2"}, Cells: c.told(true)}
				l.Merge("a", life, &r, time.Time{}) // all of it arrives before the VM starts again
				before, life, held, c = before+sent, life+1, nil, counts{}
				sent = 0
			default:
				c.add("r", "t", true, Answer{Took: time.Millisecond})
				sent++
			}
		}
		r := Report{Service: "s", Order: OrderID{1, "v2"}, Cells: c.told(true)}
		l.Merge("a", life, &r, time.Time{})
		if judge.calls != before+sent {
			rt.Fatalf("%d calls were counted, %d made", judge.calls, before+sent)
		}
	})
}

// TestOneEnd lets two VMs that both believe they act take steps on records and statuses that are
// as old as they like, whatever they believe of the evidence, each write on condition that what
// it changes is unchanged. An order has one end, and in the end the record agrees with it.
func TestOneEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type stored struct {
			record   Record
			version  objectapi.Revision
			order    Order
			statuses []End
		}
		s := stored{record: Record{Service: "s", Stable: "v1"}, version: 1, order: Order{OrderID: OrderID{1, "v2"}, Service: "s", Within: 10 * time.Second, Version: 1}}
		seen := [2]stored{s, s}
		step := func(i int, f Facts) {
			me := &seen[i]
			order := me.order
			f.Self, f.Order = ids.VM(fmt.Sprint("vm", i)), &order
			f.Versions = map[ids.SoftwareVersion]int{"v1": 2, "v2": 2}
			next := playBounds.Next(me.record, f)
			if !next.Record.same(&me.record) {
				if me.version != s.version {
					return // the store refuses the write
				}
				s.version++
				s.record = next.Record
				me.record, me.version = s.record, s.version
			}
			if next.Report == Running || order.Version != s.order.Version {
				return
			}
			s.order.Version++
			s.order.Reported, s.order.HasStatus = next.Report, true
			s.statuses = append(s.statuses, next.Report)
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 1).Draw(rt, "vm")
			if rapid.Bool().Draw(rt, "looks") {
				seen[i] = s
			}
			step(i, Facts{
				Elapsed: time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "elapsed")) * time.Millisecond, Warm: 2, Drained: rapid.Bool().Draw(rt, "cleared"),
				Finding: Finding{
					Verdict: Verdict(rapid.IntRange(0, 2).Draw(rt, "verdict")), Tentative: Verdict(rapid.IntRange(1, 2).Draw(rt, "leans")), Calls: 10,
				},
			})
		}
		if len(s.statuses) > 1 {
			rt.Fatalf("the order ended %v", s.statuses)
		}
		if len(s.statuses) == 0 {
			return
		}
		for range 2 {
			seen[0] = s
			step(0, Facts{})
		}
		end := s.statuses[0]
		if s.record.End != end || (s.record.Stable == "v2") != (end == Completed) || s.record.barred("v2") != (end == RolledBack) || s.record.Canary != "" {
			rt.Fatalf("the status says %v, the record %+v", end, s.record)
		}
	})
}

// TestOrders: what else may become of orders.
func TestOrders(t *testing.T) {
	order := func(target ids.SoftwareVersion) *Order {
		return &Order{OrderID: OrderID{1, target}, Service: "s", Within: 10 * time.Second}
	}
	moving := Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Proving, Share: 0.05, Part: 1, Order: OrderID{1, "v2"}}
	versions := map[ids.SoftwareVersion]int{"v1": 2, "v2": 2, "v3": 2}
	for name, c := range map[string]struct {
		record Record
		facts  Facts
		want   func(Step) bool
	}{
		"a new one while another is under way": {moving, Facts{Order: order("v3")}, func(s Step) bool {
			return s.Record.Canary == "v3" && s.Record.Stable == "v1" && s.Record.Stage == Proving
		}},
		"back to the version in service": {moving, Facts{Order: order("v1")}, func(s Step) bool {
			return s.Report == Completed && s.Record.Canary == "" && s.Record.Stable == "v1"
		}},
		"taken back": {moving, Facts{}, func(s Step) bool { return s.Record.Canary == "" && s.Record.Stable == "v1" && s.Report == Running }},
		"no target has it": {moving, Facts{Order: order("v2"), Elapsed: 9500 * time.Millisecond}, func(s Step) bool {
			return s.Record.End == RolledBack && s.Record.Canary == ""
		}},
		"ordered anew after it was rolled back": {
			Record{Service: "s", Stable: "v1", Barred: []ids.SoftwareVersion{"v2"}, Order: OrderID{1, "v2"}, End: RolledBack},
			Facts{Order: &Order{OrderID: OrderID{8, "v2"}, Service: "s", Within: time.Second}},
			func(s Step) bool { return s.Record.Canary == "v2" && !s.Record.barred("v2") },
		},
		"the record was lost, the status was not": {
			Record{Service: "s"},
			Facts{Order: &Order{OrderID: OrderID{1, "v2"}, Reported: Completed, HasStatus: true}},
			func(s Step) bool { return s.Record.Stable == "v2" },
		},
		"the first look at an order's versions":  {Record{Service: "s"}, Facts{Order: order("v2")}, func(s Step) bool { return s.Record.Stable == "v1" && s.Record.Canary == "v2" }},
		"none of the version in service is left": {Record{Service: "s", Stable: "v0"}, Facts{StableGone: true}, func(s Step) bool { return s.Record.Stable == "v1" }},
	} {
		c.facts.Versions, c.facts.Self = versions, "a"
		if s := playBounds.Next(c.record, c.facts); !c.want(s) {
			t.Errorf("%s: %+v", name, s)
		}
	}
}
