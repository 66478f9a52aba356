package canary

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

func newGate() *Gate { return &Gate{Log: eventlog.New(io.Discard, nil)} }

// view returns a view with n targets of each version, all live.
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

// TestOlder checks that Older compares numbers in versions by value and the rest as text.
func TestOlder(t *testing.T) {
	for _, c := range []struct{ a, b ids.SoftwareVersion }{{"v1", "v2"}, {"v9", "v10"}, {"", "v1"}, {"1.9.3", "1.10.0"}, {"v2", "v2-rc"}, {"a3", "b1"}} {
		if !Older(c.a, c.b) || Older(c.b, c.a) {
			t.Errorf("%q should be older than %q", c.a, c.b)
		}
	}
}

// TestChoices checks that calls go to the version in service, to another one only if the version
// in service has no target left, and never to a version that was rolled back.
func TestChoices(t *testing.T) {
	both := map[ids.SoftwareVersion]int{"v1": 2, "v2": 2}
	for name, c := range map[string]struct {
		record  Record
		targets map[ids.SoftwareVersion]int
		want    string
	}{
		"no record":                           {Record{}, both, "[v1]"},
		"no order":                            {Record{Stable: "v2"}, both, "[v2]"},
		"no target of the version in service": {Record{Stable: "v0"}, both, "[v0 v1]"},
		"no target of the version in service, another rolled back": {Record{Stable: "v0", Barred: []ids.SoftwareVersion{"v1"}}, both, "[v0 v2]"},
		"targets of a rolled back version only":                    {Record{Stable: "v0", Barred: []ids.SoftwareVersion{"v2"}}, map[ids.SoftwareVersion]int{"v2": 3}, "[v0]"},
		"promoting":                                                {Record{Stable: "v1", Canary: "v2", Stage: Promoting, Share: 1}, both, "[v2]"},
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
			t.Errorf("%s: the call may go to %v, want %s", name, got, c.want)
		}
	}
}

// TestCanaryGetsItsShare checks that a canary gets its share of first attempts and no retries.
func TestCanaryGetsItsShare(t *testing.T) {
	g := newGate()
	g.Apply(Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Proving, Share: 0.1, Part: 1}, 1)
	v, state := view(map[ids.SoftwareVersion]int{"v1": 2, "v2": 2})
	n := 0
	for seed := range uint64(1000) {
		if g.Choices("s", v, state, ChoiceParams{FirstAttempt: true, Seed: seed})[0].Version == "v2" {
			n++
		}
		if c := g.Choices("s", v, state, ChoiceParams{Seed: seed}); len(c) != 1 || c[0].Version != "v1" {
			t.Fatalf("a retry may go to %v, want v1 only", c)
		}
	}
	if n < 90 || n > 110 {
		t.Errorf("%d of 1000 calls went to the canary, want 90 to 110", n)
	}
}

// TestDrainedOnlyWhenCallsEnded checks that a VM counts as drained only when its calls at the
// old version have ended, and that it admits none there once it has the record of the stage
// promoting.
func TestDrainedOnlyWhenCallsEnded(t *testing.T) {
	g := newGate()
	r := Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Loading, Share: 0.5, Part: 0.5, Order: OrderID{1, "v2"}, By: "holder"}
	g.Apply(r, 5)
	pass, ok := g.Admit("s", "v1")
	if !ok {
		t.Fatal("a call to the version in service was not admitted")
	}
	r.Stage, r.Share = Promoting, 1
	g.Apply(r, 6)
	if _, ok := g.Admit("s", "v1"); ok {
		t.Error("a call was admitted to a version that is being drained")
	}
	l := NewLedger(r.Order, &Sequential{})
	mergeReports := func() bool {
		for _, report := range g.Reports(true)["holder"] {
			l.Merge("a", 1, &report, time.Time{})
		}
		return l.Drained("a", 6)
	}
	if mergeReports() {
		t.Error("the VM counts as drained while a call is left")
	}
	pass.Release()
	pass.Release()
	if !mergeReports() {
		t.Error("the VM does not count as drained after its last call has ended")
	}
	if l.Drained("b", 6) {
		t.Error("a VM that has sent no report counts as drained")
	}
}

// TestLedgerMergeCountsEachCallOnce checks that lost, late and repeated reports and restarts of
// VMs do not change the number of calls that the ledger counts.
func TestLedgerMergeCountsEachCallOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		judge := &fixedWindow{}
		l := NewLedger(OrderID{1, "v2"}, judge)
		sent, before := uint32(0), uint32(0)
		var c counts
		incarnation := int64(1)
		var delayed []Report
		report := func(all bool) {
			r := Report{Service: "s", Order: OrderID{1, "v2"}, Cells: c.export(all)}
			switch rapid.IntRange(0, 3).Draw(rt, "delivery") {
			case 0: // lost
			case 1:
				delayed = append(delayed, r)
			case 2: // arrives twice
				l.Merge("a", incarnation, &r, time.Time{})
				fallthrough
			default:
				l.Merge("a", incarnation, &r, time.Time{})
			}
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				report(false)
			case 1:
				report(true)
			case 2:
				if len(delayed) > 0 {
					l.Merge("a", incarnation, &delayed[0], time.Time{})
					delayed = delayed[1:]
				}
			case 3:
				r := Report{Service: "s", Order: OrderID{1, "v2"}, Cells: c.export(true)}
				l.Merge("a", incarnation, &r, time.Time{}) // the last report arrives before the VM restarts
				before, incarnation, delayed, c = before+sent, incarnation+1, nil, counts{}
				sent = 0
			default:
				c.add("r", "t", true, CallResult{Took: time.Millisecond})
				sent++
			}
		}
		r := Report{Service: "s", Order: OrderID{1, "v2"}, Cells: c.export(true)}
		l.Merge("a", incarnation, &r, time.Time{})
		if judge.calls != before+sent {
			rt.Fatalf("the ledger counts %d calls, want %d", judge.calls, before+sent)
		}
	})
}

// TestOrderEndsOnce lets two VMs that both act as lease holder take steps on stale records and
// statuses and with arbitrary evidence. Each write is conditional on the version that the VM
// read. The order must end once, and the record must agree with the status afterwards.
func TestOrderEndsOnce(t *testing.T) {
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
			next := simBounds.Next(me.record, f)
			if !next.Record.same(&me.record) {
				if me.version != s.version {
					return // the conditional write fails
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
			if rapid.Bool().Draw(rt, "reads") {
				seen[i] = s
			}
			step(i, Facts{
				Elapsed: time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "elapsed")) * time.Millisecond, Warm: 2, Drained: rapid.Bool().Draw(rt, "drained"),
				Finding: Finding{
					Verdict: Verdict(rapid.IntRange(0, 2).Draw(rt, "verdict")), Tentative: Verdict(rapid.IntRange(1, 2).Draw(rt, "tentative")), Calls: 10,
				},
			})
		}
		if len(s.statuses) > 1 {
			rt.Fatalf("the order ended more than once: %v", s.statuses)
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
			rt.Fatalf("the status is %v, but the record is %+v", end, s.record)
		}
	})
}

// TestNextForOrders checks the first step of Next for orders that are replaced, deleted, repeated
// or cannot be carried out, and after the record was lost.
func TestNextForOrders(t *testing.T) {
	order := func(target ids.SoftwareVersion) *Order {
		return &Order{OrderID: OrderID{1, target}, Service: "s", Within: 10 * time.Second}
	}
	inProgress := Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Proving, Share: 0.05, Part: 1, Order: OrderID{1, "v2"}}
	versions := map[ids.SoftwareVersion]int{"v1": 2, "v2": 2, "v3": 2}
	for name, c := range map[string]struct {
		record Record
		facts  Facts
		want   func(Step) bool
	}{
		"another order during a rollout": {inProgress, Facts{Order: order("v3")}, func(s Step) bool {
			return s.Record.Canary == "v3" && s.Record.Stable == "v1" && s.Record.Stage == Proving
		}},
		"an order for the version in service": {inProgress, Facts{Order: order("v1")}, func(s Step) bool {
			return s.Report == Completed && s.Record.Canary == "" && s.Record.Stable == "v1"
		}},
		"the order was deleted": {inProgress, Facts{}, func(s Step) bool { return s.Record.Canary == "" && s.Record.Stable == "v1" && s.Report == Running }},
		"no target of the version": {inProgress, Facts{Order: order("v2"), Elapsed: 9500 * time.Millisecond}, func(s Step) bool {
			return s.Record.End == RolledBack && s.Record.Canary == ""
		}},
		"a new order after the version was rolled back": {
			Record{Service: "s", Stable: "v1", Barred: []ids.SoftwareVersion{"v2"}, Order: OrderID{1, "v2"}, End: RolledBack},
			Facts{Order: &Order{OrderID: OrderID{8, "v2"}, Service: "s", Within: time.Second}},
			func(s Step) bool { return s.Record.Canary == "v2" && !s.Record.barred("v2") },
		},
		"the record was lost": {
			Record{Service: "s"},
			Facts{Order: &Order{OrderID: OrderID{1, "v2"}, Reported: Completed, HasStatus: true}},
			func(s Step) bool { return s.Record.Stable == "v2" },
		},
		"no record yet": {Record{Service: "s"}, Facts{Order: order("v2")}, func(s Step) bool { return s.Record.Stable == "v1" && s.Record.Canary == "v2" }},
		"no target of the version in service left": {Record{Service: "s", Stable: "v0"}, Facts{StableGone: true}, func(s Step) bool { return s.Record.Stable == "v1" }},
	} {
		c.facts.Versions, c.facts.Self = versions, "a"
		if s := simBounds.Next(c.record, c.facts); !c.want(s) {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// TestRecordInCopy has the store come back from a copy with an earlier record, or without one. The gate
// keeps the newest, and knows which revision a write that restores it is conditional on.
func TestRecordInCopy(t *testing.T) {
	const era = objectapi.Revision(1) << 48
	proving := Record{Service: "s", Stable: "v1", Canary: "v2", Stage: Proving, Share: 0.1, Part: 1}
	rolledBack := Record{Service: "s", Stable: "v1", Barred: []ids.SoftwareVersion{"v2"}, End: RolledBack}
	object := func(r Record, rev objectapi.Revision) objectapi.Object {
		value, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return objectapi.Object{Key: Prefix + r.Service, Value: value, Version: rev}
	}
	for name, c := range map[string]struct {
		listed []objectapi.Object
		stored objectapi.Revision
	}{
		"an earlier record": {[]objectapi.Object{object(proving, era+50)}, era + 50},
		"none":              {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			g.Listed([]objectapi.Object{object(proving, 50)}, follow.At{Revision: 50}, false)
			g.Changed([]objectapi.Object{object(rolledBack, 63)}, follow.At{Revision: 63})
			g.Listed(c.listed, follow.At{Revision: era + 55}, true)
			if _, ok := g.Admit("s", "v2"); ok {
				t.Error("a version that was rolled back gets a call again")
			}
			if got := g.State("s"); !got.Outdated || got.Stored != c.stored || got.Written != 63 {
				t.Errorf("got %+v, want outdated, stored at %v, written at 63", got, c.stored)
			}
			restored := rolledBack
			restored.Era = 1
			g.Changed([]objectapi.Object{object(restored, era+58)}, follow.At{Revision: era + 58})
			if got := g.State("s"); got.Outdated || got.Stored != era+58 || got.Written != era+58 {
				t.Errorf("after it was written again: got %+v", got)
			}
		})
	}
}

// TestOrdersOfTwoEras checks which orders count as the same.
func TestOrdersOfTwoEras(t *testing.T) {
	const era = objectapi.Revision(1) << 48
	known := OrderID{Created: 55, Target: "v2"}
	for other, want := range map[OrderID]bool{
		{55, "v2"}: true, {70, "v2"}: false, {era + 58, "v2"}: true, {era + 55, "v3"}: false,
	} {
		if got := known.Same(other); got != want {
			t.Errorf("%v and %v are the same: %v, want %v", known, other, got, want)
		}
	}
}

// TestStreamsGoOnAtVersionsOutOfService checks that a call whose stream began at a version is admitted there after
// the version was rolled back or another one is promoted, and that it counts as a call in progress there.
func TestStreamsGoOnAtVersionsOutOfService(t *testing.T) {
	for name, r := range map[string]Record{
		"rolled back": {Service: "s", Stable: "v2", Barred: []ids.SoftwareVersion{"v1"}},
		"promoting":   {Service: "s", Stable: "v1", Canary: "v2", Stage: Promoting, Share: 1, Part: 1, Order: OrderID{1, "v2"}, By: "holder"},
	} {
		g := newGate()
		g.Apply(r, 5)
		if _, ok := g.Admit("s", "v1"); ok {
			t.Errorf("%s: a new call was admitted", name)
		}
		pass := g.Continue("s", "v1")
		if pass == nil {
			t.Fatalf("%s: a stream may not go on", name)
		}
		left := func() int {
			if reports := g.Reports(true)["holder"]; len(reports) > 0 {
				return reports[0].OtherCalls
			}
			return 0
		}
		if name == "promoting" && left() != 1 {
			t.Errorf("%s: %d calls in progress at the version, want 1", name, left())
		}
		pass.Release()
		if left() != 0 {
			t.Errorf("%s: %d calls in progress at the version after the release", name, left())
		}
	}
}
