package edge

import (
	"github.com/threadwall/threadwall/internal/allowance"
	"github.com/threadwall/threadwall/internal/ids"
)

// adopted puts the configuration in force that was read last.
func (d *Daemon) adopted() {
	d.setAllowances()
	d.Replicas.Publish()
}

// setAllowances puts the allowances of the configuration into force.
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
	d.allowed.SetLimits(limits)
}
