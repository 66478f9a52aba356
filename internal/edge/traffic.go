package edge

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// crossDomain reports whether addr, of a replica, a KV store or a peer, is known to be in another
// failure domain.
func (d *Daemon) crossDomain(addr string) bool {
	domain, ok := d.domainOf(addr)
	return ok && domain != d.Settings.FailureDomain
}

// domainOf returns the failure domain of the replica, KV store or peer at addr.
func (d *Daemon) domainOf(addr string) (ids.FailureDomain, bool) {
	for _, t := range d.Fleet.Snapshot().View.Targets {
		if t.Addr == addr {
			return t.FailureDomain, true
		}
	}
	if c := d.Catalog.Get(); c != nil {
		for _, kv := range c.KVStores {
			if kv.Addr == addr {
				return kv.FailureDomain, true
			}
		}
	}
	return d.vms.domainOf(addr)
}

// usageEvery is the interval of the usage log line. It is short enough that the last line before
// a kill covers most of the traffic.
const usageEvery = 2 * time.Second

// logUsage logs the bytes exchanged with other failure domains since the start, the messages
// exchanged with peers, and the counts of late and refused calls.
func (d *Daemon) logUsage() {
	line := d.Log.State("usage")
	if d.adapter.Meter != nil {
		line = line.Object("bytes_beyond", d.adapter.Meter)
	}
	n := d.newsMetrics()
	line = line.Int64("news_sent", n.Sent).Int64("news_heard", n.Received).Int64("news_rejected", n.Rejected).Str("news_parent", string(n.Parent)).
		Int("news_children", n.Children).Int("vms_heard", len(d.vms.live().domain)).Int("replicas_known", len(d.Replicas.Active()))
	line.Object("store_calls", d.store).Object("late", &d.Forward.Late).Object("refused", &d.Forward.Refusals).Send()
}
