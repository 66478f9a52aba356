package edge

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// Timing of the shutdown.
const (
	// readyNotice is how long the load balancer takes to notice that a VM is not ready: two
	// failed checks, at one check per second.
	readyNotice = 2300 * time.Millisecond
	// killMargin is the time between the end of the drain and the kill of the process.
	killMargin = 500 * time.Millisecond
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = 300 * time.Millisecond
)

// Stop shuts down gracefully. The VM becomes not ready, and responses close their connections.
// Once the load balancer has noticed, the VM stops accepting connections and finishes the calls in
// flight, until the grace period of the settings ends. Stop does not use its context, and always
// returns nil.
func (d *Daemon) Stop(ctx context.Context) error {
	began := clock.Now()
	d.Forward.Draining.Store(true)
	d.tunnels.Leave()
	d.ready.set(false, "shutting down")
	d.Log.State("stop").Int64("in_flight", d.Forward.InFlight()).Send()
	d.Rollout.Quiesce()
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := d.Lease.Release(release); err != nil {
		d.Log.State("lease-not-released").Str("error", err.Error()).Send()
	}
	cancel()
	timer := time.NewTimer(min(readyNotice, d.Settings.Edge.Grace.D()/2))
	<-timer.C
	drain, cancel := context.WithTimeout(ctx, d.Settings.Edge.Grace.D()-killMargin-clock.Since(began))
	defer cancel()
	err := d.servers[0].Shutdown(drain)
	if err != nil {
		d.Log.State("drain-ended").Int64("in_flight", d.Forward.InFlight()).Str("error", err.Error()).Send()
	}
	d.tunnels.Drain(drain)
	d.cancel()
	d.peerServer.Stop()
	d.links.Tunnels.Close()
	for _, s := range d.servers {
		_ = s.Close() // the process exits
	}
	d.Log.State("stopped").Int64("after_ms", clock.Since(began).Milliseconds()).Send()
	d.Log.Close()
	return nil
}

// Kill stops the daemon immediately, as a kill of its process would: it cuts connections and does
// not release the lease. It waits until all duties have ended.
func (d *Daemon) Kill() {
	d.cancel()
	d.peerServer.Stop()
	d.links.Tunnels.Close()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.duties.Wait()
	d.Log.Close()
}
