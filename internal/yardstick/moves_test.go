package yardstick

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/verdict"
)

// saveAlways is verdict.PlanTransfer with a save for every prompt whose shared prefix is not
// wholly in the store, whatever the length of the unshared suffix.
func saveAlways(p verdict.Prompt, at verdict.Locations) verdict.TransferPlan {
	plan := verdict.PlanTransfer(p, at)
	plan.Save = p.Shared >= verdict.MinTransfer && at.Store.Tokens < p.Shared
	return plan
}

// transferAnything is verdict.PlanTransfer without the minimum size of a transfer.
func transferAnything(p verdict.Prompt, at verdict.Locations) verdict.TransferPlan {
	plan := verdict.PlanTransfer(p, at)
	if plan.Fetch == "" && at.Holder.Tokens > at.Held {
		plan.Fetch = at.Holder.Addr
	} else if plan.Fetch == "" && at.Store.Tokens > at.Held {
		plan.Fetch = at.Store.Addr
	}
	plan.Save = at.Store.Tokens < p.Shared
	return plan
}

// compare simulates the workload of shared prompts under a variant and under
// verdict.PlanTransfer, with the same seeds. It returns the mean of the difference of a metric
// (variant minus PlanTransfer) and its standard error.
func compare(t *testing.T, variant TransferPolicy, metric func(*TransferResult) float64) (mean, se float64) {
	t.Helper()
	workload, err := ReadTransferWorkload("testdata/shared-prompts.json")
	if err != nil {
		t.Fatal(err)
	}
	const seeds = 8
	var diffs [seeds]float64
	for seed := range diffs {
		diffs[seed] = metric(ReplayTransfers(workload, variant, uint64(seed+1))) - metric(ReplayTransfers(workload, verdict.PlanTransfer, uint64(seed+1)))
		mean += diffs[seed] / seeds
	}
	for _, x := range diffs {
		se += (x - mean) * (x - mean) / (seeds - 1) / seeds
	}
	return mean, math.Sqrt(se)
}

// TestSaveRuleReducesTransfers guards the rule that a prompt with a long unshared suffix is not
// saved. If every prompt is saved, the store fills with suffixes that are never fetched, and
// more tokens have to be transferred.
func TestSaveRuleReducesTransfers(t *testing.T) {
	transferred, se := compare(t, saveAlways, func(r *TransferResult) float64 { return r.Transferred / 1000 })
	t.Logf("tokens transferred, without the rule minus with it: %.0f thousand, standard error %.0f", transferred, se)
	if transferred < 3*se || transferred < 100 {
		t.Errorf("the rule on saves avoids the transfer of %.0f thousand tokens, standard error %.0f; want at least 100 and 3 standard errors", transferred, se)
	}
	skipped, se := compare(t, saveAlways, func(r *TransferResult) float64 { return float64(r.SavesSkipped) })
	t.Logf("saves skipped, without the rule minus with it: %.1f, standard error %.1f", skipped, se)
}

// TestMinTransferReducesTTFTOfShortPrompts guards the minimum size of a transfer. Without it
// short prompts fetch small prefixes and wait on the links behind transfers of long prompts.
func TestMinTransferReducesTTFTOfShortPrompts(t *testing.T) {
	ttft, se := compare(t, transferAnything, func(r *TransferResult) float64 { return r.Quantile("short", 0.95).Seconds() * 1000 })
	t.Logf("TTFT p95 of short prompts, without the minimum minus with it: %.1f ms, standard error %.1f", ttft, se)
	if ttft < 3*se || ttft < 1 {
		t.Errorf("the minimum size of a transfer reduces the TTFT p95 of short prompts by %.1f ms, standard error %.1f; want at least 1 ms and 3 standard errors", ttft, se)
	}
}

// TestReplayIsDeterministic checks that a seed always gives the same figures.
func TestReplayIsDeterministic(t *testing.T) {
	workload, err := ReadTransferWorkload("testdata/shared-prompts.json")
	if err != nil {
		t.Fatal(err)
	}
	a, b := ReplayTransfers(workload, verdict.PlanTransfer, 3), ReplayTransfers(workload, verdict.PlanTransfer, 3)
	if a.Transferred != b.Transferred || a.RecomputedShared != b.RecomputedShared || a.Quantile("long", 0.9) != b.Quantile("long", 0.9) {
		t.Errorf("two replays with the same seed differ: %+v and %+v", a, b)
	}
	if a.Prompts < 1500 || a.Quantile("long", 0.5) <= 0 || a.Quantile("none", 0.5) != time.Duration(0) {
		t.Errorf("%d prompts, want at least 1500; median TTFT of long prompts is %v, want more than 0; median TTFT of a route without prompts is %v, want 0", a.Prompts, a.Quantile("long", 0.5), a.Quantile("none", 0.5))
	}
}

// TestReadTransferWorkloadRejectsInvalidInput reads invalid workload files.
func TestReadTransferWorkloadRejectsInvalidInput(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON": "{", "unknown field": `{"secnds": 1}`, "no engines": `{"seconds": 1, "domains": 1, "engine_tokens": 1, "prefill_per_s": 1, "token_bytes": 1, "link_gbit_s": 1, "routes": []}`,
	} {
		path := filepath.Join(t.TempDir(), "load.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadTransferWorkload(path); err == nil {
			t.Errorf("%s: workload file was accepted", name)
		}
	}
}
