package edge

import (
	"math/rand/v2"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/retry"
)

// retryShareLog returns a duty that logs each change of this VM's part of the retry burst.
func (d *Daemon) retryShareLog() func() {
	var logged retry.Share
	first := true
	return func() {
		s := d.budgets.Share()
		if !first && s == logged {
			return
		}
		first, logged = false, s
		e := d.Log.State("retry-share").Int("vms", s.VMs).Float64("retries", s.Retries).Str("waits", s.Wait.Reason)
		if !s.Wait.Until.IsZero() {
			e = e.Int64("at_most_ms", clock.Until(s.Wait.Until).Milliseconds())
		}
		e.Send()
	}
}

// sendLoan sends a question, an answer or a return to another VM, and logs what is lent and returned.
func (d *Daemon) sendLoan(to ids.VM, l retry.Loan) {
	d.news.SendLoan(to, l)
	if l.Amount <= 0 || l.Kind == retry.LoanQuestion {
		return
	}
	event := "retry-lent"
	if l.Kind == retry.LoanReturn {
		event = "retry-returned"
	}
	d.Log.State(event).Str("to", string(to)).Str("service", l.Service).Uint64("loan", l.Number).Float64("retries", l.Amount).Send()
}

// retryLenders returns at most limit live VMs that may lend retries, in random order, those of this VM's failure domain
// first.
func (c *vmList) retryLenders(limit int) []ids.VM {
	same, other := c.livePeers("lends retries")
	var out []ids.VM
	for _, group := range [][]vmRecord{same, other} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		for _, r := range group[:min(len(group), limit-len(out))] {
			out = append(out, r.VM)
		}
	}
	return out
}
