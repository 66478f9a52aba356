package edge

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/canary"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// canaryReportEvery is the interval at which a VM sends its counts of canary calls.
	canaryReportEvery = 200 * time.Millisecond
	// fullReportEvery is the number of reports per full report. Full reports make up for lost
	// datagrams.
	fullReportEvery = 5
)

// buildCanaries sets up canary releases of software versions if the settings enable them.
func (d *Daemon) buildCanaries() {
	e := d.Settings.Edge
	if !e.Canaries {
		return
	}
	gate := &canary.Gate{Log: d.Log}
	d.Forward.Software = gate
	d.canaries = &canary.Controller{
		VM: d.Settings.VM, Store: d.store, Prefix: d.adapter.PrefixOrders, Gate: gate, Log: d.Log,
		Bounds: canary.Bounds{Share: e.CanaryShare, Slack: e.CanarySlack},
		Decode: d.adapter.DecodeOrder, EncodeStatus: d.adapter.EncodeOrderStatus,
		Held: func() bool { _, held := d.Lease.Held(); return held }, Targets: d.softwareTargets,
		LiveVMs: d.liveVMNames, WeightsSettled: func() bool { _, idle := d.Rollout.IdleSince(d.started); return idle },
	}
	d.Rollout.Retired = func(rec platform.Record) bool { return gate.Retiring(rec.Service, rec.Software) }
	d.news.OnCanaryReports = d.canaries.Receive
}

// softwareTargets returns the known targets in the form that the canary controller needs.
func (d *Daemon) softwareTargets() []canary.Target {
	now := clock.Now()
	var out []canary.Target
	for _, t := range d.Fleet.Members.Targets(now) {
		out = append(out, canary.Target{
			Service: t.Record.Service, Software: t.Record.Software, State: t.State, Warm: !t.Record.WarmAt.After(now),
		})
	}
	return out
}

// liveVMNames returns the VMs that sent a message recently, and this one.
func (d *Daemon) liveVMNames() []ids.VM {
	var out []ids.VM
	for vm := range d.vms.live().domain {
		out = append(out, vm)
	}
	return out
}

// runCanaries moves services to the software versions that operators ordered, while this VM holds
// the lease.
func (d *Daemon) runCanaries(ctx context.Context) {
	if d.canaries != nil {
		d.canaries.Run(ctx)
	}
}

// sendCanaryReports sends this VM's counts of canary calls to the VMs that evaluate them.
func (d *Daemon) sendCanaryReports(ctx context.Context) {
	if d.canaries == nil {
		return
	}
	for n := 0; timing.Sleep(ctx, canaryReportEvery); n++ {
		for vm, reports := range d.Forward.Software.Reports(n%fullReportEvery == 0) {
			d.news.SendCanaryReports(vm, reports)
		}
	}
}
