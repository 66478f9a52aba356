package allowance

import (
	"cmp"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
)

// Status is the account of one workspace on this VM, in units and units/s.
type Status struct {
	Workspace ids.Workspace `json:"workspace"`
	Rate      float64       `json:"rate"` // effective, as set by Bounds.Limit
	Burst     float64       `json:"burst"`
	Left      float64       `json:"left"`     // of the burst on all VMs; negative: a debt
	Used      float64       `json:"used"`     // by all responsive VMs, units/s
	Demand    float64       `json:"demand"`   // of the callers on them, units/s
	Reserved  float64       `json:"reserved"` // fraction of the limit reserved for unresponsive VMs
	Admitted  float64       `json:"admitted"` // by this VM, units
	Refused   float64       `json:"refused"`  // by this VM, units
	Refusals  int64         `json:"refusals"` // by this VM, calls
}

// Status returns the accounts of the workspaces that have a limit, sorted by name.
func (l *Limiter) Status() []Status {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Status
	for _, a := range l.accounts {
		if a.limit.Unlimited() {
			continue
		}
		a.advance(now)
		s := a.state(0, now)
		out = append(out, Status{
			Workspace: a.name, Rate: a.limit.Rate, Burst: a.limit.Burst, Left: a.level, Used: rateOf(a.used.value(now) + a.peersUsed),
			Demand: s.Demand, Reserved: s.Reserved, Admitted: a.admitted, Refused: a.refused, Refusals: a.refusals,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
