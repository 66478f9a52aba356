package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that once broke a promise, with the cause. What a seed draws
// is fixed; how it falls in time is not, so each cause has a test of its own, too.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "VMs with short key lifetimes became unready by turns: the watch's wait did not follow them (settings, platform TestCalmDay)"},
	{7000, "VMs that read the store through a peer became unready by turns: waits and questions did not follow short key lifetimes (edge TestProofsOutlastTheirWay)"},
	{1796241844309321909, "all engines were told to load at once though half of them could have served meanwhile (rollout TestSomeServeMeanwhile)"},
	{1796242706000003003, "a failure in place of a broken stream's rest ended the stream as if it were whole (forward TestFailureInPlaceOfTheRest)"},
	{54, "VMs that were killed together took demand that came up for too little (allowance TestPatterns)"},
	{61, "the same, killed three times in a row"},
	{74, "the same"},
	{211, "VMs that had just started took what was asked of them for a tenth (allowance TestKilledAgainAndAgain)"},
	{221, "a VM that got SIGHUP right after its start ended without a word (hangup TestHangupAtStart)"},
	{323, "engines got their orders though the only other one had asked for a rest meanwhile (rollout TestRestWhileOrdersAreDue)"},
	{110, "a decision took the snapshot from before a change that was being taken in (fleet TestSnapshotShowsMarkedChanges)"},
}

// build builds the daemon.
func build(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "threadwalld")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/threadwalld").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// TestSoak runs the daemon as processes under drawn faults for some seconds. Bounds in
// time are left out: CI's machine may be busy.
func TestSoak(t *testing.T) {
	program := build(t)
	for _, r := range regressions {
		report, err := Run(t.Context(), Options{Program: program, Seed: r.seed, VMs: 3, Callers: 6, Faults: 3 * time.Second, Busy: true})
		if err != nil {
			t.Fatalf("seed %d: %v", r.seed, err)
		}
		if len(report.Violations) > 0 {
			t.Errorf("seed %d (%s): %v, logs %v", r.seed, r.cause, report.Violations, report.Logs)
		}
		if report.Served == 0 {
			t.Errorf("seed %d: no call was served", r.seed)
		}
	}
}
