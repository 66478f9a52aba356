package yardstick

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/verdict"
)

// saveAlways is verdict.PlanTransfer with a save along with every prompt of which the store lacks
// anything.
func saveAlways(p verdict.Prompt, at verdict.Locations) verdict.TransferPlan {
	m := verdict.PlanTransfer(p, at)
	m.Save = p.Shared >= verdict.MinTransfer && at.Store.Tokens < p.Shared
	return m
}

// moveAnything is verdict.PlanTransfer with moves of whatever little is held elsewhere.
func moveAnything(p verdict.Prompt, at verdict.Locations) verdict.TransferPlan {
	m := verdict.PlanTransfer(p, at)
	if m.Fetch == "" && at.Holder.Tokens > at.Held {
		m.Fetch = at.Holder.Addr
	} else if m.Fetch == "" && at.Store.Tokens > at.Held {
		m.Fetch = at.Store.Addr
	}
	m.Save = at.Store.Tokens < p.Shared
	return m
}

// compare plays the load with shared prompts under two policies, seed by seed, and returns
// the mean of a figure's difference, without minus with the product's policy, and its
// standard error.
func compare(t *testing.T, without TransferPolicy, figure func(*TransferResult) float64) (mean, se float64) {
	t.Helper()
	l, err := ReadTransferWorkload("testdata/shared-prompts.json")
	if err != nil {
		t.Fatal(err)
	}
	const seeds = 8
	var d [seeds]float64
	for seed := range d {
		d[seed] = figure(ReplayTransfers(l, without, uint64(seed+1))) - figure(ReplayTransfers(l, verdict.PlanTransfer, uint64(seed+1)))
		mean += d[seed] / seeds
	}
	for _, x := range d {
		se += (x - mean) * (x - mean) / (seeds - 1) / seeds
	}
	return mean, math.Sqrt(se)
}

// TestSavesWithLittleBesides replays the load for which own parts bar a save: with a save
// along with every prompt the store fills with parts that nobody asks for.
func TestSavesWithLittleBesides(t *testing.T) {
	moved, se := compare(t, saveAlways, func(r *TransferResult) float64 { return r.Transferred / 1000 })
	t.Logf("moved without the bar, beyond what is with it: %.0f thousand tokens, standard error %.0f", moved, se)
	if moved < 3*se || moved < 100 {
		t.Errorf("the bar on saves spares %.0f thousand moved tokens, standard error %.0f", moved, se)
	}
	lost, se := compare(t, saveAlways, func(r *TransferResult) float64 { return float64(r.SavesSkipped) })
	t.Logf("saves lost: %.1f more, standard error %.1f", lost, se)
}

// TestShortPromptsDontWaitForLinks replays the load for which small moves are left out: with
// them short prompts wait behind transfers of long ones.
func TestShortPromptsDontWaitForLinks(t *testing.T) {
	wait, se := compare(t, moveAnything, func(r *TransferResult) float64 { return r.Quantile("short", 0.95).Seconds() * 1000 })
	t.Logf("the wait of 95 in 100 short prompts: %.1f ms more, standard error %.1f", wait, se)
	if wait < 3*se || wait < 1 {
		t.Errorf("leaving small moves out spares 95 in 100 short prompts %.1f ms, standard error %.1f", wait, se)
	}
}

// TestReplayRepeats checks that a seed gives the same figures each time.
func TestReplayRepeats(t *testing.T) {
	l, err := ReadTransferWorkload("testdata/shared-prompts.json")
	if err != nil {
		t.Fatal(err)
	}
	a, b := ReplayTransfers(l, verdict.PlanTransfer, 3), ReplayTransfers(l, verdict.PlanTransfer, 3)
	if a.Transferred != b.Transferred || a.RecomputedShared != b.RecomputedShared || a.Quantile("long", 0.9) != b.Quantile("long", 0.9) {
		t.Errorf("%+v and %+v of one seed", a, b)
	}
	if a.Prompts < 1500 || a.Quantile("long", 0.5) <= 0 || a.Quantile("none", 0.5) != time.Duration(0) {
		t.Errorf("%d prompts, the median of long ones waits %v", a.Prompts, a.Quantile("long", 0.5))
	}
}

// TestBadLoadsAreRefused reads loads that say something wrong.
func TestBadLoadsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON": "{", "unknown field": `{"secnds": 1}`, "no engines": `{"seconds": 1, "domains": 1, "engine_tokens": 1, "prefill_per_s": 1, "token_bytes": 1, "link_gbit_s": 1, "routes": []}`,
	} {
		path := filepath.Join(t.TempDir(), "load.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadTransferWorkload(path); err == nil {
			t.Errorf("%s: it was taken", name)
		}
	}
}
