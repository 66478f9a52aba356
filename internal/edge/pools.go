package edge

import (
	"github.com/threadwall/threadwall/internal/fleet"
	"github.com/threadwall/threadwall/internal/pools"
)

// logPools logs that the pools of a service begin, change their size or end.
func (d *Daemon) logPools(c fleet.PoolsChange) {
	in := &c.Inputs
	d.Log.State("pools").Str("service", c.Service).Int("size", c.After).Int("before", c.Before).Int("steps", pools.Steps).
		Float64("share", in.Share).Float64("paused", in.Paused).Int("decode_routes", in.DecodeRoutes).Int("prefill_routes", in.PrefillRoutes).
		Int("engines", in.Engines).Int("slots", in.Slots).Int("vms", in.VMs).Int("listed", in.Listed).Int64("age_ms", in.Age.Milliseconds()).Send()
}
