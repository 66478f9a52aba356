package demand

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/threadwall/threadwall/internal/ids"
)

// The tests guard against sums that differ between VMs that heard the same reports, and against
// reports whose size grows with the configuration.

func testTracker(now *time.Time) *Tracker { return New(func() time.Time { return *now }) }

var testClass = Class{Service: "models", Route: "notes", Workspace: "w1"}

func TestReportsOfVMsAddUp(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := testTracker(&now), testTracker(&now)
	a.SetListed(2)
	for range 10 {
		a.Decided(testClass, 0.05, true)
		b.Decided(testClass, 0.05, false)
	}
	a.RecordPeer("b", 1, 1, b.OwnReport())
	p := a.Picture("models")
	s := p.Route("notes")
	if s.Calls != 20 || s.Admitted != 10 || s.Refused != 10 || p.VMs != 2 {
		t.Errorf("picture is %+v of %d VMs, want 20 calls, 10 admitted, 10 refused of 2", s, p.VMs)
	}
	ws, _ := p.Workspace("w1")
	if ws.Offered < 0.99 || ws.Admitted < 0.49 || ws.Admitted > 0.51 {
		t.Errorf("workspace is %+v, want 1 offered and 0.5 admitted", ws)
	}
}

func TestSilentVMIsDroppedAndScaledFor(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := testTracker(&now), testTracker(&now)
	a.SetListed(2)
	b.Decided(testClass, 0.05, true)
	a.RecordPeer("b", 1, 1, b.OwnReport())
	now = now.Add(reportTTL + time.Millisecond)
	a.Decided(testClass, 0.05, true)
	p := a.Picture("models")
	if calls := p.Route("notes").Calls; calls != 2 || p.VMs != 1 || p.Listed != 2 {
		t.Errorf("%v calls of %d of %d VMs, want the own call scaled to 2 VMs", calls, p.VMs, p.Listed)
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	a := testTracker(&now)
	report := func(calls float32) Report {
		return Report{Routes: []RouteSums{{Service: HashOf("models"), Route: HashOf("notes"), Calls: calls}}}
	}
	a.RecordPeer("b", 2, 5, report(5))
	a.RecordPeer("b", 2, 4, report(4))
	a.RecordPeer("b", 1, 9, report(9))
	if calls := a.Picture("models").Route("notes").Calls; calls != 5 {
		t.Errorf("%v calls, want those of the newest report, 5", calls)
	}
}

func TestReportIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	a := testTracker(&now)
	const workspaces = 580
	for i := range workspaces {
		a.Decided(Class{Service: "models", Route: "notes", Workspace: ids.Workspace(string(rune('a'+i%26)) + string(rune('a'+i/26)))}, 1+float64(i)/workspaces, true)
	}
	r := a.OwnReport()
	data, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Workspaces) > maxWorkspaces+1 || len(data) > 1024 {
		t.Errorf("%d workspaces in %d bytes, want at most %d in 1024", len(r.Workspaces), len(data), maxWorkspaces+1)
	}
	sum := float32(0)
	for _, w := range r.Workspaces {
		sum += w.Offered
	}
	if sum < 869 || sum > 871 {
		t.Errorf("offered %v in total, want that of all workspaces, about 870", sum)
	}
}

func TestMalformedReportIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	a := testTracker(&now)
	nan := float32(0)
	nan /= nan
	a.RecordPeer("b", 1, 1, Report{Routes: []RouteSums{{Service: HashOf("models"), Route: HashOf("notes"), Calls: nan}}})
	if calls := a.Picture("models").Route("notes").Calls; calls != 0 {
		t.Errorf("%v calls, want the malformed sums left out", calls)
	}
}

func TestSumsDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	a := testTracker(&now)
	a.Decided(testClass, 0.05, true)
	now = now.Add(decayTime)
	if calls := a.Picture("models").Route("notes").Calls; calls < 0.36 || calls > 0.38 {
		t.Errorf("%v calls after the decay time, want 1/e", calls)
	}
}

// TestLargeWorkspacesOfEachServiceAreListed guards against a report that lists only the workspaces of
// a service without prompts, where a call counts as one unit of work and not as milliseconds.
func TestLargeWorkspacesOfEachServiceAreListed(t *testing.T) {
	now := time.Unix(1000, 0)
	a := testTracker(&now)
	for i := range 2 * maxWorkspaces {
		a.Decided(Class{Service: "plain", Route: "ask", Workspace: ids.Workspace(rune('A' + i))}, 1, true)
	}
	a.Decided(testClass, 0.05, true)
	if ws, listed := a.Picture("models").Workspace("w1"); !listed || ws.Offered == 0 {
		t.Errorf("the only workspace of a service is left out: %+v", a.OwnReport().Workspaces)
	}
}

// TestReportWithManyServicesIsBounded guards against totals that grow with the services of a malformed
// report.
func TestReportWithManyServicesIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	a := testTracker(&now)
	var r Report
	for i := range uint32(3000) {
		r.Routes = append(r.Routes, RouteSums{Service: i, Route: i, Calls: 1})
		r.Workspaces = append(r.Workspaces, WorkspaceSums{Service: i, Workspace: i, Offered: 1})
	}
	a.RecordPeer("b", 1, 1, r)
	if got := a.peers["b"].report; len(got.Routes) > 2*maxRoutes || len(got.Workspaces) > 2*maxWorkspaces {
		t.Errorf("%d routes and %d workspaces are kept, want at most %d and %d", len(got.Routes), len(got.Workspaces), 2*maxRoutes, 2*maxWorkspaces)
	}
}
