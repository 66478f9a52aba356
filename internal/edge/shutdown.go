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
	// writeMargin is the time for writing the responses of the calls that end last.
	writeMargin = 200 * time.Millisecond
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = 300 * time.Millisecond
)

// shutdownTimes are the times of a shutdown, from its beginning.
type shutdownTimes struct {
	accepts time.Duration // until then, connections are accepted
	calls   time.Duration // until then, calls must have ended
	drain   time.Duration // then the remaining connections are cut
}

// timesOf divides the grace period, at whose end the process is killed. The release of the lease takes place before accepts ends, and
// tunnels of peers are served until the end of the drain.
func timesOf(grace time.Duration) shutdownTimes {
	drain := max(grace-killMargin, 0)
	return shutdownTimes{accepts: min(readyNotice, grace/2, drain), calls: max(drain-writeMargin, 0), drain: drain}
}

// Stop shuts down gracefully. The VM becomes not ready, and responses close their connections.
// Once the load balancer has noticed, the VM stops accepting connections and finishes the calls in
// flight, until the grace period of the settings ends. It takes only calls that end in that time.
// Stop always returns nil.
func (d *Daemon) Stop(ctx context.Context) error {
	began, times := clock.Now(), timesOf(d.Settings.Edge.Grace.D())
	d.Forward.Drain(began.Add(times.calls))
	d.tunnels.Leave()
	d.ready.leave()
	d.Log.State("stop").Int64("in_flight", d.Forward.InFlight()).Send()
	d.Rollout.Quiesce()
	release, cancel := context.WithTimeout(ctx, releaseTimeout)
	if err := d.Lease.Release(release); err != nil {
		d.Log.State("lease-not-released").Str("error", err.Error()).Send()
	}
	cancel()
	time.Sleep(times.accepts - clock.Since(began))
	drain, cancel := context.WithTimeout(ctx, times.drain-clock.Since(began))
	defer cancel()
	if err := d.listeners[0].Drain(drain); err != nil {
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
