package edge

import (
	"github.com/threadwall/threadwall/internal/clock"
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
