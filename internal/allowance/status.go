package allowance

import (
	"cmp"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
)

// Status is one workspace's account as this VM keeps it, in units and units/s.
type Status struct {
	Workspace ids.Workspace `json:"workspace"`
	Rate      float64       `json:"rate"` // that is given out
	Burst     float64       `json:"burst"`
	Left      float64       `json:"left"`   // of the burst over all VMs; negative: a debt
	Used      float64       `json:"used"`   // by all VMs that are heard, a second
	Demand    float64       `json:"demand"` // that callers ask of them, a second
	Reserved  float64       `json:"reserved"`
	Admitted  float64       `json:"admitted"` // by this VM, units
	Refused   float64       `json:"refused"`  // by this VM, units
	Refusals  int64         `json:"refusals"` // by this VM, calls
}

// Status returns the accounts of the workspaces that have a limit, by name.
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
			Workspace: a.name, Rate: a.limit.Rate, Burst: a.limit.Burst, Left: a.level, Used: flow(a.used.now(now) + a.othersUsed),
			Demand: s.Demand, Reserved: s.Reserved, Admitted: a.admitted, Refused: a.refused, Refusals: a.refusals,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
