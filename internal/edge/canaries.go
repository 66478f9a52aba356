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
	// tellCanariesEvery is how often a VM tells what it has counted of canaries.
	tellCanariesEvery = 200 * time.Millisecond
	// tellAllEvery is one in how many times it tells all of it, for datagrams that were lost.
	tellAllEvery = 5
)

// buildCanaries builds what tells versions of software apart, where the settings ask for it.
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
		LiveVMs: d.livingNames, WeightsSettled: func() bool { _, quiet := d.Rollout.IdleSince(d.started); return quiet },
	}
	d.Rollout.Retired = func(rec platform.Record) bool { return gate.Retiring(rec.Service, rec.Software) }
	d.news.OnCanaryReports = d.canaries.Receive
}

// softwareTargets returns what the controller needs of each target.
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

// livingNames returns the VMs that are heard, this one included.
func (d *Daemon) livingNames() []ids.VM {
	var out []ids.VM
	for vm := range d.vms.living().domain {
		out = append(out, vm)
	}
	return out
}

// runCanaries moves services to the versions that operators order while this VM holds the lease.
func (d *Daemon) runCanaries(ctx context.Context) {
	if d.canaries != nil {
		d.canaries.Run(ctx)
	}
}

// tellCanaries tells the VM that acts what this one has counted.
func (d *Daemon) tellCanaries(ctx context.Context) {
	if d.canaries == nil {
		return
	}
	for n := 0; timing.Sleep(ctx, tellCanariesEvery); n++ {
		for vm, reports := range d.Forward.Software.Reports(n%tellAllEvery == 0) {
			d.news.SendCanaryReports(vm, reports)
		}
	}
}
