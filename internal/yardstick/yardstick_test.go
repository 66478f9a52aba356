package yardstick

import "testing"

func workload(t *testing.T, name string) Workload {
	t.Helper()
	for _, w := range Workloads(1) {
		if w.Name == name {
			return w
		}
	}
	t.Fatalf("Workloads returns no workload %q", name)
	return Workload{}
}

// TestPolicyGoalsOnSolano checks that on the solano workload, which includes a burst,
// the policy of the product stays close to the oracle and has no higher TTFT p99 than
// any other baseline. Virtual time and fixed seeds make the figures repeatable.
func TestPolicyGoalsOnSolano(t *testing.T) {
	w := workload(t, "solano")
	product := Run(w, Product())
	for _, p := range Baselines() {
		r := Run(w, p)
		if p.Exact {
			if got := product.HitRate() / r.HitRate(); got < 0.95 {
				t.Errorf("hit rate is %.3f times the oracle's, want at least 0.95", got)
			}
			if got := float64(product.Recomputed) / float64(r.Recomputed); got > 1.2 {
				t.Errorf("recomputed tokens are %.2f times the oracle's, want at most 1.2", got)
			}
			if got := product.Percentile(99) / r.Percentile(99); got > 1.25 {
				t.Errorf("TTFT p99 is %.2f times the oracle's, want at most 1.25", got)
			}
			continue
		}
		if product.Percentile(99) > r.Percentile(99) {
			t.Errorf("TTFT p99 is %.0f ms, want at most %s's %.0f ms", product.Percentile(99), p.Name, r.Percentile(99))
		}
	}
}

// TestRecoveryAfterCrash crashes a third of the engines. There must be no retry storm,
// and ten to fifteen seconds later the hit rate must be at least 0.9 of its earlier
// value.
func TestRecoveryAfterCrash(t *testing.T) {
	w := workload(t, "crash")
	r := Run(w, Product())
	if got := float64(r.Attempts) / float64(r.Requests); got > 1.2 {
		t.Errorf("%.2f attempts per request, want at most 1.2", got)
	}
	if r.Failed > 0 {
		t.Errorf("%d requests failed, want 0", r.Failed)
	}
	steady, after := mean(r.WindowHit[15:25]), mean(r.WindowHit[35:40])
	if after < 0.9*steady {
		t.Errorf("hit rate is %.3f before the crash and %.3f ten seconds after it, want at least %.3f", steady, after, 0.9*steady)
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

func TestRunIsDeterministic(t *testing.T) {
	w := workload(t, "solano")
	a, b := Run(w, Product()), Run(w, Product())
	if a.Recomputed != b.Recomputed || a.Percentile(99) != b.Percentile(99) || a.Completed != b.Completed {
		t.Fatalf("runs with the same seed differ: recomputed tokens %d and %d, TTFT p99 %v and %v ms", a.Recomputed, b.Recomputed, a.Percentile(99), b.Percentile(99))
	}
}
