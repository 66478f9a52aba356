package edge

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/streams"
	"github.com/threadwall/threadwall/internal/versionlog"
)

const (
	// streamKeepers is the name by which VMs are ranked that keep in the store what outlives all processes: the versions at which
	// streams began, and the records of streams.
	streamKeepers = ids.Target("stream keepers")
	// maxCollectors is the number of VMs that save records of streams. Each makes at most five writes a second.
	maxCollectors = 2
	// maxLoaders is the number of VMs that read the saved records when they start. The others ask them.
	maxLoaders = 16
	// keepersEvery is the interval at which the VMs that do this are determined again.
	keepersEvery = 200 * time.Millisecond
	// versionsWait bounds how long a starting VM waits for the list of versions before it is ready.
	versionsWait = 2 * time.Second
	// minVersionsReadPause is the shortest time between two reads of the versions of a service for streams that callers take up, and
	// versionsReadShare the part of it that each VM adds, so that a large fleet makes at most 500 such reads a second.
	minVersionsReadPause = 100 * time.Millisecond
	versionsReadShare    = 2 * time.Millisecond
)

// buildStreams creates what knows where streams began.
func (d *Daemon) buildStreams() {
	s := d.Settings
	d.versions = &versionlog.Log{
		Store: d.store, InUse: d.Replicas.SoftwareInUse, NoOthers: d.vms.allListVersions, Rank: d.keeperRank,
		ReadPause: d.versionsReadPause, OnChange: d.Replicas.Publish, Now: clock.Now, Log: d.Log,
	}
	d.Replicas.StreamVersions, d.Replicas.HasStreams = d.versions, d.hasStreams
	d.streams = &streams.Directory{
		VM: s.VM, FailureDomain: s.FailureDomain, Peers: d.vms.streamPeers, Collectors: d.collectors,
		Sole: d.Replicas.SoleVersion, Prove: d.proveSoleVersion, Send: d.sendStreams, Now: clock.Now,
	}
	d.Replicas.OnNewSoftware = d.streams.VersionsChanged
	d.archive = &streams.Archive{
		VM: s.VM, Store: d.store, Directory: d.streams, Log: d.Log,
		Needed: func() (needed, known bool) { return d.versions.Several(), d.versions.Ready() },
		Loads:  func() bool { return d.keeperRank() < maxLoaders },
		Tidies: func() bool { return d.keeperRank() == 0 },
	}
}

// versionsReadPause returns the time between two reads of the versions of a service.
func (d *Daemon) versionsReadPause() time.Duration {
	return max(minVersionsReadPause, time.Duration(len(d.vms.streamPeers()))*versionsReadShare)
}

// proveSoleVersion returns the only version at which the store says, when asked now, that streams of a service have begun that may still
// go on; streams.Several: there may be several; zero: the store does not know.
func (d *Daemon) proveSoleVersion(ctx context.Context, service string) (sole streams.Version, ok bool) {
	if !d.versions.Refresh(ctx, service) {
		return 0, false
	}
	switch _, count := d.versions.Sole(service); count {
	case follow.SeveralVersions:
		return streams.Several, true
	case follow.OneVersion:
		return d.Replicas.SoleVersion(streams.ServiceHash(service)), true
	default:
		return 0, true
	}
}

// hasStreams reports whether a route leads to the service whose streams callers may take up; known is false without a
// configuration.
func (d *Daemon) hasStreams(service string) (has, known bool) {
	c := d.Catalog.Get()
	if c == nil {
		return false, false
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == catalog.Stream && r.Resumable && slices.ContainsFunc(r.Split, func(s catalog.Share) bool { return s.Service == service }) {
			return true, true
		}
	}
	return false, true
}

// versionsMissing reports whether this VM, which has just started, still waits for the list of versions.
func (d *Daemon) versionsMissing() bool {
	return !d.versions.Ready() && clock.Since(d.started) < versionsWait
}

// keeperList is the latest result of Daemon.keepers.
type keeperList struct {
	mu  sync.Mutex
	vms []ids.VM
	at  time.Time
}

// keepers returns the VMs in the order by which they keep in the store what outlives all processes, at most keepersEvery old.
func (d *Daemon) keepers() []ids.VM {
	l := &d.keeperList
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := clock.Now(); l.vms == nil || now.Sub(l.at) >= keepersEvery {
		l.vms, l.at = d.findKeepers(), now
	}
	return l.vms
}

// findKeepers implements keepers: the live VMs, or all listed ones while this VM has not run for long enough to know which are live.
func (d *Daemon) findKeepers() []ids.VM {
	starting := clock.Since(d.started) < aliveFor
	c := &d.vms
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]ids.VM, 0, len(c.records)+1)
	for _, r := range c.records {
		if r.VM != d.Settings.VM && (starting || d.news.SeenWithin(r.VM, aliveFor)) {
			out = append(out, r.VM)
		}
	}
	out = append(out, d.Settings.VM)
	slices.SortFunc(out, func(a, b ids.VM) int {
		return cmp.Compare(routing.VMWeight(streamKeepers, b), routing.VMWeight(streamKeepers, a))
	})
	return out
}

// keeperRank returns the number of VMs that precede this one among the keepers.
func (d *Daemon) keeperRank() int { return slices.Index(d.keepers(), d.Settings.VM) }

// collectors returns the VMs that save records of streams.
func (d *Daemon) collectors() []ids.VM {
	all := d.keepers()
	return all[:min(len(all), maxCollectors)]
}

// allListVersions reports whether each VM that is or was part of the fleet lists software versions before streams begin there; known is false
// before the list of VMs was read.
func (c *vmList) allListVersions() (all, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		if !r.ListsVersions {
			return false, true
		}
	}
	return true, c.records != nil
}

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
