package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
)

// TestScenarios runs the scenarios in testdata. Each command is one event, and "wait" advances
// the time; the output is the state of all targets and VMs after the command.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := New("vm0", DefaultTuning)
		now := time.Unix(1_000_000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "wait" {
				var s string
				d.ScanArgs(t, "for", &s)
				span, err := time.ParseDuration(s)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(span)
				return ""
			}
			return runCommand(t, table, d, now)
		})
	})
}

func runCommand(t *testing.T, table *Table, d *datadriven.TestData, now time.Time) string {
	num := func(key string) uint64 {
		var n uint64
		d.MaybeScanArgs(t, key, &n)
		return n
	}
	var id, weights string
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "weights", &weights)
	target := ids.Target(id)
	switch d.Cmd {
	case "platform":
		table.ApplyPlatform(records(d.Input), now)
	case "probe":
		table.ApplyReport(target, Report{
			Incarnation: ids.Incarnation(num("inc")), Seq: num("seq"), Leaving: d.HasArg("leaving"), Silent: d.HasArg("silent"),
			Weights: ids.WeightsVersion(weights),
		}, now)
	case "fail":
		table.Failed(target, now)
	case "ok":
		table.Succeeded(target)
	case "silent": // a request that was sent some time ago got no response
		var span string
		d.ScanArgs(t, "after", &span)
		waited, err := time.ParseDuration(span)
		if err != nil {
			t.Fatal(err)
		}
		table.TimedOut(target, now.Add(-waited), now)
	case "heard":
		table.MarkSeen(target, now)
	case "peer-lost":
		var peer string
		d.ScanArgs(t, "peer", &peer)
		table.SetLostByPeer(ids.VM(peer), []ids.Target{target}, now)
	case "doubt":
		var span string
		d.ScanArgs(t, "for", &span)
		dur, err := time.ParseDuration(span)
		if err != nil {
			t.Fatal(err)
		}
		table.SuspectUntil(target, now.Add(dur))
	case "peer-lost-none": // a peer reports that it reaches all targets
		var peer string
		d.ScanArgs(t, "peer", &peer)
		table.SetLostByPeer(ids.VM(peer), nil, now)
	case "contact":
		table.SetReachable(target, !d.HasArg("lost"), now)
	case "try":
		return fmt.Sprintln("trial:", table.Trying(target, now))
	case "refuses":
		table.MarkLeaving(target, ids.Incarnation(num("inc")))
	case "beat":
		table.Heartbeat(ids.VM(id), ids.Incarnation(num("inc")), num("count"), 0, d.HasArg("leaving"), now)
	case "forget":
		return fmt.Sprintln(table.Forget(now))
	case "states":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return states(table, now)
}

func records(input string) []platform.Record {
	var out []platform.Record
	for _, line := range strings.Fields(input) {
		f := strings.Split(line, ":")
		r := platform.Record{ID: f[0], Role: platform.Role(f[1]), State: platform.State(f[2]), Weights: "w1"}
		_, _ = fmt.Sscan(f[3], &r.Incarnation)
		out = append(out, r)
	}
	return out
}

func states(table *Table, now time.Time) string {
	var b strings.Builder
	for _, x := range table.Targets(now) {
		fmt.Fprintf(&b, "%s %s life %d/%s", x.ID, x.StateName, x.Incarnation, x.Weights)
		if x.BreakerOpen {
			b.WriteString(" breaker open")
		}
		b.WriteString("\n")
	}
	for _, x := range table.Peers(now) {
		fmt.Fprintf(&b, "%s %s\n", x.ID, x.StateName)
	}
	return b.String()
}

// TestBusyIsNeverShortened checks that a refusal with a short delay does not shorten the time of
// an order that the target carries out: the target gets no work until that time is over or
// Ready is called.
func TestBusyIsNeverShortened(t *testing.T) {
	table, now := New("vm0", DefaultTuning), time.Unix(1_000_000, 0)
	table.ApplyPlatform(records("e1:engine:live:1"), now)
	open := func(after time.Duration) bool {
		targets := table.Targets(now.Add(after))
		return len(targets) == 1 && targets[0].BreakerOpen
	}
	table.Busy("e1", now.Add(1500*time.Millisecond))
	table.Busy("e1", now.Add(250*time.Millisecond))
	if !open(1499*time.Millisecond) || open(1500*time.Millisecond) {
		t.Error("a refusal shortened the busy time of the order")
	}
	table.Busy("e1", now.Add(2*time.Second))
	if !open(1999 * time.Millisecond) {
		t.Error("a later time did not extend the busy time")
	}
	table.Ready("e1")
	if open(0) {
		t.Error("the breaker is open after Ready")
	}
}
