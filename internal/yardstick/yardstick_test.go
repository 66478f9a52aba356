package yardstick

import "testing"

func workload(t *testing.T, name string) Workload {
	t.Helper()
	for _, w := range Workloads(1) {
		if w.Name == name {
			return w
		}
	}
	t.Fatalf("no workload %s", name)
	return Workload{}
}

// The product's policy must stay near the oracle, and above every baseline, on
// Solano's burst. Virtual time and fixed seeds make the figures the same on every
// run.
func TestGoalsOnSolano(t *testing.T) {
	w := workload(t, "solano")
	product := Run(w, Product())
	for _, p := range Baselines() {
		r := Run(w, p)
		if p.Exact {
			if got := product.HitRate() / r.HitRate(); got < 0.95 {
				t.Errorf("hit rate is %.3f of the oracle's", got)
			}
			if got := float64(product.Recomputed) / float64(r.Recomputed); got > 1.2 {
				t.Errorf("recomputed tokens are %.2f times the oracle's", got)
			}
			if got := product.Quantile(99) / r.Quantile(99); got > 1.25 {
				t.Errorf("TTFT p99 is %.2f times the oracle's", got)
			}
			continue
		}
		if product.Quantile(99) > r.Quantile(99) {
			t.Errorf("TTFT p99 %.0f ms is above %s's %.0f", product.Quantile(99), p.Name, r.Quantile(99))
		}
	}
}

// A crash of a third of the engines: no retry storm, and the hit rate is back at
// nine tenths of what it was within ten seconds.
func TestRecoveryAfterCrash(t *testing.T) {
	w := workload(t, "crash")
	r := Run(w, Product())
	if got := float64(r.Attempts) / float64(r.Requests); got > 1.2 {
		t.Errorf("%.2f attempts a request", got)
	}
	if r.Failed > 0 {
		t.Errorf("%d requests failed", r.Failed)
	}
	steady, after := mean(r.WindowHit[15:25]), mean(r.WindowHit[35:40])
	if after < 0.9*steady {
		t.Errorf("hit rate %.3f before the crash, %.3f ten seconds after", steady, after)
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

func TestSameSeedSameFigures(t *testing.T) {
	w := workload(t, "solano")
	a, b := Run(w, Product()), Run(w, Product())
	if a.Recomputed != b.Recomputed || a.Quantile(99) != b.Quantile(99) || a.Completed != b.Completed {
		t.Fatalf("%d %d, %v %v", a.Recomputed, b.Recomputed, a.Quantile(99), b.Quantile(99))
	}
}
