package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// prefixVMs is the key prefix under which entry VMs register. Entries do not expire: the entry of a
// VM that is gone only makes the other VMs' shares of the limits for the whole fleet smaller, such
// as the retry budgets.
const prefixVMs = "entry-vms/"

// vmRecord is the stored entry of a VM.
type vmRecord struct {
	VM            ids.VM            `json:"vm"`
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	PeerAddr      string            `json:"peer_addr"`
	LinkMbps      int               `json:"link_mbps,omitempty"`
	// Tunnels is set if the VM opens connections to targets for peers. VMs of older releases do not.
	Tunnels bool `json:"tunnels,omitempty"`
	// ListsVersions is set if the VM keeps package versionlog's protocol. VMs of older releases do not.
	ListsVersions bool `json:"lists_versions,omitempty"`
}

const (
	// registerCheck is how often a VM checks whether its entry is listed.
	registerCheck = 200 * time.Millisecond
	// registerRetry is the mean pause after a failed attempt to register.
	registerRetry = time.Second
)

// register keeps this VM's entry in the store until ctx ends. The store may lose an entry that it has
// acknowledged, by coming back from an older copy.
func (d *Daemon) register(ctx context.Context) {
	if !d.vms.awaitListed(ctx) {
		return
	}
	own := vmRecord{VM: d.Settings.VM, FailureDomain: d.Settings.FailureDomain, PeerAddr: d.Settings.PeerListen, LinkMbps: int(d.Settings.Edge.LinkMbps), Tunnels: true, ListsVersions: true}
	value, err := json.Marshal(own)
	if err != nil {
		d.Log.State("not-registered").Str("error", err.Error()).Send()
		return
	}
	var written objectapi.Revision
	for pause := registerCheck; ctx.Err() == nil; timing.Sleep(ctx, pause) {
		pause = registerCheck
		if !d.vms.lacksEntry(own, written) {
			continue
		}
		rev, err := d.writeEntry(ctx, prefixVMs+string(d.Settings.VM), value)
		if err != nil {
			d.Log.State("not-registered").Str("error", err.Error()).Send()
			pause = registerRetry/2 + rand.N(registerRetry)
			continue
		}
		written = rev
	}
}

// writeEntry creates the object at key, or updates it if its value differs, and returns its revision.
func (d *Daemon) writeEntry(ctx context.Context, key string, value []byte) (objectapi.Revision, error) {
	rev, err := d.store.Create(ctx, key, value)
	if err == nil {
		d.budgets.EntryCreated(rev)
	}
	if !errors.Is(err, objectapi.ErrExists) {
		return rev, err
	}
	o, err := d.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if slices.Equal(o.Value, value) {
		return o.Version, nil
	}
	rev, err = d.store.Update(ctx, key, value, o.Version)
	return rev, eris.Wrap(err, "update this VM's entry")
}

// vmList follows the list of entry VMs.
type vmList struct {
	d       *Daemon
	mu      sync.Mutex
	records map[string]vmRecord // by key; nil: the list has not been read yet
	at      objectapi.Revision  // of the latest response
	listed  map[string]bool     // keys of the entries that the store has
	// ownEntry is the revision of this VM's entry; zero: the store does not have it.
	ownEntry objectapi.Revision
	// restoredAt is when this VM, or the one whose copy it reads, first knew that the store had come back from an older copy,
	// which may lack entries.
	restoredAt time.Time
	// alive is the latest snapshot of the live VMs; nil: none yet.
	alive   *liveVMs
	aliveAt time.Time // time of the latest check of alive
}

var _ follow.Handler = (*vmList)(nil)

// Listed implements follow.Handler. The entries that a restored store lacks are kept for a while, since
// their VMs write them again: without them the other VMs would take larger shares of the limits for
// the whole fleet.
func (c *vmList) Listed(objects []objectapi.Object, at follow.At, _ bool) {
	c.mu.Lock()
	if c.records != nil && at.Revision.Era() > c.at.Era() {
		c.restoredAt = at.EraSince
		if at.EraSince.IsZero() {
			c.restoredAt = clock.Now()
		}
	}
	if c.records == nil || clock.Since(c.restoredAt) >= returnGrace {
		c.records = map[string]vmRecord{}
	}
	c.listed, c.ownEntry = map[string]bool{}, 0
	c.mu.Unlock()
	c.Changed(objects, at)
}

// Changed implements follow.Handler.
func (c *vmList) Changed(events []objectapi.Object, at follow.At) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = max(c.at, at.Revision)
	for _, o := range events {
		own := o.Key == prefixVMs+string(c.d.Settings.VM)
		if o.Deleted {
			delete(c.records, o.Key)
			delete(c.listed, o.Key)
			if own {
				c.ownEntry = 0
			}
			continue
		}
		if own {
			c.ownEntry = o.Version
		}
		var r vmRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.d.Log.State("vm-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
			continue
		}
		c.records[o.Key], c.listed[o.Key] = r, true
	}
	c.d.budgets.SetList(c.budgetList(at))
	c.d.Fleet.SetPeerCount(len(c.records) - 1)
	c.d.demand.SetListed(len(c.records))
	names := make([]ids.VM, 0, len(c.records))
	peers := make([]news.Peer, 0, len(c.records))
	for _, r := range c.records {
		peers = append(peers, news.Peer{VM: r.VM, FailureDomain: r.FailureDomain, Addr: r.PeerAddr, LinkMbps: r.LinkMbps})
		names = append(names, r.VM)
	}
	c.d.news.SetPeers(peers)
	c.d.allowances.SetVMs(names)
	c.d.Log.State("vms").Int("count", len(c.records)).Send()
}

// budgetList returns the list for the division of the retry burst: what the store has, without the entries that are only
// awaited. The caller holds mu.
func (c *vmList) budgetList(at follow.At) retry.List {
	l := retry.List{Revision: at.Revision, Sent: at.Sent, OwnEntry: c.ownEntry}
	for key := range c.listed {
		l.VMs = append(l.VMs, c.records[key].VM)
	}
	return l
}

// listedPoll is the interval at which a starting VM checks whether the list has been read.
const listedPoll = 20 * time.Millisecond

// awaitListed waits until the list has been read. It returns false if ctx ends first.
func (c *vmList) awaitListed(ctx context.Context) bool {
	for ; ctx.Err() == nil; timing.Sleep(ctx, listedPoll) {
		c.mu.Lock()
		listed := c.records != nil
		c.mu.Unlock()
		if listed {
			return true
		}
	}
	return false
}

// lacksEntry reports whether the store lacks the entry of this VM, own, or has it with another value. written is
// the revision at which this VM wrote it last, so that a list from before doesn't count; zero: never.
func (c *vmList) lacksEntry(own vmRecord, written objectapi.Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := prefixVMs + string(own.VM)
	return c.at >= written && !(c.listed[key] && c.records[key] == own)
}

// Unchanged implements follow.Handler.
func (c *vmList) Unchanged(at follow.At) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = max(c.at, at.Revision)
	c.d.budgets.ConfirmList(at.Revision, at.Sent)
}

// domainOf returns the failure domain of the VM with the peer address addr.
func (c *vmList) domainOf(addr string) (ids.FailureDomain, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		if r.PeerAddr == addr {
			return r.FailureDomain, true
		}
	}
	return "", false
}

// domain returns the failure domain of a VM, or an empty string if it is not listed.
func (c *vmList) domain(vm ids.VM) ids.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records {
		if r.VM == vm {
			return r.FailureDomain
		}
	}
	return ""
}

// era returns the era of the store's latest response.
func (c *vmList) era() objectapi.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at.Era()
}

// count returns the number of listed VMs.
func (c *vmList) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

// aliveFor is how long a VM counts as live after its last message. VMs with calls in flight send a
// message every few hundred milliseconds.
const aliveFor = 3 * time.Second

// rank returns the number of live VMs that rank before this one for id, by rendezvous weight. VMs
// that are gone must not count, since entries do not expire. A VM that has nothing to send is
// skipped, too, so that two VMs may have the same rank.
func (c *vmList) rank(id ids.Target) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, before := routing.VMWeight(id, c.d.Settings.VM), 0
	for _, r := range c.records {
		if routing.VMWeight(id, r.VM) > own && c.d.news.SeenWithin(r.VM, aliveFor) {
			before++
		}
	}
	return before
}

// livePeers returns the other live VMs of this VM's failure domain and those of other domains, in an order by purpose
// that differs from VM to VM, so that the VMs spread over their peers.
func (c *vmList) livePeers(purpose string) (same, other []vmRecord) {
	own := c.d.Settings
	c.mu.Lock()
	for _, r := range c.records {
		switch {
		case r.VM == own.VM || r.PeerAddr == "" || !c.d.news.SeenWithin(r.VM, aliveFor):
		case r.FailureDomain == own.FailureDomain:
			same = append(same, r)
		default:
			other = append(other, r)
		}
	}
	c.mu.Unlock()
	key := ids.Target(purpose + " of " + string(own.VM))
	sortByWeight(same, key)
	sortByWeight(other, key)
	return same, other
}

// sortByWeight sorts VMs by rendezvous weight for a key, highest first.
func sortByWeight(all []vmRecord, key ids.Target) {
	slices.SortFunc(all, func(a, b vmRecord) int {
		return cmp.Compare(routing.VMWeight(key, b.VM), routing.VMWeight(key, a.VM))
	})
}
