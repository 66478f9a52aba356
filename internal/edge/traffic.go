package edge

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// far tells whether an address is in another failure domain, as far as is known: a
// replica's, a store's of KV cache or a peer's.
func (d *Daemon) far(addr string) bool {
	domain, ok := d.domainOf(addr)
	return ok && domain != d.Settings.FailureDomain
}

// domainOf returns the failure domain of an address.
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

// usageEvery is how often the log tells what was exchanged, and with whom this VM is in touch:
// often enough that the last line before a kill tells most of it.
const usageEvery = 2 * time.Second

// tellUsage logs the bytes that crossed a boundary of failure domains since the start, what is
// heard of peers, and what became of calls.
func (d *Daemon) tellUsage() {
	line := d.Log.Belief("usage")
	if d.adapter.Meter != nil {
		line = line.Object("bytes_beyond", d.adapter.Meter)
	}
	n := d.newsMetrics()
	line = line.Int64("news_sent", n.Sent).Int64("news_heard", n.Heard).Int64("news_rejected", n.Rejected).Str("news_parent", string(n.Parent)).
		Int("news_children", n.Children).Int("vms_heard", len(d.vms.living().domain)).Int("replicas_known", len(d.Replicas.Active()))
	line.Object("store_calls", d.store).Object("late", &d.Forward.Late).Object("refused", &d.Forward.Refusals).Send()
}
