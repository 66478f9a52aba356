package edge

import (
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/streams"
)

// sendStreams sends a peer a message of the directory of streams.
func (d *Daemon) sendStreams(to ids.VM, m streams.Message) { d.news.SendStreams(to, m) }

// streamPeers returns the other listed VMs, which may hold records of streams.
func (c *vmList) streamPeers() []streams.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]streams.Peer, 0, len(c.records))
	for _, r := range c.records {
		if r.VM != c.d.Settings.VM && r.PeerAddr != "" {
			out = append(out, streams.Peer{VM: r.VM, FailureDomain: r.FailureDomain, Alive: c.d.news.SeenWithin(r.VM, aliveFor)})
		}
	}
	return out
}

// StreamMetrics counts what this VM knows and was asked of where streams began.
type StreamMetrics struct {
	Records  int   `json:"records"`   // now, of its own streams and of those of others
	Begun    int64 `json:"begun"`     // streams that began or went on at this VM
	Kept     int64 `json:"kept"`      // records from peers
	Repeated int64 `json:"repeated"`  // records that were sent again
	Dropped  int64 `json:"dropped"`   // records that were dropped before they expired
	Lookups  int64 `json:"lookups"`   // calls that took up a stream
	NotFound int64 `json:"not_found"` // of these, without a version
}

func (d *Daemon) streamMetrics() StreamMetrics {
	s := d.streams
	return StreamMetrics{
		Records: s.Len(), Begun: s.Begun.Load(), Kept: s.Kept.Load(), Repeated: s.Repeated.Load(), Dropped: s.Dropped.Load(),
		Lookups: s.Lookups.Load(), NotFound: s.NotFound.Load(),
	}
}
