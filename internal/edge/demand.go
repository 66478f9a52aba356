package edge

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/demand"
	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// demandLogEvery is the interval of the log lines about the demand while there is load.
	demandLogEvery = 5 * time.Second
	// demandCheckEvery is the interval at which the number of VMs that are heard is checked.
	demandCheckEvery = 500 * time.Millisecond
	// minLoggedRate is the rate of calls below which a service counts as idle.
	minLoggedRate = 0.05
)

// demandStatus returns the load of each service that has calls.
func (d *Daemon) demandStatus() []demand.Status {
	c := d.Catalog.Get()
	if c == nil {
		return nil
	}
	var names demand.Names // of 580 workspaces, so they are not built at rest
	var out []demand.Status
	for i := range c.Services {
		service := c.Services[i].Name
		p := d.demand.Picture(service)
		if demand.Rate(p.Total().Calls) < minLoggedRate {
			continue
		}
		if names == nil {
			names = namesIn(c)
		}
		out = append(out, p.Status(service, names))
	}
	return out
}

// namesIn returns the names of the routes and workspaces of a catalog.
func namesIn(c *catalog.Catalog) demand.Names {
	names := demand.Names{}
	for i := range c.Routes {
		names.Add(c.Routes[i].Name)
	}
	for i := range c.Workspaces {
		names.Add(string(c.Workspaces[i].Name))
	}
	return names
}

// watchDemand logs the load of the services until ctx ends: every demandLogEvery while there is load,
// and when the VMs that are heard change between all and not all.
func (d *Daemon) watchDemand(ctx context.Context) {
	var log demandLog
	for timing.Sleep(ctx, demandCheckEvery) {
		for _, s := range log.due(d.demandStatus(), clock.Now()) {
			d.Log.State("demand").Str("service", s.Service).Int("vms", s.VMs).Int("listed", s.Listed).Int64("age_ms", s.AgeMs).
				Bool("own_only", s.VMs == 1 && s.Listed > 1).Object("rates", routeRates(s.Total)).Send()
		}
	}
}

// demandLog decides when the demand is logged. The zero value is ready for use.
type demandLog struct {
	last time.Time
	// partial are the services whose last line included only some of the VMs.
	partial map[string]bool
}

// due returns the services to log.
func (l *demandLog) due(services []demand.Status, now time.Time) []demand.Status {
	all := now.Sub(l.last) >= demandLogEvery
	if all {
		l.last = now
	}
	partial := map[string]bool{}
	var out []demand.Status
	for _, s := range services {
		partial[s.Service] = s.VMs < s.Listed
		if before, known := l.partial[s.Service]; all || known && before != partial[s.Service] {
			out = append(out, s)
		}
	}
	l.partial = partial
	return out
}

// routeRates logs the rates of a service.
type routeRates demand.RouteStatus

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r routeRates) MarshalZerologObject(e *zerolog.Event) {
	e.Float64("calls", r.Calls).Float64("admitted", r.Admitted).Float64("refused", r.Refused).Float64("wait_ms", r.WaitMs).Float64("late", r.Late).Float64("paused", r.Paused)
}
