package edge

import (
	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/ids"
)

// applyCatalog applies the newest configuration to the allowances and the replicas.
func (d *Daemon) applyCatalog() {
	d.setAllowances()
	d.Replicas.Publish()
}

// setAllowances applies the allowances of the configuration.
func (d *Daemon) setAllowances() {
	c := d.Catalog.Get()
	if c == nil {
		return
	}
	e := d.Settings.Edge
	bounds := allowance.Bounds{Window: e.AllowanceWindow.D(), Excess: e.AllowanceExcess, Slack: e.AllowanceSlack}
	limits := map[ids.Workspace]allowance.Limit{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if l := bounds.Limit(w.Allowance.Rate, w.Allowance.Burst); !l.Unlimited() {
			limits[w.Name] = l
		}
	}
	d.allowances.SetLimits(limits)
}
