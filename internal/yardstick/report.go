package yardstick

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes results as a table. Ratios are relative to the result of the oracle
// on the same workload, or to the result itself if there is none.
func Print(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "workload\tpolicy\trequests\trefused\tfailed\tattempts/req\thit rate\t/oracle\twasted ktok\trecomputed ktok\t/oracle\tTTFT p50\tp95\tp99 ms\tp99/oracle\tfairness\t")
	for _, r := range results {
		o := oracleOf(results, r)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t\n",
			r.Workload, r.Policy, r.Requests, r.Refused, r.Failed, float64(r.Attempts)/float64(max(r.Requests-r.Refused, 1)),
			r.HitRate(), r.HitRate()/o.HitRate(), r.Wasted/1000, r.Recomputed/1000, float64(r.Recomputed)/float64(max(o.Recomputed, 1)),
			r.Percentile(50), r.Percentile(95), r.Percentile(99), r.Percentile(99)/o.Percentile(99), r.Fairness())
	}
	return t.Flush()
}

// oracleOf returns the result of the oracle on the workload of r, or r if there is none.
func oracleOf(results []*Result, r *Result) *Result {
	for _, o := range results {
		if o.Workload == r.Workload && o.Policy == "oracle" {
			return o
		}
	}
	return r
}

// Fairness returns Jain's fairness index of the fractions of requests that were
// completed, by workspace: 1 if they are equal, 0 if no request was completed.
func (r *Result) Fairness() float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for ws, requests := range r.RequestsByWorkspace {
		fraction := float64(r.CompletedByWorkspace[ws]) / float64(max(requests, 1))
		sum += fraction
		squares += fraction * fraction
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// Span returns the mean hit rate and the mean TTFT, in milliseconds, of the seconds of
// the run in the interval [from, to).
func (r *Result) Span(from, to int) (hit, ttft float64) {
	n := 0.0
	for i := from; i < to && i < len(r.WindowHit); i++ {
		hit += r.WindowHit[i]
		ttft += r.WindowTTFT[i] * 1000
		n++
	}
	return hit / max(n, 1), ttft / max(n, 1)
}

// PrintRestarts writes a table that compares the ten seconds before RestartAt with
// the ten seconds after it.
func PrintRestarts(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "workload\thit rate 10 s before\t10 s after\tmean TTFT before\tafter ms\t")
	at := int(RestartAt.Seconds())
	for _, r := range results {
		h0, t0 := r.Span(at-10, at)
		h1, t1 := r.Span(at, at+10)
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.1f\t%.1f\t\n", r.Workload, h0, h1, t0, t1)
	}
	return t.Flush()
}
